package stream

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// What can't be decoded must neither stop a reader nor be read differently by two.
func FuzzDecode(f *testing.F) {
	whole, err := proto.Marshal(&Envelope{Writer: 7, First: 3, Records: [][]byte{[]byte("a"), []byte("b")}, Withdrawn: []uint64{9}, AtMs: 5})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-2])
	f.Add([]byte("no envelope"))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		var one, two Seen
		a, b := one.Entry(1, e), two.Entry(1, e)
		if len(a.Records) != len(e.GetRecords()) || len(a.Withdrawn) != len(b.Withdrawn) {
			t.Fatal("two readers differ")
		}
		again := one.Entry(2, e)
		for i, r := range again.Records {
			if r != nil {
				t.Fatalf("record %d counts twice", i)
			}
		}
	})
}

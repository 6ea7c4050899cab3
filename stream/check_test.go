package stream

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// A checkpoint of which only some parts reached the log doesn't count; the
// whole one before it does, wherever their parts lie and however long both are.
func TestNewestWholeCheckpoint(t *testing.T) {
	g := NewWithT(t)
	l := &stepLog{jump: 7}
	ctx := context.Background()
	c, err := LoadCheckpoint(ctx, l, "s", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c).To(BeNil())
	big := bytes.Repeat([]byte("x"), 40*partBytes+5)
	g.Expect(SaveCheckpoint(ctx, l, nil, "s", 1, &Checkpoint{Resume: 10, State: []byte("old")})).To(Succeed())
	g.Expect(SaveCheckpoint(ctx, l, nil, "s", 2, &Checkpoint{Resume: 20, State: big})).To(Succeed())
	g.Expect(SaveCheckpoint(ctx, l, nil, "s", 3, &Checkpoint{Resume: 30, State: big})).To(Succeed())
	l.records = l.records[:len(l.records)-1]
	c, err = LoadCheckpoint(ctx, l, "s", 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Resume).To(Equal(int64(20)))
	g.Expect(c.State).To(Equal(big))
	// One that a slow process writes late doesn't hide the newer one if the log no longer reaches back to it.
	g.Expect(SaveCheckpoint(ctx, l, nil, "s", 4, &Checkpoint{Resume: 15, State: []byte("late")})).To(Succeed())
	c, err = LoadCheckpoint(ctx, l, "s", 16)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Resume).To(Equal(int64(20)))
}

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

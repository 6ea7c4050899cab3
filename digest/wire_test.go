package digest

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/blame"
	"github.com/sardinerock/sardinerock/crash"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/speed"
)

func TestMessagesAreDecodedAsEncoded(t *testing.T) {
	for name, m := range map[string]*Message{
		"empty": {Sender: 1, Start: 2, Sequence: 3},
		"all fields": {Sender: 1, Start: 2, Sequence: 3, Loads: []pool.Load{{Server: 9, Online: 3, Batch: 4}, {Server: 1 << 31, Batch: 1}}, Items: []uint32{7, 1 << 30}, Waiting: 5, Leaving: true, StoreLost: true, Starting: true, Crashes: map[uint64]crash.Report{8: {Failures: 2, Sequence: 3, Age: 70 * time.Second}, 9: {Age: 120 * time.Millisecond}, 1 << 63: {Failures: 1, Sequence: 1}}, Quota: []quota.Report{{Team: 1 << 31, Admitted: 65535, Requested: 3, Remaining: quota.RemainingHigh}, {Team: 4}}, Aborts: []pool.Abort{{Server: 5, Age: 120 * time.Millisecond}}, Blame: []blame.Report{
			{Kind: blame.KindFailure, Causes: []blame.Cause{1, 1 << 63}, Age: 120 * time.Millisecond, ID: 1 << 31, Server: 4, Took: 80 * time.Millisecond},
			{Kind: blame.KindVerdict, Causes: []blame.Cause{7}, Age: 20 * time.Minute, Runs: 3, Servers: 5, Trials: 2},
			{Kind: blame.KindBegin, Causes: []blame.Cause{8}, Age: time.Second},
		}, Speeds: []speed.Report{{Server: 0, Level: 84, Evidence: 3}, {Server: 1 << 31, Level: 255, Evidence: 255}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			raw, err := Encode([]*Message{m, m}, []uint32{3, 1 << 29})
			g.Expect(err).NotTo(HaveOccurred())
			decoded, preempt, err := Decode(raw)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(decoded).To(Equal([]*Message{m, m}))
			g.Expect(preempt).To(Equal([]uint32{3, 1 << 29}))
		})
	}
}

// Entries of the previous build decode all elements of Loads as loads. They must find the same loads,
// and beside them only such of backend servers that they don't know.
func TestPreviousBuildReadsMessagesWithSpeeds(t *testing.T) {
	g := NewWithT(t)
	loads := []pool.Load{{Server: 9, Online: 3, Batch: 4}, {Server: 10, Batch: 1}}
	m := &Message{Loads: loads, Speeds: []speed.Report{{Server: 9, Level: 84, Evidence: 3}}}
	p := m.pack()
	g.Expect(p.Loads).To(HaveLen(loadBytes * (len(loads) + 2)))
	without := (&Message{Loads: loads}).pack()
	g.Expect(p.Loads[:len(without.Loads)]).To(Equal(without.Loads))
	for b := p.Loads[len(without.Loads):]; len(b) > 0; b = b[loadBytes:] {
		g.Expect(binary.BigEndian.Uint32(b)).NotTo(BeElementOf(uint32(9), uint32(10)))
	}
}

// Guards against entries of the previous build, which decode all elements of Items as items, missing some of them, and
// against reports of a newer build that end early.
func TestPreviousBuildReadsMessagesWithReports(t *testing.T) {
	g := NewWithT(t)
	m := &Message{Items: []uint32{7, 9}, Blame: []blame.Report{{Kind: blame.KindBegin, Causes: []blame.Cause{8}, Age: time.Second}}}
	p := m.pack()
	g.Expect(len(p.Items) % hashBytes).To(BeZero())
	g.Expect(unpackHashes(p.Items)[:2]).To(Equal(m.Items))
	for n := len(m.Items)*hashBytes + separatorBytes + hashBytes; n < len(p.Items); n += hashBytes {
		truncated := p
		truncated.Items = p.Items[:n]
		_, err := truncated.unpack()
		g.Expect(err).To(HaveOccurred(), "%d bytes", n)
	}
}

// Guards against entries of the previous build, which add up numbers of failures, rejecting a request
// for one failure, and against reports of theirs that are lost.
func TestPreviousBuildReadsCrashes(t *testing.T) {
	g := NewWithT(t)
	m := &Message{Crashes: map[uint64]crash.Report{8: {Failures: 1, Sequence: 2, Age: time.Minute}, 9: {Age: time.Second}}}
	p := m.pack()
	g.Expect(p.Crashes).To(HaveLen(4))
	g.Expect(p.Crashes).To(And(HaveKeyWithValue(uint64(8), 1), HaveKeyWithValue(uint64(9), 0)))
	for request, n := range p.Crashes {
		if request != 8 && request != 9 {
			g.Expect(n).To(BeNumerically("<", 0))
		}
	}
	previous := packed{Crashes: map[uint64]int{8: 2}}
	got, err := previous.unpack()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Crashes).To(Equal(map[uint64]crash.Report{8: {Failures: 2, Sequence: 2}}))
}

// Guards against unchanged messages that are sent in each round since their encoding differs.
func TestEqualMessagesHaveEqualEncodings(t *testing.T) {
	g := NewWithT(t)
	m := &Message{Crashes: map[uint64]crash.Report{}}
	for n := range uint64(20) {
		m.Crashes[n] = crash.Report{Failures: 1, Sequence: 1}
	}
	first, err := Encode([]*Message{m}, nil)
	g.Expect(err).NotTo(HaveOccurred())
	for range 20 {
		again, err := Encode([]*Message{m}, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(first))
	}
}

// A truncated datagram, or one in the form of another version, must be rejected with an error and must not
// cause a panic.
func TestMalformedDatagramsAreRejected(t *testing.T) {
	whole, err := Encode([]*Message{{Sender: 1, Loads: []pool.Load{{Server: 9, Online: 1}}}}, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for name, raw := range map[string][]byte{
		"empty": nil, "truncated": whole[:len(whole)-3], "other structure": []byte("\xa1\x01\x61a"), "truncated load": []byte("\x82\x81\x8a\x01\x02\x03\x43abc\x40\x00\x00\xa0\x40\x40\x40"), "truncated quota": []byte("\x82\x81\x8a\x01\x02\x03\x40\x40\x00\x00\xa0\x43abc\x40\x40"), "truncated abort": []byte("\x82\x81\x8a\x01\x02\x03\x40\x40\x00\x00\xa0\x40\x43abc\x40"), "truncated preemption request": []byte("\x82\x80\x41a"),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := Decode(raw)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

func FuzzDecode(f *testing.F) {
	whole, err := Encode([]*Message{{Sender: 1, Loads: []pool.Load{{Server: 9, Online: 1}}, Items: []uint32{3}, Quota: []quota.Report{{Team: 1}}, Aborts: []pool.Abort{{Server: 2}}, Speeds: []speed.Report{{Server: 5, Level: 1, Evidence: 1}}}}, []uint32{4})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Fuzz(func(t *testing.T, raw []byte) {
		messages, preempt, err := Decode(raw)
		if err != nil {
			return
		}
		again, err := Encode(messages, preempt)
		if err != nil {
			t.Fatal(err)
		}
		decoded, _, err := Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		for n, m := range decoded {
			if !slices.Equal(m.Speeds, messages[n].Speeds) || !slices.Equal(m.Loads, messages[n].Loads) {
				t.Fatalf("got %v, %v, want %v, %v", m.Loads, m.Speeds, messages[n].Loads, messages[n].Speeds)
			}
		}
	})
}

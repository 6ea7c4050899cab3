package tally

import (
	"context"
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/event"
)

// fleet is a number of entries that exchange messages, of which some may be lost.
type fleet map[string]*Tally

func newFleet(names ...string) fleet {
	f := fleet{}
	for _, name := range names {
		f.start(name)
	}
	return f
}

func (f fleet) start(name string) *Tally {
	t := &Tally{
		Peers: func(string) []string {
			var peers []string
			for other := range f {
				if other != name {
					peers = append(peers, other)
				}
			}
			return peers
		},
		Notify: func(peer string, raw []byte) { _, _ = f.send(peer, raw) },
		Query:  func(_ context.Context, peer string, raw []byte) ([]byte, error) { return f.send(peer, raw) },
		Events: &event.Logger{},
	}
	t.Prepare()
	f[name] = t
	return t
}

func (f fleet) send(peer string, raw []byte) ([]byte, error) {
	if f[peer] == nil || !IsMessage(raw) {
		return nil, errors.New("lost")
	}
	return f[peer].Answer(raw)
}

// TestFailuresOutliveTheirOwner guards against a failed run, or a rejection for good, being known only to its owner
// until it is recorded.
func TestFailuresOutliveTheirOwner(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("a", "b", "c")
	f["a"].Report("j", 0, Failures{Count: 2})
	f["a"].Report("j", 1, Failures{Rejected: true})
	g.Expect(f["b"].Known("j", 0)).To(Equal(Failures{Count: 2}))
	delete(f, "a")
	delete(f, "b")
	restarted := f.start("a")
	g.Expect(restarted.Known("j", 0)).To(Equal(Failures{}))
	restarted.Ask(t.Context(), "j")
	g.Expect(restarted.Known("j", 0)).To(Equal(Failures{Count: 2}))
	g.Expect(restarted.Known("j", 1)).To(Equal(Failures{Rejected: true}))
	g.Expect(restarted.Known("j", 2)).To(Equal(Failures{}))
	g.Expect(restarted.Known("other", 0)).To(Equal(Failures{}))
}

// An older report that arrives late, or an entry that knows less, must take nothing back.
func TestFailuresOnlyGrow(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("a", "b")
	f["b"].Report("j", 0, Failures{Count: 3, Rejected: true})
	f["a"].Report("j", 0, Failures{Count: 1})
	f["a"].Ask(t.Context(), "j")
	for _, e := range f {
		g.Expect(e.Known("j", 0)).To(Equal(Failures{Count: 3, Rejected: true}))
	}
}

// A message that isn't one of this package, or is malformed, must be rejected.
func TestMalformedMessagesAreRejected(t *testing.T) {
	long := &message{Job: "j"}
	for n := range maxReported + 1 {
		long.Items = append(long.Items, entry{Index: n})
	}
	for name, value := range map[string]any{
		"a text":             "j",
		"a query for a job":  []any{nil, "j"},
		"no job":             &message{Query: true},
		"too many items":     long,
		"negative index":     &message{Job: "j", Items: []entry{{Index: -1}}},
		"negative count":     &message{Job: "j", Items: []entry{{Count: -1}}},
		"items of two parts": []any{"j", false, []any{[]any{1, 2}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			raw, err := cbor.Marshal(value)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = newFleet("a")["a"].Answer(raw)
			g.Expect(err).To(HaveOccurred())
		})
	}
	NewWithT(t).Expect(IsMessage(nil)).To(BeFalse())
}

// The answer to a query must have no more items than a message may have, whatever a job's reports say.
func TestAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("a", "b")
	for n := range 2 * maxReported {
		f["b"].Report("j", n, Failures{Count: 1})
	}
	asking := f.start("c")
	asking.Ask(t.Context(), "j")
	g.Expect(asking.known.Len()).To(And(BeNumerically(">=", maxReported), BeNumerically("<=", 2*maxReported)))
}

func FuzzAnswer(f *testing.F) {
	raw, _ := encode(&message{Job: "j", Items: []entry{{Index: 1, Count: 2, Rejected: true}}})
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = newFleet("a")["a"].Answer(raw)
	})
}

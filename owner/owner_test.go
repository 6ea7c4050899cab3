package owner

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// One of six entries leaves. Only its own jobs may move: a job that moves away from a live entry
// would run twice.
func TestOwnerMovesOnlyWhatItMust(t *testing.T) {
	g := NewWithT(t)
	live := []string{"a", "b", "c", "d", "e", "f"}
	owned := map[string]int{}
	for n := range 600 {
		job := fmt.Sprint("job", n)
		before := Of(job, live)
		after := Of(job, live[1:])
		owned[before]++
		if before != "a" {
			g.Expect(after).To(Equal(before))
		}
	}
	for _, name := range live {
		g.Expect(owned[name]).To(BeNumerically("~", 100, 40), name)
	}
	g.Expect(Of("job", nil)).To(BeEmpty())
}

// TestRankedContinuesOf guards against entries that disagree on the first live one for a key, or on those after it
// once others are lost.
func TestRankedContinuesOf(t *testing.T) {
	g := NewWithT(t)
	live := []string{"a", "b", "c", "d", "e", "f"}
	for n := range 100 {
		key := fmt.Sprint("key", n)
		ranked := Ranked(key, live, 6)
		g.Expect(ranked).To(ConsistOf(live))
		g.Expect(ranked[0]).To(Equal(Of(key, live)))
		g.Expect(Ranked(key, ranked[1:], 3)).To(Equal(ranked[1:4]))
	}
	g.Expect(Ranked("key", nil, 3)).To(BeEmpty())
}

package runner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/ledger"
)

var testStart = time.Unix(1000, 0)

// One entry of six goes. Only its own jobs may move: the others' would be run twice.
func TestOwnerMovesOnlyWhatItMust(t *testing.T) {
	g := NewWithT(t)
	live := []string{"a", "b", "c", "d", "e", "f"}
	owned := map[string]int{}
	for n := range 600 {
		job := fmt.Sprint("job", n)
		before := Owner(job, live)
		after := Owner(job, live[1:])
		owned[before]++
		if before != "a" {
			g.Expect(after).To(Equal(before))
		}
	}
	for _, name := range live {
		g.Expect(owned[name]).To(BeNumerically("~", 100, 40), name)
	}
	g.Expect(Owner("job", nil)).To(BeEmpty())
}

func TestEarliestDueFirst(t *testing.T) {
	g := NewWithT(t)
	table := &sardinerock.RouteTable{Routes: []sardinerock.Route{
		{Name: "slow", Completion: 20 * time.Second}, {Name: "fast", Completion: 5 * time.Second},
	}}
	items := []ledger.OpenItem{
		{Job: "s", Route: "slow", CreatedAt: testStart, Index: 0},
		{Job: "f", Route: "fast", CreatedAt: testStart.Add(10 * time.Second), Index: 1},
		{Job: "f", Route: "fast", CreatedAt: testStart.Add(10 * time.Second), Index: 0},
		{Job: "o", Route: "slow", CreatedAt: testStart.Add(-time.Second), Index: 0},
	}
	sortByDue(items, table)
	var order []string
	for _, i := range items {
		order = append(order, fmt.Sprint(i.Job, i.Index))
	}
	g.Expect(order).To(Equal([]string{"f0", "f1", "o0", "s0"}))
}

// A burst ends: many slots come free at once, and every entry has items that
// wait. Each sees the others' counts only as they were a view ago. Few items
// may be started in vain, and the slots have to be full soon.
func TestFreeSlotsFillWithoutThrash(t *testing.T) {
	for name, entries := range map[string]int{"six entries": 6, "thirty entries": 30} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const slots, views = 60, 8
			const view = 100 * time.Millisecond
			paces := make([]*Pace, entries)
			for i := range paces {
				paces[i] = &Pace{View: view, Random: rand.New(rand.NewPCG(uint64(i), 3))}
			}
			taken, vain := 0, 0
			for v := range views {
				seen := slots - taken
				started := 0
				for _, p := range paces {
					own := 0
					now := testStart.Add(time.Duration(v) * view)
					for p.Allow(seen-own, 20, 20*(entries-1), false, now) > 0 {
						p.Started()
						own++
					}
					started += own
				}
				kept := min(started, slots-taken)
				vain += started - kept
				taken += kept
			}
			g.Expect(taken).To(BeNumerically(">=", slots*9/10))
			g.Expect(vain).To(BeNumerically("<=", slots/5))
		})
	}
}

func TestOldItemsTakeTheReserve(t *testing.T) {
	g := NewWithT(t)
	g.Expect(slotReserve(false, time.Second, 18*time.Second)).To(Equal(onlineReserve))
	g.Expect(slotReserve(false, 7*time.Second, 18*time.Second)).To(BeZero())
	g.Expect(slotReserve(true, time.Second, 18*time.Second)).To(BeZero(), "online requests find the free slots wherever they are")
}

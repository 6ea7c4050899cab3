package rights

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	testTarget  = 300 * time.Millisecond
	testServers = 4000
)

// holders returns how many entries with the given demands hold a slot on average, and how many
// slots the first of them holds as a share of all holdings.
func holders(demands []int, level float64, period int64) (mean, first float64) {
	all, held := 0, make([]int, len(demands))
	for _, d := range demands {
		all += d
	}
	total := 0
	for n, demand := range demands {
		d := NewDivision(uint32(n)*2654435761, period, demand, all, len(demands))
		for server := range uint32(testServers) {
			if d.Holds(server*2246822519, 1, level) {
				held[n]++
				total++
			}
		}
	}
	return float64(total) / testServers, float64(held[0]) / float64(total)
}

// If the mean number of holders differed from the level, reservations would be refused, or slots stay
// idle. An entry's part must follow its demand to a half: with less its requests would wait for slots of
// others, with more those of entries that got few slots so far would.
func TestSlotsAreHeldByDemandAndEqually(t *testing.T) {
	g := NewWithT(t)
	demands := []int{39}
	for range 29 {
		demands = append(demands, 9)
	}
	for period := range int64(3) {
		mean, first := holders(demands, initialHolders, period)
		g.Expect(mean).To(BeNumerically("~", initialHolders, 0.15))
		g.Expect(first).To(BeNumerically("~", (39.0/300+1.0/30)/2, 0.01))
	}
	// An entry that runs nothing must hold some slots too.
	_, first := holders([]int{0, 100, 100}, initialHolders, 1)
	g.Expect(first).To(BeNumerically(">", 0.1))
}

// With a new period an entry must hold other slots. Otherwise one that holds few would hold few for good.
func TestRightsChangeWithThePeriod(t *testing.T) {
	a, b := NewDivision(1, 1, 10, 300, 30), NewDivision(1, 2, 10, 300, 30)
	held, both := 0, 0
	for server := range uint32(testServers) {
		if a.Holds(server, 0, initialHolders) {
			held++
			if b.Holds(server, 0, initialHolders) {
				both++
			}
		}
	}
	NewWithT(t).Expect(both).To(BeNumerically("<", held/4))
}

// Entries are lost, paused or cut off with their rights. If the level didn't grow to all entries
// within half of a target, slots would stay idle while requests become late.
func TestLevelGrowsToAllEntries(t *testing.T) {
	for name, test := range map[string]struct {
		request Request
		entries int
		visible time.Duration
		preempt bool
		want    float64
	}{
		"just arrived":                 {Request{0, testTarget}, 30, time.Second, false, initialHolders},
		"just arrived, preempts":       {Request{0, testTarget}, 30, 0, true, initialPreempters},
		"a quarter of the target":      {Request{testTarget / 4, testTarget}, 30, time.Second, false, initialHolders + 30.0/4},
		"half of the target":           {Request{testTarget / 2, testTarget}, 30, time.Second, false, math.Inf(1)},
		"half of the target, preempts": {Request{testTarget / 2, testTarget}, 30, 0, true, math.Inf(1)},
		"slot has just become visible": {Request{testTarget, testTarget}, 30, 0, false, initialHolders},
		"slot has settled":             {Request{testTarget, testTarget}, 30, settleTime, false, math.Inf(1)},
		"can't wait":                   {Request{}, 30, time.Second, false, math.Inf(1)},
		"clock set back":               {Request{-time.Second, testTarget}, 30, time.Second, false, initialHolders},
		"as few entries as holders":    {Request{0, testTarget}, 2, time.Second, false, math.Inf(1)},
		"one entry":                    {Request{0, testTarget}, 1, 0, true, math.Inf(1)},
	} {
		t.Run(name, func(t *testing.T) {
			growth := test.request.Growth()
			if !test.preempt {
				growth = Settled(growth, test.visible)
			}
			NewWithT(t).Expect(Level(growth, test.entries, test.preempt)).To(Equal(test.want))
		})
	}
}

// An entry that has received nothing from any other must treat every slot as its own, whatever the level.
func TestSingleEntryHoldsEverything(t *testing.T) {
	d := NewDivision(1, 1, 0, 0, 1)
	for server := range uint32(100) {
		NewWithT(t).Expect(d.Holds(server, 0, 0)).To(BeTrue())
	}
}

// Near the bound a service must not change between scarce and ample with each request.
func TestScarcityHasAMargin(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Scarce(false, 29, 10)).To(BeTrue())
	g.Expect(Scarce(false, 30, 10)).To(BeFalse())
	g.Expect(Scarce(true, 44, 10)).To(BeTrue())
	g.Expect(Scarce(true, 45, 10)).To(BeFalse())
	g.Expect(Scarce(true, 0, 0)).To(BeFalse(), "no requests need slots")
}

func BenchmarkHolds(b *testing.B) {
	for _, entries := range []int{30, 500} {
		b.Run(fmt.Sprint(entries, " entries"), func(b *testing.B) {
			d := NewDivision(1, 1, 10, 10*entries, entries)
			b.ReportAllocs()
			held := 0
			for n := uint32(0); b.Loop(); n++ {
				if d.Holds(n, 0, initialHolders) {
					held++
				}
			}
			if held == 0 && b.N > 1000 {
				b.Fatal("no slot held")
			}
		})
	}
}

// A request that always waited would be late at the beginning of a burst; one that never did would
// interrupt an item although a slot comes free in a moment.
func TestWaitsForFreeForOnePoll(t *testing.T) {
	g := NewWithT(t)
	poll := func(n int) float64 {
		return Request{Waited: time.Duration(n) * 15 * time.Millisecond, Target: 300 * time.Millisecond}.Growth()
	}
	g.Expect([]bool{WaitsForFree(poll(0), false), WaitsForFree(poll(1), false), WaitsForFree(poll(2), false)}).To(Equal([]bool{true, false, false}))
	g.Expect(WaitsForFree(poll(0), true)).To(BeFalse())
	g.Expect(WaitsForFree(Request{}.Growth(), false)).To(BeFalse(), "a request that can't wait")
	g.Expect([]bool{Rising(100, 112, 304), Rising(100, 113, 304), Rising(150, 100, 304)}).To(Equal([]bool{false, true, false}))
}

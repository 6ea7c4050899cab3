package runner

import (
	"fmt"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func knownEffort() *effort {
	e := &effort{}
	for range 50 {
		e.ran(100, 5*time.Second)
		e.done(100)
	}
	return e
}

func TestNeedFollowsWhatItemsTook(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&effort{}).inTime("", testStart.Add(3*time.Second), testStart)).To(BeTrue(), "nothing is known yet")
	e := knownEffort()
	g.Expect(e.need("60")).To(BeNumerically("~", 2*time.Second, 50*time.Millisecond))
	g.Expect(e.need("")).To(BeNumerically("~", 5*time.Second+breakTime, 50*time.Millisecond))
	g.Expect(e.need("300")).To(BeNumerically(">", 0), "longer than the others")
	g.Expect(e.inTime("60", testStart.Add(3*time.Second), testStart)).To(BeTrue())
	g.Expect(e.inTime("10", testStart.Add(3*time.Second), testStart)).To(BeFalse())
}

// waitingWork is an item of the play below.
type waitingWork struct {
	due  time.Time
	came time.Duration
}

// playOverload plays a minute in which half as many items again come as the slots
// can do, and bursts take half of the slots for two seconds in five. An item
// takes five seconds and is due after 18. It returns the part done in time.
func playOverload(order func(items []*waitingWork, now time.Time)) float64 {
	const (
		slots  = 100
		tick   = 100 * time.Millisecond
		length = 60 * time.Second
		work   = 5 * time.Second
		due    = 18 * time.Second
		// 80 slots on average do 16 items a second.
		perSecond = 24.0
	)
	var waiting, running []*waitingWork
	came, inTime, all := 0.0, 0, 0
	for at := time.Duration(0); at < length; at += tick {
		now := testStart.Add(at)
		for came += perSecond * tick.Seconds(); came >= 1; came-- {
			waiting = append(waiting, &waitingWork{due: now.Add(due)})
			all++
		}
		free := slots
		if at%(5*time.Second) < 2*time.Second {
			free = slots / 2
		}
		order(running, now)
		for len(running) > free {
			last := len(running) - 1
			waiting, running = append(waiting, running[last]), running[:last]
		}
		order(waiting, now)
		n := min(free-len(running), len(waiting))
		running, waiting = append(running, waiting[:n]...), waiting[n:]
		kept := running[:0]
		for _, w := range running {
			if w.came += tick; w.came < work {
				kept = append(kept, w)
			} else if !now.After(w.due) {
				inTime++
			}
		}
		running = kept
	}
	return float64(inTime) / float64(all)
}

// For a minute more items come than can be done. In the order of their due
// times each waits until it is too late for it: after some time all callers
// get their results late, though the slots could do two in three in time.
func TestItemsThatAreLateAnywayDontMakeOthersLate(t *testing.T) {
	g := NewWithT(t)
	byDue := func(items []*waitingWork, _ time.Time) {
		sort.SliceStable(items, func(a, b int) bool { return items[a].due.Before(items[b].due) })
	}
	e := knownEffort()
	lateLast := func(items []*waitingWork, now time.Time) {
		byDue(items, now)
		late := func(w *waitingWork) bool {
			return !e.inTime(fmt.Sprint(int(w.came/(50*time.Millisecond))), w.due, now)
		}
		sort.SliceStable(items, func(a, b int) bool { return !late(items[a]) && late(items[b]) })
	}
	plain, chosen := playOverload(byDue), playOverload(lateLast)
	t.Logf("done in time: by due time %.2f, late ones last %.2f", plain, chosen)
	g.Expect(chosen).To(BeNumerically(">", 0.58))
	g.Expect(chosen).To(BeNumerically(">", plain+0.12))
}

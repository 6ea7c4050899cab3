package items

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A run near its end must be kept, and an item must not become late if another one would not.
func TestPreempted(t *testing.T) {
	now := testStart.Add(10 * time.Second)
	run := func(event int, age, left time.Duration) Run {
		return Run{LastEvent: fmt.Sprint(event), Started: now.Add(-age), Due: now.Add(left), Factor: 1}
	}
	slow := run(50, 2*time.Second, time.Minute)
	slow.Factor = 2
	for name, test := range map[string]struct {
		runs []Run
		want int
	}{
		"none":                           {nil, -1},
		"least slot time":                {[]Run{run(50, 3*time.Second, time.Minute), run(50, time.Second, time.Minute)}, 1},
		"not the one near its end":       {[]Run{run(95, 2*time.Second, time.Minute), run(40, 3*time.Second, time.Minute)}, 1},
		"slow backend server":            {[]Run{run(50, 2*time.Second, time.Minute), slow}, 1},
		"not the one that would be late": {[]Run{run(50, time.Second, 4*time.Second), run(50, 3*time.Second, time.Minute)}, 1},
		"the one that is late anyway":    {[]Run{run(50, 3*time.Second, time.Second), run(50, time.Second, time.Minute)}, 0},
		"all would be late":              {[]Run{run(50, 3*time.Second, 4*time.Second), run(50, time.Second, 4*time.Second)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(trainedEstimator().Preempted(test.runs, now)).To(Equal(test.want))
		})
	}
	NewWithT(t).Expect((&Estimator{}).Preempted([]Run{run(1, 0, 0)}, now)).To(Equal(0), "no data yet")
}

// An item that waits for more free slots than there are must be started in time.
func TestAtRisk(t *testing.T) {
	g := NewWithT(t)
	e := trainedEstimator()
	g.Expect(e.AtRisk("", testStart.Add(18*time.Second), testStart)).To(BeFalse())
	g.Expect(e.AtRisk("", testStart.Add(11*time.Second), testStart)).To(BeTrue())
	g.Expect(e.AtRisk("60", testStart.Add(11*time.Second), testStart)).To(BeFalse())
}

// The reports of a request and of the item that it preempted arrive up to a round of messages apart;
// a second item must not be preempted for that. Too many items that last must be.
func TestExcessIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	var x Excess
	at := testStart.Add
	delay := ExcessDelay(100 * time.Millisecond)
	g.Expect(delay).To(Equal(150 * time.Millisecond))
	g.Expect(x.Confirm("a", 1, delay, at(0))).To(BeFalse())
	g.Expect(x.Confirm("a", 0, delay, at(100*time.Millisecond))).To(BeFalse())
	g.Expect(x.Confirm("a", 1, delay, at(150*time.Millisecond))).To(BeFalse(), "it begins anew")
	g.Expect(x.Confirm("a", 1, delay, at(250*time.Millisecond))).To(BeFalse())
	g.Expect(x.Confirm("a", 1, delay, at(300*time.Millisecond))).To(BeTrue())
	g.Expect(x.Confirm("a", 1, delay, at(time.Second))).To(BeFalse(), "no item ran there meanwhile")
	g.Expect(x.Confirm("b", 1, 0, at(0))).To(BeTrue(), "slots aren't reserved")
	g.Expect(ExcessDelay(700 * time.Millisecond)).To(Equal(maxExcessDelay))
}

// Without a burst, and after a start, items must be able to use all slots.
func TestHeadroom(t *testing.T) {
	for name, test := range map[string]struct {
		online func(at time.Duration) int
		want   int
	}{
		"nothing observed": {nil, 0},
		"no online work":   {func(time.Duration) int { return 0 }, 0},
		"constant":         {func(time.Duration) int { return 133 }, 0},
		"small variation":  {func(at time.Duration) int { return 130 + int(at.Seconds())%5 }, 4},
		"bursts": {func(at time.Duration) int {
			if at%(5200*time.Millisecond) < 3*time.Second {
				return 50
			}
			return 246
		}, 19},
		"bursts that have ended a minute ago": {func(at time.Duration) int {
			if at < 10*time.Second {
				return 250 - 20*int(at.Seconds())
			}
			return 50
		}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			var h Headroom
			for at := time.Duration(0); test.online != nil && at < time.Minute; at += 100 * time.Millisecond {
				h.Observe(test.online(at), testStart.Add(at))
			}
			g := NewWithT(t)
			g.Expect(h.Slots(304, false)).To(BeNumerically("~", test.want, 8*min(test.want%19, 1)))
			g.Expect(h.Slots(304, true)).To(BeNumerically("~", min(test.want, 4), min(test.want, 1)))
		})
	}
}

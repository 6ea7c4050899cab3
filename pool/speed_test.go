package pool

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/speed"
)

// newSpeedPool returns a pool of n backend servers whose first quarter has another time per event.
// Its lists have a fixed order, so that equal random sources give equal choices.
func newSpeedPool(n int, states bool, fast, slow time.Duration) *Pool {
	p := newPool("a", n, 8)
	list := servers(n, 8)
	for i := range list {
		if states {
			list[i].Started = 1
		}
	}
	p.SetServers(list)
	slices.SortFunc(p.byService["s"], func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for step := range 20 {
		for i, s := range p.byService["s"] {
			event := slow
			if i < n/4 {
				event = fast
			}
			p.RecordRun(s.ID, speed.Sample{Events: 22, Span: 21 * event}, testStart.Add(time.Duration(step-20)*250*time.Millisecond))
		}
	}
	p.SpeedReports(testStart)
	return p
}

// Where start times aren't stated, or speeds differ by less than a factor of 1.5, choices must be those of a pool
// that knows no speeds.
func TestChoicesAreUnchangedWithoutDifferentSpeeds(t *testing.T) {
	for name, test := range map[string]struct {
		states    bool
		fast      time.Duration
		unchanged bool
	}{
		"no start times":     {false, 19 * time.Millisecond, true},
		"factor 1.3":         {true, 31 * time.Millisecond, true},
		"equal":              {true, 41 * time.Millisecond, true},
		"a factor above 2":   {true, 19 * time.Millisecond, false},
		"factor of just 1.6": {true, 25 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, plain := newSpeedPool(20, test.states, test.fast, 41*time.Millisecond), newPool("a", 20, 8)
			slices.SortFunc(plain.byService["s"], func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
			same, now := true, testStart
			for n := range 600 {
				now = now.Add(10 * time.Millisecond)
				var chosen [2]string
				for i, p := range []*Pool{plain, p} {
					var c Choice
					if n%3 == 0 {
						c, _ = p.ChooseBatch("s", BatchRequest{Reserve: 0}, now)
					} else {
						c, _ = p.ChooseOnline("s", &Request{}, now)
					}
					if chosen[i] = c.ID; n >= 100 {
						p.Done(c.ID, n%3 == 0, n%50 == 0, now)
					}
				}
				same = same && chosen[0] == chosen[1]
			}
			g.Expect(same).To(Equal(test.unchanged))
			g.Expect(p.RunOn("i-0", time.Second) == time.Second).To(Equal(test.unchanged))
		})
	}
}

// A peer that is lost, or reports on backend servers that aren't listed, must leave no trace but its evidence.
func TestReportsOfUnknownPeersAndServersAreIgnored(t *testing.T) {
	g := NewWithT(t)
	p := newSpeedPool(8, true, 19*time.Millisecond, 41*time.Millisecond)
	wrong := []speed.Report{{Server: Hash("i-0"), Level: 255, Evidence: 99}, {Server: 5, Level: 1, Evidence: 99}}
	p.ReceiveSpeeds("unknown", wrong, testStart)
	g.Expect(p.Speed("i-0", testStart).EventTime).To(BeNumerically("~", 19*time.Millisecond, time.Millisecond))
	g.Expect(p.Speed("no such", testStart)).To(Equal(speed.Unknown))
	servers, differing := p.KnownSpeeds()
	g.Expect([]int{servers, differing}).To(Equal([]int{8, 1}))
}

// The slot time of a request at a backend server must follow that server's speed, or admission rejects
// requests for fast ones that would be in time.
func TestSlotTimeFollowsSpeed(t *testing.T) {
	g := NewWithT(t)
	p := newSpeedPool(8, true, 20*time.Millisecond, 40*time.Millisecond)
	for range 10 * timingWeight {
		p.RecordServed("i-7", Sample{Timing: Timing{Run: 900 * time.Millisecond}, At: testStart})
	}
	run := p.Capacity("s", testStart).Run
	g.Expect(p.RunOn("i-7", run)).To(BeNumerically("~", 900*time.Millisecond, 50*time.Millisecond))
	g.Expect(p.RunOn("i-0", run)).To(BeNumerically("~", 450*time.Millisecond, 50*time.Millisecond))
	g.Expect(p.RunOn("no such", run)).To(Equal(run))
}

// A backend server that warms up is empty, so it would be taken as the best one, also where all others are
// equally fast. It must count as slow, and no difference may be made between the others.
func TestWarmUpCountsWhereSpeedsAreEqual(t *testing.T) {
	for name, test := range map[string]struct {
		states bool
		warm   int
		slow   bool
	}{
		"one warms up":    {true, 3, true},
		"no start times":  {false, 3, false},
		"all are warming": {true, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPool("a", 4, 8)
			list := servers(4, 8)
			for i := range list {
				list[i].Zone = p.Zone
				if test.states {
					list[i].Started = 1
				}
				if i >= test.warm {
					list[i].WarmUp = 4 * time.Second
				}
			}
			p.SetServers(list)
			now := testStart
			for step := range 20 {
				for i := range test.warm {
					p.RecordRun(fmt.Sprint("i-", i), speed.Sample{Events: 22, Span: 21 * time.Duration(38+2*i) * time.Millisecond}, now.Add(time.Duration(step-20)*250*time.Millisecond))
				}
			}
			p.SpeedReports(now)
			var chosen [4]int
			for range 9 {
				c, _ := p.ChooseOnline("s", &Request{}, now)
				chosen[slices.IndexFunc(list, func(b sardinerock.BackendServer) bool { return b.ID == c.ID })]++
			}
			if test.slow {
				g.Expect(chosen).To(Equal([4]int{3, 3, 3, 0}))
			} else {
				g.Expect(chosen[3]).To(BeNumerically(">=", 2))
			}
			factor := 1.0
			if test.slow {
				factor = 2
			}
			g.Expect(p.Speed("i-3", now).Factor).To(Equal(factor))
			g.Expect(p.RunOn("i-3", time.Second)).To(Equal(time.Duration(factor) * time.Second))
			for i := range 3 {
				g.Expect(p.Speed(list[i].ID, now).Factor).To(Equal(1.0))
				g.Expect(p.RunOn(list[i].ID, time.Second)).To(Equal(time.Second))
			}
			now = now.Add(5 * time.Second)
			p.SpeedReports(now)
			g.Expect(p.Speed("i-3", now).Factor).To(Equal(1.0), "warm")
			g.Expect(p.RunOn("i-3", time.Second)).To(Equal(time.Second))
			c, _ := p.ChooseOnline("s", &Request{}, now)
			g.Expect(c.Factor).To(Equal(1.0))
			_, differing := p.KnownSpeeds()
			g.Expect(differing).To(BeZero())
		})
	}
}

// While a registration without a start time is listed, speeds aren't known. Afterwards the peak of online
// requests must be learned anew: an invalid one would keep items from the fast backend servers for good.
func TestPeakIsLearnedAnewAfterStartsWereMissing(t *testing.T) {
	g := NewWithT(t)
	list := servers(8, 8)
	p := newSpeedPool(8, true, 20*time.Millisecond, 40*time.Millisecond)
	g.Expect(p.speedViews["s"].itemsFast).To(BeTrue())
	p.SetServers(list)
	p.SpeedReports(testStart.Add(time.Second))
	for i := range list {
		list[i].Started = 1
	}
	p.SetServers(list)
	now := testStart.Add(2 * time.Second)
	for step := range 20 {
		for i := range list {
			event := 40 * time.Millisecond
			if i < 2 {
				event = 20 * time.Millisecond
			}
			p.RecordRun(list[i].ID, speed.Sample{Events: 22, Span: 21 * event}, now.Add(time.Duration(step)*250*time.Millisecond))
		}
	}
	p.SpeedReports(now.Add(5 * time.Second))
	g.Expect(p.speedViews["s"].differ).To(BeTrue())
	g.Expect(p.speedViews["s"].itemsFast).To(BeTrue())
}

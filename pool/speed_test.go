package pool

import (
	"cmp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
						c, _ = p.ChooseBatch("s", 0, now)
					} else {
						c, _ = p.ChooseOnline("s", nil, now)
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

package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// serve counts a request of a team that holds a slot for a time.
func (t *Table) serve(team string, run time.Duration, now time.Time) {
	t.Request(team, true, now)
	t.Start(team, run, now)
	t.End(team, run, run, now)
}

// A team that uses many times its share must have a higher rank than the others, also if its
// use is in a few long requests, and equal teams must have the same rank whatever the chance.
func TestRankFollowsSlotTime(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	use := &Table{}
	now := start
	for n := range 2000 {
		now = now.Add(10 * time.Millisecond)
		use.serve(fmt.Sprint(random.IntN(20)), time.Second, now)
		if n%20 == 0 {
			use.serve("long", 10*time.Second, now)
		}
	}
	g.Expect(use.Rank("long", now)).To(BeNumerically(">=", 2))
	for n := range 20 {
		g.Expect(use.Rank(fmt.Sprint(n), now)).To(BeZero())
	}
	g.Expect(use.Rank("unknown", now)).To(BeZero())
}

// The order of teams must not change by the passing of time, as requests in the queue aren't
// sorted again; once the others have had no requests, a team alone must have no rank.
func TestRankWithoutRequests(t *testing.T) {
	g := NewWithT(t)
	use := &Table{}
	for n := range 40 {
		use.serve("large", time.Second, start)
		use.serve(fmt.Sprint(n%4), time.Second, start)
	}
	rank := use.Rank("large", start)
	g.Expect(rank).To(BeNumerically(">", 0))
	g.Expect(use.Rank("large", start.Add(activeTime))).To(Equal(rank))
	use.Request("large", true, start.Add(2*activeTime))
	g.Expect(use.Rank("large", start.Add(2*activeTime))).To(BeZero())
}

// What other entries report must count as this entry's requests do, and age out when
// their entry is lost. A team that uses another service must not lose its place here.
func TestUseElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		here, elsewhere float64
		rank            int
	}{
		"no reports":                      {1, 0, 0},
		"many requests elsewhere":         {1, 300, 1},
		"most requests to other services": {300, 300, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			use := &Table{}
			for n := range 20 {
				use.serve(fmt.Sprint(n%4), time.Second, start)
			}
			use.serve("reported", time.Second, start)
			use.SetElsewhere("reported", c.here, c.elsewhere, start)
			g.Expect(min(use.Rank("reported", start), 1)).To(Equal(c.rank))
			later := start.Add(10 * Window)
			for n := range 20 {
				use.serve(fmt.Sprint(n%4), time.Second, later)
			}
			use.Request("reported", true, later)
			g.Expect(use.Rank("reported", later)).To(BeZero())
		})
	}
}

// Teams come and go, or send names without end: records must be removed after retention,
// and the number of active teams must stay right.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	use := &Table{}
	now := start
	for n := range 50_000 {
		now = now.Add(10 * time.Millisecond)
		use.serve(fmt.Sprint("team-", n), time.Second, now)
	}
	g.Expect(len(use.teams)).To(BeNumerically("<=", int(retention/(10*time.Millisecond))+1))
	g.Expect(use.recent.Len()).To(Equal(len(use.teams)))
	g.Expect(use.active).To(BeNumerically("~", int(activeTime/(10*time.Millisecond)), 1))
	// A run that ends after its team's record was removed changes nothing.
	before := use.total
	use.End("team-0", time.Second, time.Hour, now)
	g.Expect(use.total).To(Equal(before))
}

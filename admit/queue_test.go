package admit

import (
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const queueTarget = 300 * time.Millisecond

// addWaiting queues a request that has waited for some time.
func (q *Queue) addWaiting(now time.Time, ago time.Duration) *Waiter {
	w := NewWaiter(now.Add(-ago), queueTarget, 40*time.Millisecond)
	q.Add("s", w)
	return w
}

func (w *Waiter) expectOffer(g *WithT, want string) {
	select {
	case got := <-w.Offer:
		g.Expect(got).To(Equal(want))
	default:
		g.Expect("").To(Equal(want))
	}
}

// Callers retry after an outage and wait together with new requests. Free slots
// must go to requests that can still start on time, the oldest of them first.
// Late requests poll for slots and must not take one while such a request waits.
func TestFreeSlotsGoToOnTimeRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := &Queue{}
	late, young, old := q.addWaiting(now, time.Second), q.addWaiting(now, 20*time.Millisecond), q.addWaiting(now, 200*time.Millisecond)
	g.Expect(q.MustYield("s", late, now)).To(BeTrue())
	g.Expect(q.MustYield("s", young, now)).To(BeFalse())
	for _, server := range []string{"a", "b"} {
		g.Expect(q.OfferSlot("s", server, now)).To(BeTrue())
	}
	old.expectOffer(g, "a")
	young.expectOffer(g, "b")
	g.Expect(q.OfferSlot("s", "c", now)).To(BeFalse())
	g.Expect(q.OfferSlot("other", "c", now)).To(BeFalse())
	late.expectOffer(g, "")
	g.Expect(q.MustYield("s", late, now)).To(BeFalse())
}

// A request whose caller has disconnected must not be offered a slot.
func TestRemovedWaiterGetsNoOffer(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := &Queue{}
	w := q.addWaiting(now, 0)
	q.Remove("s", w)
	q.Remove("s", w)
	g.Expect(q.OfferSlot("s", "a", now)).To(BeFalse())
	w.expectOffer(g, "")
}

// plainQueue orders requests by latest start alone: late ones last, one service.
type plainQueue struct{ queued []*Waiter }

func (q *plainQueue) add(w *Waiter) {
	q.queued = append(q.queued, w)
	slices.SortStableFunc(q.queued, func(a, b *Waiter) int { return a.LatestStart.Compare(b.LatestStart) })
}

func (q *plainQueue) remove(w *Waiter) {
	q.queued = slices.DeleteFunc(q.queued, func(other *Waiter) bool { return other == w })
}

func (q *plainQueue) onTime(now time.Time) []*Waiter {
	return q.queued[sort.Search(len(q.queued), func(n int) bool { return !q.queued[n].late(now) }):]
}

func (q *plainQueue) ahead(w *Waiter, now time.Time) int {
	late := len(q.queued) - len(q.onTime(now))
	i := sort.Search(len(q.queued), func(n int) bool { return q.queued[n].LatestStart.After(w.LatestStart) })
	if w.late(now) {
		return len(q.queued) - late + i
	}
	return i - late
}

// Without teams and with one priority, each operation must give the result of an order by
// latest start alone: such deployments must be served as before.
func TestOrderWithoutTeamsIsByLatestStart(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		q, plain := &Queue{}, &plainQueue{}
		var known []*Waiter
		for range 2000 {
			now = now.Add(time.Duration(random.IntN(5)) * ms)
			var w *Waiter
			if len(known) > 0 && random.IntN(3) > 0 {
				w = known[random.IntN(len(known))]
			} else {
				w = NewWaiter(now.Add(-time.Duration(random.IntN(60)*10)*ms), queueTarget, 40*ms)
				known = append(known, w)
			}
			queued := slices.Contains(plain.queued, w)
			switch n := random.IntN(10); {
			case n < 6 && !queued:
				g.Expect(q.Ahead("s", w, now)).To(Equal(plain.ahead(w, now)))
				g.Expect(q.MustYield("s", w, now)).To(Equal(w.late(now) && len(plain.onTime(now)) > 0))
				q.Add("s", w)
				plain.add(w)
			case n < 8:
				q.Remove("s", w)
				plain.remove(w)
			default:
				first := plain.onTime(now)
				offered := q.OfferSlot("s", "a", now)
				if len(first) == 0 {
					g.Expect(offered).To(BeFalse())
					break
				}
				g.Expect(offered).To(Equal(true))
				w := first[0]
				plain.remove(w)
				w.expectOffer(g, "a")
			}
			g.Expect(q.CountOnTime("s", now)).To(Equal(len(plain.onTime(now))))
		}
	}
}

// teamQueue returns a queue in which the team "large" uses far more than its fair share.
func teamQueue(now time.Time) *Queue {
	q := &Queue{}
	for n := range 100 {
		w := NewWaiter(now, queueTarget, 40*ms)
		if w.Team = "large"; n%20 == 0 {
			w.Team = "small"
		}
		q.Arrive("s", w, 0, 0, now)
		q.Start("s", w, time.Second, now)
		q.End("s", w, time.Second, now)
	}
	return q
}

// The order is: on time, priority, team, latest start. A request must yield exactly to those
// before it by the first three, and count those before it.
func TestOrderOfRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	waiter := func(team string, priority int, ago time.Duration) *Waiter {
		w := NewWaiter(now.Add(-ago), queueTarget, 40*ms)
		w.Team, w.Priority = team, priority
		return w
	}
	for name, c := range map[string]struct {
		first, second *Waiter
		yields        bool
	}{
		"on time before late":                     {waiter("large", 2, 0), waiter("small", 0, time.Second), true},
		"urgent before an earlier start":          {waiter("small", 0, 0), waiter("small", 2, 200*ms), true},
		"urgent before a team below its share":    {waiter("large", 0, 0), waiter("small", 2, 0), true},
		"below the share before an earlier start": {waiter("small", 0, 0), waiter("large", 0, 200*ms), true},
		"late, below the share":                   {waiter("small", 0, time.Second), waiter("large", 0, 2*time.Second), true},
		"team without requests before":            {waiter("new", 0, 0), waiter("large", 0, 100*ms), true},
		"equal, earlier start":                    {waiter("small", 0, 100*ms), waiter("new", 0, 0), false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			q := teamQueue(now)
			q.Add("s", c.first)
			g.Expect(q.MustYield("s", c.second, now)).To(Equal(c.yields))
			g.Expect(q.Ahead("s", c.second, now)).To(Equal(1))
			q.Remove("s", c.first)
			q.Add("s", c.second)
			g.Expect(q.MustYield("s", c.first, now)).To(BeFalse())
			g.Expect(q.Ahead("s", c.first, now)).To(BeZero())
		})
	}
}

// A request that yields finds a slot that the first one would see only at its next poll. The
// slot must be offered to it, unless its team has to leave the headroom free.
func TestYieldedSlotIsHandedOver(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := teamQueue(now)
	small, large, late := NewWaiter(now, queueTarget, 40*ms), NewWaiter(now, queueTarget, 40*ms), NewWaiter(now.Add(-time.Second), queueTarget, 40*ms)
	small.Team, large.Team, late.Team = "small", "large", "small"
	q.Add("s", small)
	g.Expect(q.HandOver("s", "a", large, now)).To(BeTrue())
	small.expectOffer(g, "a")
	q.Add("s", large)
	g.Expect(q.HandOver("s", "b", late, now)).To(BeFalse())
	g.Expect(q.OfferSlot("s", "b", now)).To(BeFalse())
	above, others := q.AboveShare("s", large, now)
	g.Expect(above).To(BeTrue())
	g.Expect(others).To(BeNumerically(">", 0))
	// Once the other teams have no requests, the team may use all slots.
	later := now.Add(5 * time.Second)
	large.LatestStart = later.Add(time.Second)
	q.Arrive("s", large, 0, 0, later)
	above, _ = q.AboveShare("s", large, later)
	g.Expect(above).To(BeFalse())
	g.Expect(q.OfferSlot("s", "b", later)).To(BeTrue())
}

// A team is removed from the configuration or renamed, and its record expires, while a request
// of it waits. The request must stay in the queue, and its run must end without harm.
func TestRequestsOfAnUnknownTeamStayQueued(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	q := teamQueue(now)
	w := NewWaiter(now, time.Hour, 40*ms)
	w.Team = "small"
	q.Add("s", w)
	now = now.Add(10 * time.Minute)
	for range 10 {
		q.Arrive("s", &Waiter{Team: "new", LatestStart: now}, 0, 0, now)
	}
	g.Expect(q.CountOnTime("s", now)).To(Equal(1))
	g.Expect(q.OfferSlot("s", "a", now)).To(BeTrue())
	w.expectOffer(g, "a")
	q.Start("s", w, time.Second, now)
	q.End("s", w, time.Second, now)
	g.Expect(q.MustYield("s", w, now)).To(BeFalse())
}

// A team above its share has the most urgent priority, the others a lower one. It must not
// leave the headroom to these: they yield to it, and the slots would be idle.
func TestHeadroomIsNotLeftToLessUrgentTeams(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	for priority, want := range map[int]bool{0: false, 2: true} {
		q := &Queue{}
		large, other := NewWaiter(now, queueTarget, 40*time.Millisecond), NewWaiter(now, queueTarget, 40*time.Millisecond)
		large.Team, large.Priority, other.Team, other.Priority = "large", priority, "other", 2
		q.Arrive("s", other, 0, 0, now)
		for range 100 {
			q.Arrive("s", large, 0, 0, now)
			q.Start("s", large, time.Second, now)
		}
		above, others := q.AboveShare("s", large, now)
		g.Expect(above).To(Equal(want))
		g.Expect(others > 0).To(Equal(want))
		q.Add("s", large)
		g.Expect(q.OfferSlot("s", "a", now)).To(Equal(!want))
	}
}

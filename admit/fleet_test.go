package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fleetSim simulates a burst at many entries with the same backend servers. Each
// entry has a queue of its own and an outdated view of the other entries' load.
type fleetSim struct {
	entries, servers, slots int
	viewAge                 time.Duration
	// perSecond is the request rate during the burst, burst its length, run the
	// average run time.
	perSecond  float64
	burst, run time.Duration
	// headroom reports whether late requests leave slots to those that can start on time.
	headroom bool

	random *rand.Rand
	// taken is the load of each backend server, seen the load that each entry assumes.
	taken  []int
	seen   [][]int
	queued [][]queuedRequest
	queues []*Queue
	rates  []*Rates
	ends   []endOfRun
	result outcome
}

type endOfRun struct{ at, entry, server int }

const simStart = 1_000_000

func simTime(now int) time.Time { return time.UnixMilli(simStart + int64(now)) }

// simulate runs the burst in steps of 1 ms.
func (s *fleetSim) simulate() outcome {
	s.random = rand.New(rand.NewPCG(1, 1))
	s.taken = make([]int, s.servers)
	for range s.entries {
		s.seen = append(s.seen, make([]int, s.servers))
		s.queued = append(s.queued, nil)
		s.queues = append(s.queues, &Queue{})
		s.rates = append(s.rates, &Rates{})
	}
	due := 0.0
	for now := range int((s.burst + 4*time.Second).Milliseconds()) {
		s.end(now)
		if now < int(s.burst.Milliseconds()) {
			due += s.perSecond / 1000
		}
		for ; due >= 1; due-- {
			s.arrive(now)
		}
		for e := range s.entries {
			// The entries' views are refreshed one after the other, not all at once.
			if (now+e)%int(s.viewAge.Milliseconds()) == 0 {
				copy(s.seen[e], s.taken)
			}
			if (now+e)%15 == 0 {
				s.poll(e, now)
			}
		}
	}
	return s.result
}

func (s *fleetSim) arrive(now int) {
	e := s.random.IntN(s.entries)
	r := queuedRequest{arrived: now, waiter: NewWaiter(simTime(now), 300*ms, 80*ms)}
	s.rates[e].Add("s", simTime(now))
	s.result.arrived++
	if !s.send(e, r, now) {
		s.queued[e] = append(s.queued[e], r)
		s.queues[e].Add("s", r.waiter)
	}
}

// end ends runs and offers each free slot to an on-time request of the same entry.
func (s *fleetSim) end(now int) {
	still := s.ends[:0]
	for _, run := range s.ends {
		if run.at > now {
			still = append(still, run)
			continue
		}
		s.taken[run.server]--
		s.seen[run.entry][run.server]--
		s.queues[run.entry].OfferSlot("s", "", simTime(now))
	}
	s.ends = still
}

func (s *fleetSim) poll(e, now int) {
	waiting := s.queued[e]
	s.queued[e] = nil
	for _, r := range waiting {
		s.queues[e].Remove("s", r.waiter)
		if now-r.arrived >= 5000 || s.send(e, r, now) {
			continue
		}
		s.queued[e] = append(s.queued[e], r)
		s.queues[e].Add("s", r.waiter)
	}
}

// send reserves a slot where the entry assumes a free one, with at most five attempts.
func (s *fleetSim) send(e int, r queuedRequest, now int) bool {
	for range 5 {
		least := s.random.IntN(s.servers)
		for server, n := range s.seen[e] {
			if n < s.seen[e][least] {
				least = server
			}
		}
		waited := time.Duration(now-r.arrived) * ms
		a := Request{
			Online: s.seen[e][least], Slots: s.slots, Run: s.run, FirstByte: 80 * ms, Target: 300 * ms, Stream: true, Reserves: true,
			Waited: waited, Remaining: 5*time.Second - waited, StartTimeout: 5*time.Second - waited, Share: s.slots * s.servers,
			MustYield: s.queues[e].MustYield("s", r.waiter, simTime(now)),
		}
		if s.headroom {
			a.Headroom = Headroom(s.rates[e].PerSecond("s", simTime(now))*float64(s.entries), s.viewAge, s.servers)
		}
		if a.Decide().Action != Send {
			return false
		}
		if s.taken[least] >= s.slots {
			s.seen[e][least] = s.slots
			continue
		}
		s.taken[least]++
		s.seen[e][least]++
		took := s.run/2 + time.Duration(s.random.Int64N(int64(s.run)))
		s.ends = append(s.ends, endOfRun{now + int(took.Milliseconds()), e, least})
		s.result.served++
		if now-r.arrived+80 <= 300 {
			s.result.onTime++
		}
		return true
	}
	return false
}

// A burst of a fifth to a half more than all slots can take arrives at thirty
// entries. Each has its own queue, and in many of them only late requests wait. These
// take slots that requests at other entries could still use on time; those become
// late and do the same to later ones. With headroom more requests must be on time,
// and none must be lost. A small fleet, whose views are recent, needs no headroom,
// and no request must wait without need.
func TestHeadroomKeepsOnTimeRequestsOnTime(t *testing.T) {
	for name, test := range map[string]struct {
		sim  fleetSim
		gain float64
	}{
		"thirty entries": {fleetSim{entries: 31, servers: 44, slots: 7, viewAge: 120 * ms, perSecond: 480, burst: 2400 * ms, run: 800 * ms}, 1.04},
		"long burst":     {fleetSim{entries: 31, servers: 44, slots: 7, viewAge: 120 * ms, perSecond: 560, burst: 5 * time.Second, run: 800 * ms}, 1.04},
		"eight entries":  {fleetSim{entries: 8, servers: 18, slots: 8, viewAge: 25 * ms, perSecond: 200, burst: 2400 * ms, run: 800 * ms}, 0.98},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			without, with := test.sim, test.sim
			with.headroom = true
			a, b := without.simulate(), with.simulate()
			t.Logf("on time of %d: %d without, %d with headroom; answered %d and %d", a.arrived, a.onTime, b.onTime, a.served, b.served)
			g.Expect(float64(b.onTime)).To(BeNumerically(">=", test.gain*float64(a.onTime)))
			g.Expect(b.served).To(BeNumerically(">=", a.served*99/100))
		})
	}
}

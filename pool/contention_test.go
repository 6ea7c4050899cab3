package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// contentionSim simulates a fleet whose requests need more slots than there are
// in each burst. Entries know each other's loads as of the last update; a backend
// server knows its own load.
type contentionSim struct {
	random         *rand.Rand
	now            time.Time
	updateInterval time.Duration
	entries        []*simEntry
	// used is the actual load of each backend server.
	used map[string]int
	ends []simRun

	attempts, served, disconnected int
	// idle sums up the slots that are free while requests wait, busy those that are used.
	idle, busy int
	waits      []time.Duration
}

type simEntry struct {
	*Pool
	waiting    []time.Time
	nextUpdate time.Time
}

type simRun struct {
	at     time.Time
	entry  *simEntry
	server string
}

const (
	simSlots   = 7
	simRunTime = 800 * time.Millisecond
	// simCallerTimeout is how long a caller waits.
	simCallerTimeout = 2 * time.Second
	simStep          = 5 * time.Millisecond
)

func newContentionSim(entries, backends int, updateInterval time.Duration) *contentionSim {
	s := &contentionSim{random: rand.New(rand.NewPCG(7, uint64(entries))), now: testStart, updateInterval: updateInterval, used: map[string]int{}}
	for n := range entries {
		e := &simEntry{Pool: newPool(fmt.Sprint("front-", n), backends, simSlots)}
		e.nextUpdate = testStart.Add(time.Duration(s.random.Int64N(int64(updateInterval))))
		s.entries = append(s.entries, e)
	}
	return s
}

// run lets requests arrive at a rate, as a multiple of what all slots can serve.
func (s *contentionSim) run(load float64, t time.Duration) {
	capacity := float64(len(s.entries[0].servers)*simSlots) / simRunTime.Seconds()
	for end := s.now.Add(t); s.now.Before(end); s.now = s.now.Add(simStep) {
		for n := load * capacity * simStep.Seconds(); n > 0; n-- {
			if n >= 1 || s.random.Float64() < n {
				e := s.entries[s.random.IntN(len(s.entries))]
				e.waiting = append(e.waiting, s.now)
			}
		}
		s.end()
		waiting := 0
		for _, e := range s.entries {
			s.sendLoads(e)
			s.poll(e)
			waiting += len(e.waiting)
		}
		if waiting > 0 {
			s.idle += len(s.entries[0].servers)*simSlots - len(s.ends)
			s.busy += len(s.ends)
		}
	}
}

// end ends the runs that are due. They are in order of their start and all take as long.
func (s *contentionSim) end() {
	for len(s.ends) > 0 && !s.ends[0].at.After(s.now) {
		r := s.ends[0]
		s.ends = s.ends[1:]
		s.used[r.server]--
		r.entry.Done(r.server, false, false, s.now)
	}
}

// sendLoads sends an entry's loads to all others when its next update is due.
func (s *contentionSim) sendLoads(e *simEntry) {
	if s.now.Before(e.nextUpdate) {
		return
	}
	e.nextUpdate = s.now.Add(s.updateInterval)
	loads := e.OwnLoads()
	for _, other := range s.entries {
		if other != e {
			other.SetPeer(e.Name, loads, s.now)
		}
	}
}

// poll tries to reserve slots for the waiting requests of an entry, as a real request
// does: five attempts, then a pause.
func (s *contentionSim) poll(e *simEntry) {
	const attempts, pauseSteps = 5, 3
	waiting := e.waiting[:0]
	for n, since := range e.waiting {
		switch {
		case s.now.Sub(since) > simCallerTimeout:
			s.disconnected++
			continue
		case int(s.now.Sub(since)/simStep)%pauseSteps != 0 && s.now != since:
			waiting = append(waiting, since)
			continue
		}
		if !s.reserve(e, attempts) {
			waiting = append(waiting, e.waiting[n])
			continue
		}
		s.served++
		s.waits = append(s.waits, s.now.Sub(since))
	}
	e.waiting = waiting
}

func (s *contentionSim) reserve(e *simEntry, attempts int) bool {
	for range attempts {
		c, ok := e.ChooseOnline("s", &Request{}, s.now)
		if !ok {
			return false
		}
		if c.Full() {
			e.CancelOnline(c.ID)
			return false
		}
		s.attempts++
		if s.used[c.ID] < simSlots {
			s.used[c.ID]++
			s.ends = append(s.ends, simRun{s.now.Add(simRunTime), e, c.ID})
			e.RecordReserved(c.ID)
			return true
		}
		e.CancelOnline(c.ID)
		e.RecordFull(c.ID, s.now)
	}
	return false
}

// Bursts need a third more slots than there are, two seconds of every five. With a
// hundred entries all of them try to reserve each slot that is freed. The number of
// attempts must stay affordable, and no slot must stay idle for lack of attempts. An
// attempt costs an entry 0.1 ms. 190 a second are 1.9% of a core, which is all that an
// entry may spend on control in a burst; bursts last less than half of the time.
func TestReservationAttemptsStayAffordable(t *testing.T) {
	for name, test := range map[string]struct {
		entries, backends int
		updateInterval    time.Duration
	}{
		"8 entries":  {8, 8, 28 * time.Millisecond},
		"31 entries": {31, 40, 64 * time.Millisecond},
		"88 entries": {88, 62, 160 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const burst = 2 * time.Second
			s := newContentionSim(test.entries, test.backends, test.updateInterval)
			for range 2 {
				s.run(0.4, time.Second)
				s.run(1.35, burst)
				s.run(0.4, 2*time.Second)
			}
			rate := float64(s.attempts) / float64(test.entries) / (2 * burst).Seconds()
			idle := float64(s.idle) / float64(s.idle+s.busy)
			t.Logf("%d served, %d disconnected, %.2f attempts a request, %.0f attempts a second of a burst and entry, %.3f of the slots idle while requests wait",
				s.served, s.disconnected, float64(s.attempts)/float64(s.served), rate, idle)
			g.Expect(rate).To(BeNumerically("<=", 190))
			g.Expect(idle).To(BeNumerically("<=", 1.0/simSlots), "at most one slot of each backend server")
		})
	}
}

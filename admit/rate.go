package admit

import (
	"math"
	"sync"
	"time"
)

// rateDecay is the decay time of a rate. A burst shows in the rate within this
// time, and the rate falls as fast after it.
const rateDecay = 500 * time.Millisecond

// Rates measures the requests per second of each service; its zero value is ready.
type Rates struct {
	mu    sync.Mutex
	rates map[string]*rate
}

// rate is a count of requests that decays exponentially with their age.
type rate struct {
	count float64
	at    time.Time
}

// decay updates the count to the given time.
func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.count *= math.Exp(-float64(elapsed) / float64(rateDecay))
		r.at = now
	}
}

// Add counts a request.
func (a *Rates) Add(service string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.rates[service]
	if r == nil {
		if a.rates == nil {
			a.rates = map[string]*rate{}
		}
		r = &rate{at: now}
		a.rates[service] = r
	}
	r.decay(now)
	r.count++
}

// PerSecond returns the rate of a service's requests.
func (a *Rates) PerSecond(service string, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.rates[service]
	if r == nil {
		return 0
	}
	r.decay(now)
	return r.count / rateDecay.Seconds()
}

// Headroom returns how many slots of each backend server late requests leave free
// for those that can still start on time: the number of such requests that arrive
// for each backend server before the entries have received each other's loads.
//
// It is designed for bursts larger than all slots at thirty entries, each with its
// own queue. If only late requests wait at one entry, they take slots that requests
// at other entries could still use on time, since an entry receives the update about
// a free slot 120 ms later. With eight entries and views that are 25 ms old the
// result is 0; headroom would make late requests wait without need.
func Headroom(perSecond float64, viewAge time.Duration, servers int) int {
	return int(math.Round(updatesPerReuse * perSecond * viewAge.Seconds() / float64(max(servers, 1))))
}

// updatesPerReuse is how many load updates pass between the end of a response and
// the visible use of its slot by another entry: one reports that the slot is free,
// one that it is taken again.
const updatesPerReuse = 2

// ShareHeadroom returns how many slots of each backend server requests of a team above its
// fair share leave free: the on-time requests of all other teams that arrive within one load
// update. By then their entries have received that the slots are free.
//
// It is designed for a team that sends half of all requests in a burst beyond all slots: at
// entries where only its requests wait, it would take slots that other teams' requests
// at other entries need. Twice as much, as for late requests, serves the others no better and
// makes a tenth of the large teams' requests late where the use of teams differs much every day.
func ShareHeadroom(othersPerSecond float64, viewAge time.Duration, servers int) int {
	return Headroom(othersPerSecond/updatesPerReuse, viewAge, servers)
}

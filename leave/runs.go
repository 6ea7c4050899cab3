package leave

import (
	"slices"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// numRuns is the number of latest run times kept for a route, of which the longest numOutliers are left out once there
	// are so many: a single run may have been held up.
	numRuns     = 32
	numOutliers = 2
	// maxKeys bounds the number of routes and services with run times, since routes may be renamed without end.
	maxKeys = 1000
	// repeatableShare is the part of its timeout that a request without any known run time is given, if it may be repeated
	// elsewhere. Others are given all of it.
	repeatableShare = 0.5
)

// Runs knows how long the latest requests of each route, and of each service, took at their backend servers; its zero value
// is ready.
type Runs struct {
	mu     sync.Mutex
	latest map[runsKey]*runs
}

// runsKey is either the name of a route or that of a service.
type runsKey struct{ route, service string }

// runs holds latest run times; next is the index of the oldest one once all are used.
type runs struct {
	times []time.Duration
	next  int
}

// Record records a complete run of a request of a route at a backend server of a service.
func (r *Runs) Record(route *sardinerock.Route, service string, run time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(runsKey{route: route.Name}, run)
	r.record(runsKey{service: service}, run)
}

func (r *Runs) record(key runsKey, run time.Duration) {
	latest := r.latest[key]
	if latest == nil {
		if r.latest == nil || len(r.latest) >= maxKeys {
			r.latest = map[runsKey]*runs{}
		}
		latest = &runs{}
		r.latest[key] = latest
	}
	if len(latest.times) < numRuns {
		latest.times = append(latest.times, run)
		return
	}
	latest.times[latest.next] = run
	latest.next = (latest.next + 1) % numRuns
}

// Expected returns how long a request of a route takes at most by what the latest ones took, or else the latest ones of the
// services of the route. known is false if there were none; then it is the timeout of the route, or a part of it.
func (r *Runs) Expected(route *sardinerock.Route) (run time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if latest := r.latest[runsKey{route: route.Name}]; latest != nil {
		return latest.longest(), true
	}
	for _, s := range route.Shares {
		if latest := r.latest[runsKey{service: s.Service}]; latest != nil {
			run, known = max(run, latest.longest()), true
		}
	}
	switch {
	case known:
		return run, true
	case route.Repeatable():
		return time.Duration(repeatableShare * float64(route.Timeout)), false
	}
	return route.Timeout, false
}

// longest returns the longest run time without the outliers.
func (r *runs) longest() time.Duration {
	sorted := slices.Sorted(slices.Values(r.times))
	if len(sorted) == numRuns {
		sorted = sorted[:numRuns-numOutliers]
	}
	return sorted[len(sorted)-1]
}

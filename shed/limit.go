package shed

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is the time over which new connections are counted.
	window = time.Second
	// watchedRate is the number of new connections in a window from which the process watches its lag. Below it
	// nothing is measured and no connection is shed.
	watchedRate = 20
	// maxLag is how late timers of an overloaded process fire. All of the last lagSamples must be, so that neither a
	// pause for garbage collection nor a processor quota that is used up for a part of each period counts.
	maxLag     = 80 * time.Millisecond
	lagSamples = 4
	// maxOverdue is the same for a single timer, and for one that hasn't fired yet. It is longer than the pause of a
	// processor quota.
	maxOverdue = 150 * time.Millisecond
	// SampleInterval is the time between two measurements of the lag.
	SampleInterval = 10 * time.Millisecond
	// measureTime is how long an overload must last before the requests that were completed in it show how many the
	// process can serve. Of these, usedShare are read from then on.
	measureTime = 300 * time.Millisecond
	usedShare   = 0.8
	// growth is the relative growth of the limit in a second without overload.
	growth = 0.1
	// minRate is the least limit, in connections a second.
	minRate = 1.0
	// burst is the number of connections that are read at once, in seconds of the limit.
	burst = 0.1
	// releaseTime is how long after the latest overload the limit is lifted, if it isn't reached any more.
	releaseTime = 5 * time.Second
)

// Limiter decides which new connections are read. It answers a load where most new connections of an availability zone or
// of a region come to one entry: read all, they would be answered late, or not at all, while other entries
// have nothing to do. Its methods are safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// offered holds the times of the new connections in the last window.
	offered []time.Time
	// lags are the latest measurements, the oldest first, and due is when the next timer is to fire; zero if none is
	// running.
	lags []time.Duration
	due  time.Time
	// overloadedSince is since when the process has been overloaded; zero if it isn't. completed counts the requests
	// completed since then.
	overloadedSince time.Time
	completed       int
	// rate is the limit in connections a second; 0 if there is none. tokens are left of it.
	rate, tokens float64
	// limitedAt is when the limit was last measured, and updatedAt when rate and tokens were last computed.
	limitedAt, updatedAt time.Time
}

// Decision is what is to be done with a new connection.
type Decision struct {
	// Read is set if the connection is to be read.
	Read bool
	// Watch is set if the lag is to be measured.
	Watch bool
	// Overloaded is set if the process is overloaded now; otherwise the limit is reached.
	Overloaded bool
	// Rate is the limit in connections a second; 0 if there is none.
	Rate float64
}

// Accept decides on a new connection.
func (l *Limiter) Accept(now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offered = append(recent(l.offered, now), now)
	l.update(now)
	d := Decision{Watch: l.watching(), Overloaded: !l.overloadedSince.IsZero(), Rate: l.rate}
	d.Read = !d.Overloaded && (l.rate == 0 || l.tokens >= 1)
	if d.Read && l.rate > 0 {
		l.tokens--
	}
	return d
}

// Completed records the end of the first request on a connection that was read.
func (l *Limiter) Completed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed++
}

// Expect records when the next timer is to fire, after which Observe is called.
func (l *Limiter) Expect(due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due = due
}

// Observe records that the timer fired, and returns whether another one is to follow. If not, the next
// connection has the lag measured anew.
func (l *Limiter) Observe(now time.Time) (watch bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lags = append(l.lags, now.Sub(l.due)); len(l.lags) > lagSamples {
		l.lags = slices.Delete(l.lags, 0, 1)
	}
	l.due = time.Time{}
	l.offered = recent(l.offered, now)
	l.update(now)
	if l.watching() {
		return true
	}
	l.lags = nil
	return false
}

func (l *Limiter) watching() bool {
	return l.rate > 0 || !l.overloadedSince.IsZero() || len(l.offered) >= watchedRate
}

// lagging reports whether the lag shows that the process is overloaded.
func (l *Limiter) lagging(now time.Time) bool {
	switch n := len(l.lags); {
	case !l.due.IsZero() && now.Sub(l.due) > maxOverdue:
		return true
	case n > 0 && l.lags[n-1] > maxOverdue:
		return true
	default:
		return n == lagSamples && slices.Min(l.lags) > maxLag
	}
}

// update brings the state of the overload and the limit up to date.
func (l *Limiter) update(now time.Time) {
	lagging := l.lagging(now)
	switch {
	case lagging && l.overloadedSince.IsZero():
		l.overloadedSince, l.completed = now, 0
	case !lagging && !l.overloadedSince.IsZero():
		if lasted := now.Sub(l.overloadedSince); lasted >= measureTime {
			l.rate = max(minRate, usedShare*float64(l.completed)/lasted.Seconds())
			l.tokens, l.limitedAt = 0, now
		}
		l.overloadedSince = time.Time{}
	}
	elapsed := min(now.Sub(l.updatedAt), window).Seconds()
	l.updatedAt = now
	if l.rate == 0 || elapsed <= 0 || lagging {
		return
	}
	l.rate += l.rate * growth * elapsed
	l.tokens = min(l.tokens+l.rate*elapsed, max(1, l.rate*burst))
	if now.Sub(l.limitedAt) > releaseTime && float64(len(recent(l.offered, now))) < l.rate*window.Seconds() {
		l.rate, l.tokens = 0, 0
	}
}

// recent returns the times within the last window. Times are in order.
func recent(times []time.Time, now time.Time) []time.Time {
	n, _ := slices.BinarySearchFunc(times, now.Add(-window), time.Time.Compare)
	return times[n:]
}

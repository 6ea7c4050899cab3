package shed

import (
	"slices"
	"sync"
	"time"
)

const (
	// window is the time over which new connections are counted.
	window = time.Second
	// watchedRate is the number of new connections in a window below which none is shed.
	watchedRate = 20
	// maxDelay is the delay from accepting a connection to reading its request in a process that is overloaded. All of
	// the last delays must be longer, since a caller may send its request late, and since a pause for garbage
	// collection, or a processor quota that is used up for a part of each period, delays only some.
	maxDelay  = 50 * time.Millisecond
	numDelays = 6
	// maxPause is how long a process that isn't overloaded reads no request while numDelays connections wait for that.
	// It is longer than the pause of a processor quota.
	maxPause = 150 * time.Millisecond
	// probeInterval is the time between two connections that an overloaded process reads to see whether it still is.
	probeInterval = 100 * time.Millisecond
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
	// delays are the latest delays until a request was read, the oldest first, and readAt is when the last of them was.
	delays []time.Duration
	readAt time.Time
	// unread is the number of connections that were accepted to be read, and whose request wasn't read yet. The first of
	// them came at unreadSince.
	unread      int
	unreadSince time.Time
	// overloadedSince is since when the process has been overloaded; zero if it isn't. completed counts the requests
	// completed since then, and probedAt is when a connection was last read nevertheless.
	overloadedSince, probedAt time.Time
	completed                 int
	// rate is the limit in connections a second; 0 if there is none. tokens are left of it.
	rate, tokens float64
	// limitedAt is when the limit was last measured, and updatedAt when rate and tokens were last computed.
	limitedAt, updatedAt time.Time
}

// Decision is what is to be done with a new connection.
type Decision struct {
	// Read is set if the connection is to be read.
	Read bool
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
	d := Decision{Overloaded: !l.overloadedSince.IsZero(), Rate: l.rate}
	switch {
	case d.Overloaded:
		if d.Read = now.Sub(l.probedAt) >= probeInterval; d.Read {
			l.probedAt = now
		}
	case l.rate > 0:
		if d.Read = l.tokens >= 1; d.Read {
			l.tokens--
		}
	default:
		d.Read = true
	}
	if d.Read {
		if l.unread++; l.unread == 1 {
			l.unreadSince = now
		}
	}
	return d
}

// Received records that the first request on a connection was read, with the delay since the connection was accepted.
func (l *Limiter) Received(delay time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaveUnread(now)
	if l.delays = append(l.delays, delay); len(l.delays) > numDelays {
		l.delays = slices.Delete(l.delays, 0, 1)
	}
	l.readAt = now
	l.update(now)
}

// Completed records the end of the first request on a connection. received is set if it was read.
func (l *Limiter) Completed(received bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !received {
		l.leaveUnread(now)
		return
	}
	l.completed++
}

func (l *Limiter) leaveUnread(now time.Time) {
	l.unread--
	// The time at which the next one came isn't kept; it hasn't been overdue for longer than since now.
	l.unreadSince = now
}

// lagging reports whether the delays show that the process is overloaded.
func (l *Limiter) lagging(now time.Time) bool {
	n := len(l.delays)
	switch {
	case len(recent(l.offered, now)) < watchedRate:
		return false
	case l.unread >= numDelays && now.Sub(l.unreadSince) > maxPause && now.Sub(l.readAt) > maxPause:
		return true
	case !l.overloadedSince.IsZero():
		return n > 0 && l.delays[n-1] > maxDelay || l.readAt.Before(l.overloadedSince)
	}
	return n == numDelays && slices.Min(l.delays) > maxDelay && now.Sub(l.readAt) <= window
}

// update brings the state of the overload and the limit up to date.
func (l *Limiter) update(now time.Time) {
	lagging := l.lagging(now)
	switch {
	case lagging && l.overloadedSince.IsZero():
		l.overloadedSince, l.probedAt, l.completed = now, now, 0
	case !lagging && !l.overloadedSince.IsZero():
		if lasted := now.Sub(l.overloadedSince); lasted >= measureTime {
			l.rate = max(minRate, usedShare*float64(l.completed)/lasted.Seconds())
			l.tokens, l.limitedAt = 0, now
		}
		l.overloadedSince, l.delays = time.Time{}, nil
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

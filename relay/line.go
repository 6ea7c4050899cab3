package relay

import (
	"sync"
	"time"
)

// waiter is a request that waits at this entry for a slot.
type waiter struct {
	// since is when its caller began to wait, over all tries.
	since time.Time
	// target is the time from since on within which its answer has to begin.
	target time.Duration
	// offer takes the backend server where a slot has come free.
	offer chan string
}

// late says whether the answer can't begin in time any more.
func (h *waiter) late(now time.Time) bool { return now.Sub(h.since)+firstEventTime > h.target }

// line holds the requests that wait at this entry, by service; its zero value is ready.
//
// The load that it answers: a burst brings more requests than all slots can
// take, for two seconds. The entry whose answer ends is the first to know that
// a slot is free, 100 ms before the others hear of it, and gives it to a request
// of its own: the oldest of those that can still begin in time. Those that can't
// are late in any case; they look for what is left, some times a second. With
// requests queueing at backend servers instead, each entry believed that the
// others had none there, and every third was late in a burst that was a fifth
// too large.
type line struct {
	mu      sync.Mutex
	waiting map[string][]*waiter
}

// join adds a request.
func (l *line) join(service string, h *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == nil {
		l.waiting = map[string][]*waiter{}
	}
	l.waiting[service] = append(l.waiting[service], h)
}

// leave takes a request out, if it is still in.
func (l *line) leave(service string, h *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.waiting[service]
	for n := range all {
		if all[n] == h {
			l.waiting[service] = append(all[:n], all[n+1:]...)
			return
		}
	}
}

// give offers a free slot of a backend server to the request that should have
// it, and says whether there is one.
func (l *line) give(service, server string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := l.first(service, now)
	if best < 0 {
		return false
	}
	all := l.waiting[service]
	h := all[best]
	l.waiting[service] = append(all[:best], all[best+1:]...)
	select {
	case h.offer <- server:
		return true
	default:
		// It has an offer that it didn't see yet.
		return false
	}
}

// first returns the place of the oldest request that isn't late; -1 if none waits.
func (l *line) first(service string, now time.Time) int {
	best := -1
	for n, h := range l.waiting[service] {
		if !h.late(now) && (best < 0 || h.since.Before(l.waiting[service][best].since)) {
			best = n
		}
	}
	return best
}

// yields says whether a request has to leave a free slot to others: one that is
// late, while one waits that isn't.
func (l *line) yields(service string, h *waiter, now time.Time) bool {
	if !h.late(now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first(service, now) >= 0
}

package admit

import (
	"sync"
	"time"
)

// Waiter is a request that waits at this entry for a slot.
type Waiter struct {
	// Since is when its caller began to wait, over all tries.
	Since time.Time
	// Target is the time from Since on within which its answer has to begin.
	Target time.Duration
	// Offer takes the backend server where a slot has come free.
	Offer chan string
}

// late says whether the answer can't begin in time any more.
func (h *Waiter) late(now time.Time) bool { return now.Sub(h.Since)+firstEventTime > h.Target }

// Line holds the requests that wait at this entry, by service; its zero value is ready.
//
// The load that it answers: a burst brings more requests than all slots can
// take, for two seconds. The entry whose answer ends is the first to know that
// a slot is free, 100 ms before the others hear of it, and gives it to a request
// of its own: the oldest of those that can still begin in time. Those that can't
// are late in any case; they look for what is left, some times a second. With
// requests queueing at backend servers instead, each entry believed that the
// others had none there, and every third was late in a burst that was a fifth
// too large.
type Line struct {
	mu      sync.Mutex
	waiting map[string][]*Waiter
}

// Join adds a request.
func (l *Line) Join(service string, h *Waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting == nil {
		l.waiting = map[string][]*Waiter{}
	}
	l.waiting[service] = append(l.waiting[service], h)
}

// Leave takes a request out, if it is still in.
func (l *Line) Leave(service string, h *Waiter) {
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

// Give offers a free slot of a backend server to the request that should have
// it, and says whether there is one.
func (l *Line) Give(service, server string, now time.Time) bool {
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
	case h.Offer <- server:
		return true
	default:
		// It has an offer that it didn't see yet.
		return false
	}
}

// first returns the place of the oldest request that isn't late; -1 if none waits.
func (l *Line) first(service string, now time.Time) int {
	best := -1
	for n, h := range l.waiting[service] {
		if !h.late(now) && (best < 0 || h.Since.Before(l.waiting[service][best].Since)) {
			best = n
		}
	}
	return best
}

// Yields says whether a request has to leave a free slot to others: one that is
// late, while one waits that isn't.
func (l *Line) Yields(service string, h *Waiter, now time.Time) bool {
	if !h.late(now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first(service, now) >= 0
}

// NewWaiter returns a request that may join a line.
func NewWaiter(since time.Time, target time.Duration) *Waiter {
	return &Waiter{Since: since, Target: target, Offer: make(chan string, 1)}
}

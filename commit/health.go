package commit

import (
	"math"
	"sync"
	"time"
)

// slowAppend is the time after which an append in flight counts as not working. An answer takes a
// few milliseconds.
const slowAppend = 100 * time.Millisecond

// health records whether the appends of an appender succeed.
type health struct {
	mu sync.Mutex
	// workingSince is when the first append succeeded after the last one that failed. It is zero
	// before the first append, and while failing is set.
	workingSince time.Time
	failing      bool
	// began is when the attempt in flight began; it is zero if there is none.
	began time.Time
}

func (h *health) attemptBegan(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began = now
}

func (h *health) attemptEnded(now time.Time, succeeded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began, h.failing = time.Time{}, !succeeded
	switch {
	case !succeeded:
		h.workingSince = time.Time{}
	case h.workingSince.IsZero():
		h.workingSince = now
	}
}

// WorkingFor returns the time since the first successful append after the last failed one. It is 0
// while appends fail, take long, or the first one is in flight. Before the first append it is the
// greatest duration.
func (a *Appender) WorkingFor(now time.Time) time.Duration {
	h := &a.health
	h.mu.Lock()
	defer h.mu.Unlock()
	inFlight, first := !h.began.IsZero(), h.workingSince.IsZero()
	switch {
	case h.failing, inFlight && (first || now.Sub(h.began) > slowAppend):
		return 0
	case first:
		return math.MaxInt64
	}
	return max(now.Sub(h.workingSince), 1)
}

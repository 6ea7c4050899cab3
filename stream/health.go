package stream

import (
	"sync"
	"time"
)

// Health tracks from the results of a process's appends whether the log accepts them.
type Health struct {
	mu           sync.Mutex
	failingSince time.Time
	lastFailure  time.Time
	count        int64
}

// failureExpiry is how long after the last failure, without further appends, the
// log counts as failing: jobs must not be refused for an outage that has ended.
const failureExpiry = 3 * time.Second

func (h *Health) record(err error, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	if err == nil {
		h.failingSince, h.lastFailure = time.Time{}, time.Time{}
		return
	}
	if h.failingSince.IsZero() {
		h.failingSince = now
	}
	h.lastFailure = now
}

// FailingSince returns the time of the first failure since the last successful
// append, or zero if there is none or failureExpiry has passed since the last one.
func (h *Health) FailingSince(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failingSince.IsZero() || now.Sub(h.lastFailure) > failureExpiry {
		return time.Time{}
	}
	return h.failingSince
}

// Appends returns the number of attempted appends.
func (h *Health) Appends() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count
}

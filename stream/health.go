package stream

import (
	"sync"
	"time"
)

// Health tells from the appends of a process whether the log takes them.
type Health struct {
	mu    sync.Mutex
	since time.Time
	last  time.Time
	count int64
}

// failureMemory is how long one failure stands without another try: an
// outage that ended unnoticed must not keep refusing jobs.
const failureMemory = 3 * time.Second

func (h *Health) note(err error, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	if err == nil {
		h.since, h.last = time.Time{}, time.Time{}
		return
	}
	if h.since.IsZero() {
		h.since = now
	}
	h.last = now
}

// FailingSince returns since when no append succeeded, or zero if the log is
// believed to take them.
func (h *Health) FailingSince(now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() || now.Sub(h.last) > failureMemory {
		return time.Time{}
	}
	return h.since
}

// Appends returns how many appends were tried.
func (h *Health) Appends() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count
}

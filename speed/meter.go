package speed

import "time"

const (
	// maxHeldUp is how long a reader may take between two reads, for writing to its caller, without
	// the time between two events being affected. A write takes less than a millisecond unless
	// the caller doesn't read.
	maxHeldUp = 5 * time.Millisecond
	// minWait is how long a reader waits at least for an event that wasn't received before.
	minWait = time.Millisecond
)

// Meter measures the time between the events of one response. It leaves out the times for which the
// reader was held up, and the events that queued up meanwhile.
type Meter struct {
	last      time.Time
	intervals int
	span      time.Duration
}

// Event adds an event that was received at a time by a reader that had waited for it since another.
func (m *Meter) Event(since, at time.Time) {
	switch {
	case !m.last.IsZero() && since.Sub(m.last) <= maxHeldUp:
		m.intervals++
		m.span += at.Sub(m.last)
	case at.Sub(since) < minWait:
		// The event was received earlier, at an unknown time.
		m.last = time.Time{}
		return
	}
	m.last = at
}

// EventNow adds an event that was received by a reader that is never held up.
func (m *Meter) EventNow(at time.Time) {
	if !m.last.IsZero() {
		m.intervals++
		m.span += at.Sub(m.last)
	}
	m.last = at
}

// Sample returns what the response shows. load is the share of the backend server's slots that were
// in use when the request was sent.
func (m *Meter) Sample(load float64) Sample {
	return Sample{Events: m.intervals + 1, Span: m.span, Load: load}
}

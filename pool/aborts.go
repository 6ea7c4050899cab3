package pool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minSuspicion and maxSuspicion bound how long after an abort a backend server
	// is suspect: requests that may run only once are sent there only if no other has
	// a slot. The time doubles with each further abort: a backend server that restarts
	// every second aborts again each time and looks healthy in between.
	minSuspicion = time.Second
	maxSuspicion = 8 * time.Second
	// abortWindow is the time within which several aborts count as one. When a backend
	// server fails, all its requests end at once, and each entry reports it.
	abortWindow = 300 * time.Millisecond
)

// Abort reports that a backend server aborted a request or answered it with a
// server error.
type Abort struct {
	// Server is Hash of the backend server's id.
	Server uint32
	// Age is the time since the abort.
	Age time.Duration
}

// abortHistory is what an entry knows of a backend server's aborts.
type abortHistory struct {
	// last is the time of the last abort that any entry has seen, lastOwn of the last
	// that this entry has seen.
	last, lastOwn time.Time
	suspicion     time.Duration
}

// record adds an abort at the given time.
func (h *abortHistory) record(at time.Time) {
	switch since := at.Sub(h.last); {
	case since < abortWindow:
		if since > 0 {
			h.last = at
		}
		return
	case since > 2*maxSuspicion:
		h.suspicion = 0
	}
	h.last = at
	h.suspicion = min(max(2*h.suspicion, minSuspicion), maxSuspicion)
}

// suspect reports whether requests that may run only once should go elsewhere.
func (h *abortHistory) suspect(now time.Time) bool {
	return !h.last.IsZero() && now.Sub(h.last) < h.suspicion
}

// RecordAbort records that a backend server aborted a request of this entry or
// answered it with a server error.
func (p *Pool) RecordAbort(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		s.recordAbort(now)
	}
}

func (s *server) recordAbort(now time.Time) {
	s.aborts.lastOwn = now
	s.aborts.record(now)
}

// Aborts returns the aborts that this entry has seen within a span, ordered by
// Server. They are sent to the other entries.
//
// It is designed for a fleet in which a tenth of the backend servers fails and
// restarts every second or two. Each entry sends each of them a request every five
// seconds. If each had to see an abort of its own, thirty entries would run into
// thirty aborts, and each request that may run only once would be lost, since it
// is unknown whether it ran.
func (p *Pool) Aborts(now time.Time, span time.Duration) []Abort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var aborts []Abort
	for _, s := range p.servers {
		if age := now.Sub(s.aborts.lastOwn); !s.aborts.lastOwn.IsZero() && age <= span {
			aborts = append(aborts, Abort{Server: s.hash, Age: age})
		}
	}
	slices.SortFunc(aborts, func(a, b Abort) int { return cmp.Compare(a.Server, b.Server) })
	return aborts
}

// ReceiveAborts records the aborts that another entry has seen.
func (p *Pool) ReceiveAborts(aborts []Abort, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range aborts {
		if s := p.byHash[a.Server]; s != nil {
			s.aborts.record(now.Add(-a.Age))
		}
	}
}

// Suspect reports whether a backend server has recently aborted a request of any entry.
func (p *Pool) Suspect(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	return s != nil && s.aborts.suspect(now)
}

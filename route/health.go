package route

import "time"

const (
	// failuresToEject is the number of consecutive failures after which a backend
	// server is ejected: a request may cause one, but hardly three in a row.
	failuresToEject = 3
	// slowToEject is the slowness from which a backend server is ejected; below it
	// the score alone reduces its share.
	slowToEject = 3.0
	// minSlowSamples is the number of samples needed to eject for slowness.
	minSlowSamples = 5
	// minEjection is the duration of the first ejection; each further one is longer
	// by the same time, up to maxEjection.
	minEjection = 10 * time.Second
	maxEjection = 2 * time.Minute
	// maxEjectedShare limits the ejected share of the fleet. If half of it fails,
	// the cause is more likely the network or the load, and ejection would overload
	// the rest.
	maxEjectedShare = 0.2
)

// health holds this entry's measurements of a backend server.
type health struct {
	failures     int
	tokenGap     mean
	ejected      bool
	ejectedUntil time.Time
	ejections    int
}

// checkEjection ejects a backend server that fails or is slow, up to a share of the fleet.
//
// Load pattern: one backend server fails every request at once. It always appears
// idle, so the load score would send it more than any other, and most of the fleet's
// requests would fail. A slow one already gets few requests by its score, which
// includes the slowness; ejection stops those as well. When the ejection ends, the
// backend server returns with slow start.
func (t *Table) checkEjection(now time.Time, b *backend, s Sample) {
	h := &b.health
	if s.Failed {
		h.failures++
	} else {
		h.failures = 0
		h.tokenGap.add(s.TokenGap.Seconds())
	}
	slow := h.tokenGap.count >= minSlowSamples && t.fleet.slowness(b) >= slowToEject
	if h.ejected || !slow && h.failures < failuresToEject || !t.mayEject() {
		return
	}
	h.ejected = true
	h.ejections++
	h.ejectedUntil = now.Add(min(time.Duration(h.ejections)*minEjection, maxEjection))
	h.failures = 0
	t.fleet.ejected = append(t.fleet.ejected, b)
}

// mayEject reports whether one more backend server may be ejected.
func (t *Table) mayEject() bool {
	maxEjected := max(1, int(maxEjectedShare*float64(len(t.backends))))
	return len(t.backends) > 1 && len(t.fleet.ejected) < maxEjected
}

// restoreEjected ends expired ejections.
func (t *Table) restoreEjected(now time.Time) {
	remaining := t.fleet.ejected[:0]
	for _, b := range t.fleet.ejected {
		if !b.health.ejected {
			continue
		}
		if now.Before(b.health.ejectedUntil) {
			remaining = append(remaining, b)
			continue
		}
		b.health = health{ejections: b.health.ejections}
		b.rampStart = now
	}
	t.fleet.ejected = remaining
}

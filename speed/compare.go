package speed

import (
	"math"
	"time"
)

const (
	// updateInterval is how long a comparison of a service's backend servers is reused. It visits
	// all of them, and estimates change only over seconds.
	updateInterval = 250 * time.Millisecond
	// staleInterval is the same where a decision waits for it. It only applies if Update isn't called.
	staleInterval = time.Second
	// tail is the inverse share of the backend servers at each end whose speed doesn't count as a
	// difference within the service.
	tail = 10
	// warmUpSlowness is the assumed slowness of a backend server in its stated warm-up: half as fast
	// as usual.
	warmUpSlowness = 1
	// minChange is the change of an estimate that is reported by Changes, a factor of 1.25.
	minChange = 0.32 * octave
	// maxChanges limits the number of changes that wait for Changes.
	maxChanges = 8
)

// minDifference is the difference in level between the fastest and the slowest tenth from which the
// speeds of a service differ: a factor of 1.5.
var minDifference = octave * math.Log2(1.5)

// comparison is the result of comparing the backend servers of one service.
type comparison struct {
	records []*record
	at      time.Time
	// differ is set if the speeds differ. Then boundary is the difference below which a server is fast.
	differ   bool
	boundary float64
	// warming is set if the speeds don't differ, but some backend server counts as slow since it warms
	// up. It isn't set if all do, since then none is slower than the others.
	warming bool
}

// histogram counts levels.
type histogram struct {
	counts [levels]uint16
	total  int
}

func (h *histogram) add(level float64) {
	h.counts[min(max(int(math.Round(level)), 0), levels-1)]++
	h.total++
}

// rank returns the level of which n smaller or equal ones are counted before it.
func (h *histogram) rank(n int) float64 {
	for level, count := range h.counts {
		if n -= int(count); n < 0 {
			return float64(level)
		}
	}
	return 0
}

// Update compares the backend servers of each service. If it is called several times a second,
// decisions never have to.
func (t *Table) Update(now time.Time) {
	for _, c := range t.services {
		c.update(t, now, updateInterval)
	}
}

// update compares the backend servers anew if the last comparison is older than interval.
func (c *comparison) update(t *Table, now time.Time, interval time.Duration) {
	if elapsed := now.Sub(c.at); !c.at.IsZero() && elapsed >= 0 && elapsed < interval {
		return
	}
	c.at = now
	var usual [bands]float64
	for n := range usual {
		var h histogram
		for _, r := range c.records {
			if b := &r.bands[n]; b.valid(now) {
				h.add(b.level)
			}
		}
		usual[n] = h.rank(h.total / 2)
	}
	var h histogram
	warming := 0
	for _, r := range c.records {
		r.compare(&usual, now)
		if r.assumedSlow() {
			warming++
		}
		if r.known {
			h.add(r.difference + levels/2)
		}
		t.noteChange(r)
	}
	fastest, slowest := h.rank(h.total/tail), h.rank(h.total-1-h.total/tail)
	c.differ = h.total > 1 && slowest-fastest >= minDifference
	c.boundary = (fastest+slowest)/2 - levels/2
	c.warming = !c.differ && warming > 0 && warming < len(c.records)
}

func (b *band) valid(now time.Time) bool { return b.known && now.Sub(b.at) <= maxAge }

// compare sets the estimate of a backend server relative to the usual levels.
func (r *record) compare(usual *[bands]float64, now time.Time) {
	if !r.warmRead {
		r.warmRead, r.warmUntil = true, now.Add(r.WarmUp)
	}
	r.warming = now.Before(r.warmUntil)
	known, difference, level := 0, 0.0, 0.0
	for n := range r.bands {
		if b := &r.bands[n]; b.valid(now) {
			known++
			difference += b.level - usual[n]
			level += b.level
		}
	}
	r.known, r.difference, r.eventTime = known > 0, 0, 0
	if r.known {
		r.difference, r.eventTime = difference/float64(known), timeOf(level/float64(known))
	}
}

// assumedSlow reports whether the stated warm-up counts, since there is no estimate.
func (r *record) assumedSlow() bool { return r.warming && !r.known }

// Relative is a backend server's speed in a service whose backend servers differ in speed, or of which
// some warm up.
type Relative struct {
	// Slowness is the binary logarithm of Estimate.Factor.
	Slowness float64
	// Fast is set if the speed is nearer to that of the fastest tenth than to that of the slowest. If
	// only a warm-up counts, it is set for all other backend servers.
	Fast bool
}

// Differ reports whether the speeds of a service's backend servers differ by a factor of 1.5 or
// more, whether otherwise some count as slow since they warm up, and when that was determined.
func (t *Table) Differ(service string, now time.Time) (differ, warming bool, at time.Time) {
	c := t.services[service]
	if c == nil {
		return false, false, time.Time{}
	}
	c.update(t, now, staleInterval)
	return c.differ, c.warming, c.at
}

// Relative returns a backend server's speed as of the last call of Differ.
func (t *Table) Relative(id string) Relative {
	r := t.records[id]
	if r == nil {
		return Relative{}
	}
	c := t.services[r.Service]
	switch {
	case !c.warming:
		return Relative{Slowness: r.slowness(), Fast: r.known && r.difference < c.boundary}
	case r.assumedSlow():
		return Relative{Slowness: warmUpSlowness}
	}
	return Relative{Fast: true}
}

// Change is a notable change of an estimate.
type Change struct {
	ID       string
	Estimate Estimate
	// Before is the factor of the estimate that was last reported; 1 if there was none.
	Before float64
	// Known is whether there is an estimate now.
	Known bool
}

// noteChange adds a notable change of an estimate to those that Changes returns. If too many wait,
// it is added by a later comparison.
func (t *Table) noteChange(r *record) {
	if r.known == r.loggedKnown && math.Abs(r.difference-r.logged) < minChange || len(t.changes) >= maxChanges {
		return
	}
	t.changes = append(t.changes, Change{ID: r.ID, Estimate: Estimate{EventTime: r.eventTime, Factor: r.factor()}, Before: math.Exp2(r.logged / octave), Known: r.known})
	r.logged, r.loggedKnown = r.difference, r.known
}

// Changes returns the notable changes of estimates since the last call.
func (t *Table) Changes() []Change {
	c := t.changes
	t.changes = nil
	return c
}

// Known returns the number of backend servers with an estimate, and of services whose backend
// servers differ in speed, as of the last comparisons.
func (t *Table) Known() (servers, differing int) {
	for _, r := range t.records {
		if r.known {
			servers++
		}
	}
	for _, c := range t.services {
		if c.differ {
			differing++
		}
	}
	return servers, differing
}

package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// cellTime is the time for which responses are averaged. cells is how many averages are kept;
	// their median is the estimate, so that a slow second, which affects the responses of two of
	// them, doesn't change it.
	cellTime = time.Second
	cells    = 5
	// minCells and minResponses are the evidence for an estimate: several responses over at least
	// minCells-1 times cellTime.
	minCells     = 3
	minResponses = 4
	// minEvents is the least number of events of a response that counts. The time between
	// fewer is mostly the variation of the network and of this process.
	minEvents = 5
	// maxAge is the time after which evidence no longer counts. It spans several lulls of a load
	// with bursts every five seconds, in which slow backend servers serve few requests.
	maxAge = 30 * time.Second
	// maxDeviation limits one response or report to a factor of 4 of the present estimate.
	maxDeviation = 2 * octave
	// bands is the number of ranges of the load for which speeds are learned separately. Under
	// high load engines need more time per event, so a busy fast one could look like a slow one.
	bands = 2
	// highLoad is the share of the slots in use from which a response counts for the second band.
	highLoad = 0.5
	// firstByteWeight is the inverse weight of one response in the average time to the first event.
	firstByteWeight = 8
)

// Times per event are kept as levels, the steps of a logarithmic scale above minEventTime. Averages
// and medians of levels are those of ratios, and quantiles are found by counting.
const (
	octave       = 32
	levels       = 16 * octave
	minEventTime = 500 * time.Microsecond
)

func levelOf(d time.Duration) float64 {
	return min(max(octave*math.Log2(float64(d)/float64(minEventTime)), 0), levels-1)
}

func timeOf(level float64) time.Duration {
	return time.Duration(float64(minEventTime) * math.Exp2(level/octave))
}

// Server describes a backend server to a Table.
type Server struct {
	ID      string
	Service string
	// Hash is the short form of ID in reports.
	Hash uint32
	// WarmUp is the time for which the server is slow after its start, as of the registration with
	// this Sequence.
	WarmUp   time.Duration
	Sequence int64
}

// cell averages the responses of one cellTime.
type cell struct {
	start time.Time
	sum   float64
	count int
}

// band is what is known of a backend server in one range of its load.
type band struct {
	cells [cells]cell
	// level is the estimate if known is set; at is the time of the last evidence.
	level float64
	known bool
	at    time.Time
	// pending is this entry's own evidence since its last report, or of the last maxAge.
	pending cell
}

// record is what is known of one backend server.
type record struct {
	Server
	bands [bands]band
	// warmUntil is the end of the stated warm-up, warmRead whether it was computed.
	warmUntil time.Time
	warmRead  bool
	firstByte time.Duration
	firstAt   time.Time
	// difference is the estimated level relative to the usual one of the service, and eventTime
	// the estimate, both as of the last comparison.
	difference float64
	eventTime  time.Duration
	known      bool
	// warming is set while the stated warm-up counts.
	warming bool
	// logged is the last difference that was returned by Changes, loggedKnown if it was known.
	logged      float64
	loggedKnown bool
}

// Table learns the speed of backend servers. It isn't safe for concurrent use.
//
// It is designed for a service of which a quarter of the backend servers is twice as fast, with
// 30 entries. Each entry sees one response of each server in some seconds, so only the responses of
// all entries together give an estimate within seconds. Meanwhile backend servers are restarted, and
// callers or backend servers are slow for a second. None of these must make an estimate wrong.
type Table struct {
	records  map[string]*record
	byHash   map[uint32]*record
	services map[string]*comparison
	// rotation holds the records in the order in which they are reported, next is the index of
	// the next one, and reports what was reported last.
	rotation   []*record
	next       int
	reports    []Report
	reportedAt time.Time
	changes    []Change
}

// SetServers replaces the list of backend servers; what is known of those that stay is kept.
func (t *Table) SetServers(list []Server) {
	records := make(map[string]*record, len(list))
	before := t.services
	t.byHash, t.services, t.rotation = map[uint32]*record{}, map[string]*comparison{}, t.rotation[:0]
	for _, s := range list {
		r, fresh := t.records[s.ID], false
		if r == nil {
			r, fresh = &record{}, true
		}
		r.warmRead = r.warmRead && r.Sequence == s.Sequence
		r.Server = s
		records[s.ID], t.byHash[s.Hash] = r, r
		t.rotation = append(t.rotation, r)
		c := t.services[s.Service]
		if c == nil {
			c = &comparison{}
			if b := before[s.Service]; b != nil {
				c.at, c.differ, c.boundary, c.warming = b.at, b.differ, b.boundary, b.warming
			}
			t.services[s.Service] = c
		}
		if fresh {
			// The next choice compares it, since it may be warming up.
			c.at = time.Time{}
		}
		c.records = append(c.records, r)
	}
	slices.SortFunc(t.rotation, func(a, b *record) int { return cmp.Compare(a.Hash, b.Hash) })
	t.records = records
}

// Record adds a response of this entry.
func (t *Table) Record(id string, s Sample, now time.Time) {
	r := t.records[id]
	if r == nil {
		return
	}
	if s.FirstByte > 0 {
		if r.firstAt.IsZero() || now.Sub(r.firstAt) > maxAge {
			r.firstByte = s.FirstByte
		}
		r.firstByte += (s.FirstByte - r.firstByte) / firstByteWeight
		r.firstAt = now
	}
	if s.Events < minEvents || s.Span <= 0 {
		return
	}
	b := &r.bands[0]
	if s.Load >= highLoad {
		b = &r.bands[1]
	}
	level := levelOf(s.Span / time.Duration(s.Events-1))
	b.add(level, 1, now)
	b.dropOldPending(now)
	if b.pending.count == 0 {
		b.pending.start = now
	}
	b.pending.sum += level
	b.pending.count++
}

// add adds evidence: the average level of a number of responses.
func (b *band) add(level float64, count int, now time.Time) {
	if b.known && now.Sub(b.at) <= maxAge {
		level = min(max(level, b.level-maxDeviation), b.level+maxDeviation)
	}
	c := &b.cells[0]
	if now.Sub(c.start) >= cellTime {
		copy(b.cells[1:], b.cells[:cells-1])
		*c = cell{start: now}
	}
	c.sum += level * float64(count)
	c.count += count
	b.at = now
	b.estimate(now)
}

// dropOldPending drops evidence that waited too long for its report: a receiver counts it as new. The
// rotation over hundreds of backend servers takes minutes.
func (b *band) dropOldPending(now time.Time) {
	if now.Sub(b.pending.start) > maxAge {
		b.pending = cell{}
	}
}

// estimate sets the level to the median of the cells, if there is enough evidence.
func (b *band) estimate(now time.Time) {
	var averages [cells]float64
	n, responses := 0, 0
	for _, c := range b.cells {
		if c.count > 0 && now.Sub(c.start) <= maxAge {
			averages[n] = c.sum / float64(c.count)
			n++
			responses += c.count
		}
	}
	b.known = n >= minCells && responses >= minResponses
	if b.known {
		slices.Sort(averages[:n])
		b.level = (averages[(n-1)/2] + averages[n/2]) / 2
	}
}

// Estimate returns what is known of a backend server.
func (t *Table) Estimate(id string, now time.Time) Estimate {
	r := t.records[id]
	if r == nil {
		return Unknown
	}
	c := t.services[r.Service]
	c.update(t, now, staleInterval)
	e := Estimate{EventTime: r.eventTime, Factor: 1}
	if c.differ || c.warming && r.assumedSlow() {
		e.Factor = r.factor()
	}
	if !r.firstAt.IsZero() && now.Sub(r.firstAt) <= maxAge {
		e.FirstByte = r.firstByte
	}
	return e
}

// slowness returns the binary logarithm of the time per event relative to the usual one of the service.
func (r *record) slowness() float64 {
	switch {
	case r.known:
		return r.difference / octave
	case r.warming:
		return warmUpSlowness
	}
	return 0
}

func (r *record) factor() float64 { return math.Exp2(r.slowness()) }

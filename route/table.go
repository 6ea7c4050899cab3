package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/prefix"
)

// Backend is a side's report on its backend server.
type Backend struct {
	ID   string
	Zone string
	// Service is the name of a plain service; empty for a model engine, which reports Loaded.
	Service string
	Loaded  []sardinerock.LoadedModel

	Slots         int
	OnlineRunning int
	OnlineWaiting int
	BatchRunning  int
	// BatchCredit is how many more batch items this entry may send.
	BatchCredit int
	// TokenGap is the smoothed mean time between tokens; zero if unknown.
	TokenGap time.Duration
	// Leaving means that it gets no new requests; Up that the backend server answers its side.
	Leaving bool
	Up      bool
	// ConfigVersion is the bundle version in force at the side.
	ConfigVersion int64
	// ReportedAt is when this entry received the report, by its own clock.
	ReportedAt time.Time
}

// Query describes the backend server that an attempt needs.
type Query struct {
	Model   string
	Version string
	Adapter string
	// Service is set instead of the model for plain services.
	Service string
	// Zone is the entry's availability zone.
	Zone  string
	Class sardinerock.Class
	// Prefixes are hashes of the prompt's leading blocks, the shortest prefix first.
	Prefixes []uint64
	// Exclude holds the ids of backend servers that got an earlier attempt.
	Exclude []string
	// Alone asks for the one backend server that runs the suspect with this Fingerprint.
	Alone       bool
	Fingerprint uint64
}

// Reason is why a backend server was chosen; it is logged.
type Reason string

// The reasons.
const (
	ReasonZone   Reason = "zone"
	ReasonSpill  Reason = "spill"
	ReasonPrefix Reason = "prefix"
	ReasonBatch  Reason = "batch"
	ReasonAlone  Reason = "alone"
	// ReasonLastResort is an ejected or excluded backend server, chosen because no other is usable.
	ReasonLastResort Reason = "lastResort"
)

// Choice is the backend server chosen.
type Choice struct {
	ID     string
	Reason Reason
	// MatchedPrefixes is how many of the query's prefixes the backend server probably has cached.
	MatchedPrefixes int
}

// Sample is what an attempt measured of its backend server.
type Sample struct {
	// Complete means that the attempt succeeded.
	Complete bool
	// TokenGap is the mean time between tokens; zero if unknown.
	TokenGap time.Duration
	// Failed means that the backend server failed; refusals and cancellations are no failures.
	Failed bool
}

// Table is an entry's view of the backend servers; set Random before the first call.
//
// Load pattern: many entries route at once with reports that are up to one heartbeat
// interval old. If each chose the least loaded backend server, all would choose the
// same one until the next report shows it full, and then all the next one: the load
// oscillates, and requests queue where the last report was good. Choosing the better
// of two random candidates avoids this. Also, an entry counts its own requests at
// once, before the next report does.
type Table struct {
	// Random is the source of the random choices.
	Random *rand.Rand

	backends map[string]*backend
	groups   map[target]*group
	prefixes prefix.Index[*backend]
	fleet    fleet
}

// target is what a query needs: a loaded model or a plain service.
type target struct {
	model   sardinerock.LoadedModel
	service string
}

// group holds the backend servers of one target, all and by zone.
type group struct {
	zones map[string][]*backend
	all   []*backend
}

// Update stores a report. A backend server that is new or up again begins with slow start.
func (t *Table) Update(now time.Time, r Backend) {
	t.init()
	b := t.backends[r.ID]
	if b == nil {
		b = &backend{rampStart: now}
		t.backends[r.ID] = b
	}
	changed := b.report.Service != r.Service || b.report.Zone != r.Zone || !slices.Equal(b.report.Loaded, r.Loaded)
	if r.Up && !b.report.Up {
		b.rampStart = now
		b.health = health{}
	}
	if changed {
		t.unindex(b)
	}
	t.fleet.subtract(b)
	b.update(r)
	t.fleet.add(b)
	if changed {
		t.index(b)
	}
}

// Load is the part of a report that changes with every request.
type Load struct {
	Slots         int
	OnlineRunning int
	OnlineWaiting int
	BatchRunning  int
	BatchCredit   int
}

// UpdateLoad stores a load that an End frame carried; call it after Finished for that
// attempt. It doesn't count as a report: if it entered the mean report interval, a
// side would count as stale whenever no attempt has ended for a moment.
func (t *Table) UpdateLoad(id string, l Load) {
	b := t.backends[id]
	if b == nil {
		return
	}
	t.fleet.subtract(b)
	b.report.Slots = l.Slots
	b.report.OnlineRunning, b.report.OnlineWaiting = l.OnlineRunning, l.OnlineWaiting
	b.report.BatchRunning, b.report.BatchCredit = l.BatchRunning, l.BatchCredit
	b.resetCounts()
	t.fleet.add(b)
}

// Remove removes a backend server; an unknown id is ignored.
func (t *Table) Remove(id string) {
	b := t.backends[id]
	if b == nil {
		return
	}
	t.unindex(b)
	t.fleet.subtract(b)
	t.prefixes.RemoveAll(&b.prefixes)
	// A removed backend server no longer counts as ejected.
	b.health.ejected = false
	delete(t.backends, id)
}

// Started counts an attempt as in flight until Finished is called, and assumes that its prefixes become cached.
func (t *Table) Started(now time.Time, id string, q Query) {
	b := t.backends[id]
	if b == nil {
		return
	}
	if q.Class == sardinerock.ClassBatch {
		b.batchSentSinceReport++
		b.ownBatch++
	} else {
		b.ownOnline++
		b.sentSinceReport++
	}
	t.prefixes.Add(b, &b.prefixes, q.Prefixes)
}

// Finished ends an attempt that Started counted, and evaluates its sample.
func (t *Table) Finished(now time.Time, id string, class sardinerock.Class, s Sample) {
	b := t.backends[id]
	if b == nil {
		return
	}
	if class == sardinerock.ClassBatch {
		b.ownBatch = max(0, b.ownBatch-1)
		if s.Complete {
			// The item's slot is free again. If this counted only from the next
			// heartbeat, the heartbeat interval would limit the rate of short items.
			b.batchSentSinceReport--
		}
	} else {
		b.ownOnline = max(0, b.ownOnline-1)
		b.endedSinceReport++
		t.fleet.addSample(s)
		t.checkEjection(now, b, s)
	}
}

// ApplyCacheEvent records which prefixes an engine has cached and dropped since the last event.
func (t *Table) ApplyCacheEvent(id string, added, dropped []uint64) {
	b := t.backends[id]
	if b == nil {
		return
	}
	t.prefixes.Remove(&b.prefixes, dropped)
	t.prefixes.Add(b, &b.prefixes, added)
}

// ResetCache removes all prefixes recorded for a backend server, for example after its restart.
func (t *Table) ResetCache(id string) {
	if b := t.backends[id]; b != nil {
		t.prefixes.RemoveAll(&b.prefixes)
	}
}

// BatchCredit returns how many batch items this entry may send now, over all backend
// servers with model engines. Idle slots of plain services must not count: no item
// uses them, so the credit would never decrease. A job's owner would start all its
// items at once, most would be rejected, and it would back off for half a minute
// while the engines are idle.
func (t *Table) BatchCredit(now time.Time) int {
	t.restoreEjected(now)
	n := 0
	for _, b := range t.backends {
		if b.usable() && !b.health.ejected && b.report.Service == "" {
			n += b.batchCredit()
		}
	}
	return n
}

func (t *Table) init() {
	if t.backends == nil {
		t.backends = make(map[string]*backend)
		t.groups = make(map[target]*group)
	}
}

// index adds a backend server to the groups of its targets.
func (t *Table) index(b *backend) {
	for _, want := range b.targets() {
		g := t.groups[want]
		if g == nil {
			g = &group{zones: make(map[string][]*backend)}
			t.groups[want] = g
		}
		g.all = append(g.all, b)
		g.zones[b.report.Zone] = append(g.zones[b.report.Zone], b)
	}
}

// unindex removes a backend server from the groups of its last report.
func (t *Table) unindex(b *backend) {
	for _, want := range b.targets() {
		g := t.groups[want]
		if g == nil {
			continue
		}
		same := func(x *backend) bool { return x == b }
		g.all = slices.DeleteFunc(g.all, same)
		g.zones[b.report.Zone] = slices.DeleteFunc(g.zones[b.report.Zone], same)
		if len(g.all) == 0 {
			delete(t.groups, want)
		}
	}
}

func (q *Query) target() target {
	if q.Service != "" {
		return target{service: q.Service}
	}
	return target{model: sardinerock.LoadedModel{Model: q.Model, Version: q.Version, Adapter: q.Adapter}}
}

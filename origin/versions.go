package origin

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// mixedInterval is the time between two writes, and two reads, of the record of a service with several versions, and
	// checkInterval that between two checks whether records need a change.
	mixedInterval = 5 * time.Second
	checkInterval = 500 * time.Millisecond
	// startInterval is the time between two checks whether the first list has been read.
	startInterval = 20 * time.Millisecond
	// leaveDelay is how long a version isn't listed before it counts as having left. Registrations that expired while the
	// store was down are back within 2 s.
	leaveDelay = 3 * time.Second
	// clockSkew is by how much the clocks of entries may differ.
	clockSkew = 6 * time.Second
	// takeoverDelay is how long the other entries wait for the one that writes the records before they read them again and
	// write themselves; up to as much again is added at random.
	takeoverDelay = 100 * time.Millisecond
	// overdueDelay is the same for changes for which no stream waits.
	overdueDelay = 2 * mixedInterval
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	// maxConflicts is the number of changes by others after which a change of the records is given up until the next check.
	maxConflicts = 5
	// routePrefix begins the keys of the records of routes. No service has a space in its name.
	routePrefix = "route "
)

// Versions keeps in the store which software versions of a service may have begun streams, and the services of routes.
// Its exported fields are set before use.
type Versions struct {
	Store sardinerock.Store
	Topic string
	// Writes reports whether this entry, of all live ones, writes the records of a topic; nil means always.
	Writes  func(topic string) bool
	Events  *event.Logger
	Metrics metrics.Registry

	reads coalesced[*records]
	steps coalesced[struct{}]

	mu    sync.Mutex
	known *records
	// failedAt is when the last read that failed ended.
	failedAt time.Time
	// changedAt is since when a change has been waiting for the entry that writes the records.
	changedAt time.Time
	// currentAt is when the list of backend servers was last current.
	currentAt time.Time
}

// records are those of the topic, as of a read.
type records struct {
	services map[string]serviceRecord
	routes   map[string]routeRecord
	end      int64
	readAt   time.Time
}

// Run keeps the records up to date with the lists that the locator gets, until ctx ends.
func (v *Versions) Run(ctx context.Context, l *Locator) {
	t := time.NewTicker(startInterval)
	defer t.Stop()
	for first := true; ; {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if !l.Current() {
				continue
			}
			if first {
				first = false
				t.Reset(checkInterval)
			}
			v.mu.Lock()
			v.currentAt = now
			v.mu.Unlock()
			if v.due(l, now) {
				_ = v.step(ctx, l)
			}
		}
	}
}

// due reports whether the records have to be written, or read again.
func (v *Versions) due(l *Locator, now time.Time) bool {
	known := v.last()
	if known == nil {
		return true
	}
	if changes, urgent := v.changes(known, l, now); urgent || len(changes) > 0 && v.writes() {
		return true
	}
	for _, r := range known.services {
		if len(r.Versions) > 1 && now.Sub(known.readAt) >= mixedInterval {
			return true
		}
	}
	return false
}

func (v *Versions) last() *records {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.known
}

// set replaces the known records by later ones.
func (v *Versions) set(r *records) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known == nil || r.end >= v.known.end {
		v.known = r
	}
}

// forgetIfOld discards the records if a further version is listed after a time without a current list: what is known may
// be of a time before the versions that were listed meanwhile.
func (v *Versions) forgetIfOld(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known != nil && now.Sub(v.known.readAt) > outOfTouchTime && now.Sub(v.currentAt) > outOfTouchTime {
		v.known = nil
	}
}

// inTouch reports whether the list of backend servers has been current lately, or none of the entries can learn more. An
// entry that is out of touch may know records, and hold on to routes, that are no longer in force.
func (v *Versions) inTouch(l *Locator, now time.Time) bool {
	v.mu.Lock()
	recent := now.Sub(v.currentAt) <= outOfTouchTime
	v.mu.Unlock()
	return recent || l.Current() || l.StoreLostByAll()
}

// step brings the records up to date with the list of backend servers and the routes. It returns an error if the outcome
// isn't known.
func (v *Versions) step(ctx context.Context, l *Locator) error {
	_, err := v.steps.get(ctx, func() (struct{}, error) { return struct{}{}, v.update(l) })
	return err
}

func (v *Versions) update(l *Locator) error {
	var known *records
	for range maxConflicts {
		var err error
		if known, err = v.read(context.Background()); err != nil {
			if v.last() == nil {
				l.askRecords()
			}
			return err
		}
		changes, urgent := v.changes(known, l, time.Now())
		if v.leaveToWriter(len(changes) > 0, urgent) {
			return nil
		}
		if urgent && !v.writes() {
			time.Sleep(takeoverDelay + rand.N(takeoverDelay))
			if known, err = v.read(context.Background()); err != nil {
				return err
			}
			changes, _ = v.changes(known, l, time.Now())
		}
		if len(changes) == 0 {
			return nil
		}
		if err = v.append(known, changes); !errors.Is(err, sardinerock.ErrStoreConflict) {
			return err
		}
		v.count("origins.conflicts")
	}
	return sardinerock.ErrStoreConflict
}

func (v *Versions) writes() bool { return v.Writes == nil || v.Writes(v.Topic) }

// leaveToWriter reports whether this entry writes nothing, as nothing has changed, or another one will write it.
func (v *Versions) leaveToWriter(changed, urgent bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch now := time.Now(); {
	case !changed:
		v.changedAt = time.Time{}
		return true
	case urgent || v.writes():
		return false
	case v.changedAt.IsZero():
		v.changedAt = now
		return true
	default:
		return now.Sub(v.changedAt) < overdueDelay
	}
}

// append appends changed records at the end that was read.
func (v *Versions) append(known *records, changes []sardinerock.StoreRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	end, err := v.Store.AppendAt(ctx, v.Topic, known.end, changes)
	if err != nil {
		if !errors.Is(err, sardinerock.ErrStoreConflict) {
			v.Events.Info(event.AppendFailed).Str("topic", v.Topic).Int("records", len(changes)).Err(err).Msg("the versions of services could not be recorded; retried")
		}
		return err
	}
	v.count("origins.written")
	next := &records{services: maps.Clone(known.services), routes: maps.Clone(known.routes), end: end, readAt: time.Now()}
	for _, c := range changes {
		if err := next.put(c); err != nil {
			return err
		}
		if r, ok := next.services[c.Key]; ok {
			v.Events.Info(event.VersionsRecorded).Str("service", c.Key).Strs("versions", r.describe()).Bool("base", r.Base).Msg("the versions of a service are recorded")
		}
	}
	v.set(next)
	return nil
}

// describe returns the versions in order of admission; those that have left are marked.
func (r *serviceRecord) describe() []string {
	var list []string
	for _, a := range r.Versions {
		if a.Left != 0 {
			a.Version += " (left)"
		}
		list = append(list, a.Version)
	}
	return list
}

// changes returns the records that differ from what the locator knows. They are urgent if streams can't begin before.
func (v *Versions) changes(known *records, l *Locator, now time.Time) (changes []sardinerock.StoreRecord, urgent bool) {
	put := func(key string, value any) {
		raw, err := cbor.Marshal(value)
		if err != nil {
			v.Events.Warn(event.AppendFailed).Str("topic", v.Topic).Err(err).Msg("record can't be encoded; not written")
			return
		}
		changes = append(changes, sardinerock.StoreRecord{Key: key, Value: raw})
	}
	for service, list := range l.history.listed(now) {
		r := known.services[service]
		if len(r.Versions) > 0 && !l.Current() {
			// An old or partial list doesn't show that a version has left.
			list.absent, list.absentAll = nil, 0
		}
		if next, changed := r.updated(&list, l.window(), now); changed {
			put(service, next)
		}
		urgent = urgent || slices.ContainsFunc(list.present, func(version string) bool { return !r.has(version) })
	}
	for key, route := range l.history.resumable() {
		old, ok := known.routes[key]
		if ok && (old.Service == route.Service || old.Configuration >= route.Configuration) {
			continue
		}
		if len(known.routes) > 0 {
			// A new route may have taken over paths of another one.
			route.ChangedAt = now.UnixMilli()
		}
		put(key, route)
		urgent = true
	}
	slices.SortFunc(changes, func(a, b sardinerock.StoreRecord) int { return strings.Compare(a.Key, b.Key) })
	return changes, urgent
}

// read reads the records. Reads of several callers at a time are one.
func (v *Versions) read(ctx context.Context) (*records, error) {
	return v.reads.get(ctx, func() (*records, error) {
		began := time.Now()
		r, err := v.readAll()
		if err != nil {
			v.count("origins.readFailed")
			v.mu.Lock()
			v.failedAt = time.Now()
			v.mu.Unlock()
			v.Events.Info(event.LogOutage).Str("topic", v.Topic).Dur("took", time.Since(began)).Bool("timedOut", errors.Is(err, context.DeadlineExceeded)).Err(err).Msg("the versions that services have had can't be read")
			return nil, err
		}
		v.count("origins.read")
		v.set(r)
		return r, nil
	})
}

func (v *Versions) readAll() (*records, error) {
	r := &records{services: map[string]serviceRecord{}, routes: map[string]routeRecord{}, readAt: time.Now()}
	end, err := readNewest(v.Store, v.Topic, r.put)
	r.end = end
	return r, err
}

// readNewest passes the newest record of each key to a function. It returns the end of the topic at the first page: an
// append at that end fails if a record was added since.
func readNewest(s sardinerock.Store, topic string, put func(sardinerock.StoreRecord) error) (end int64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	for after, first := "", true; ; first = false {
		page, err := s.Newest(ctx, topic, after)
		if err != nil {
			return 0, err
		}
		if first {
			end = page.End
		}
		for _, r := range page.Records {
			if err := put(r); err != nil {
				return 0, fmt.Errorf("record %q of topic %s: %w", r.Key, topic, err)
			}
			after = r.Key
		}
		if !page.More || len(page.Records) == 0 {
			return end, nil
		}
	}
}

// put adds a record of the topic.
func (r *records) put(s sardinerock.StoreRecord) error {
	if strings.HasPrefix(s.Key, routePrefix) {
		var route routeRecord
		if err := cbor.Unmarshal(s.Value, &route); err != nil {
			return err
		}
		r.routes[s.Key] = route
		return nil
	}
	var service serviceRecord
	if err := cbor.Unmarshal(s.Value, &service); err != nil {
		return err
	}
	r.services[s.Key] = service
	return nil
}

// admits reports whether streams of a route may begin at a version, as far as is known. For a short time after a route has
// moved they may at its former service, too, as configurations reach entries one after the other.
func (r *records) admits(o sardinerock.Origin, key string, route routeRecord, now time.Time) bool {
	if r == nil {
		return false
	}
	s := r.services[o.Service]
	recorded, ok := r.routes[key]
	return s.has(o.Version) && ok && (recorded.Service == route.Service ||
		recorded.Configuration > route.Configuration && now.UnixMilli() < recorded.ChangedAt+outOfTouchTime.Milliseconds())
}

// routeRecordKey returns the key of the record of a route.
func routeRecordKey(r *sardinerock.Route) string {
	return fmt.Sprintf("%s%016x", routePrefix, xxhash.Sum64String(routeKey(r)))
}

func (v *Versions) count(name string) {
	if v.Metrics != nil {
		metrics.GetOrRegisterCounter(name, v.Metrics).Inc(1)
	}
}

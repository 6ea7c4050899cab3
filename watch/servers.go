package watch

import (
	"cmp"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// reregisterTime is how long after an outage of the store the registration of a live backend server
	// may be missing; the platform guarantees two seconds.
	reregisterTime = 2 * time.Second
	// maxRemovedStarts is the number of removed backend servers of which the start time is remembered.
	// Fleets have up to a few thousand, and a late registration follows the removal within seconds.
	maxRemovedStarts = 4096
)

// Servers builds the list of backend servers from their registrations. Of the incarnations of one name
// it lists the one with the latest start. It is designed for backend servers that restart under their
// id at any time, also at another address, and for processes that were frozen and register late.
type Servers struct {
	// Parse decodes a registration; name is the record's key.
	Parse func(name string, raw []byte) (sardinerock.BackendServer, error)
	// Changed is called with each new list.
	Changed func(list []sardinerock.BackendServer)
	Events  *event.Logger
	Metrics metrics.Registry

	mu sync.Mutex
	// known holds the listed incarnations by name.
	known map[string]sardinerock.BackendServer
	// removedStarts holds the start times of removed incarnations by name, the last one of each.
	removedStarts *lru.LRU[string, int64]
	// lines limits the log lines on registrations that aren't used.
	lines lineLimit
	// lapsed holds, by name, the backend servers of which the registration expired during an outage
	// of the store, with the time until which they are still used.
	lapsed map[string]time.Time
	// recoveredAt is when the last outage of the store ended.
	recoveredAt time.Time
}

// Apply is the Apply of the Follower of the registrations' topic.
func (s *Servers) Apply(records []sardinerock.StoreRecord, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known, s.lapsed = map[string]sardinerock.BackendServer{}, map[string]time.Time{}
		// The only possible error is a size that isn't positive.
		s.removedStarts, _ = lru.NewLRU[string, int64](maxRemovedStarts, nil)
	}
	now := time.Now()
	if reset {
		s.dropMissing(records, now)
	}
	for _, r := range records {
		if r.Value == nil {
			s.drop(r.Key, now)
			continue
		}
		b, err := s.Parse(r.Key, r.Value)
		if err != nil {
			s.dropUnreadable(r, err, now)
			continue
		}
		s.put(r.Key, b, r.Offset, now)
	}
	s.publish()
}

// put applies a registration. Between incarnations the start decides, and the sequence only within one: it
// starts again with each.
func (s *Servers) put(name string, b sardinerock.BackendServer, offset int64, now time.Time) {
	old, listed := s.known[name]
	start := old.Started
	if !listed {
		start, _ = s.removedStarts.Peek(name)
	}
	switch {
	case b.Started < start:
		s.count("servers.outdated")
		if s.lines.allow(name, "earlier start", now) {
			s.Events.Info(event.BackendState).Str("server", b.ID).Int64("started", b.Started).Int64("known", start).
				Int64("offset", offset).Msg("registration of an earlier start, or without one; ignored")
		}
		return
	case listed && b.Started == start && b.Sequence < old.Sequence:
		// An older registration must not reactivate a draining backend server.
		return
	case start > 0 && b.Started > start:
		s.count("servers.restarted")
	}
	switch {
	case listed && b.Started > start:
		s.logListed(b, offset).Str("replaced", old.ID).Msg("backend server restarted under the same id; its earlier process gets no more requests")
	case !listed || old.Draining != b.Draining:
		s.logListed(b, offset).Msg("backend server added or its draining state changed")
	}
	s.known[name] = b
	delete(s.lapsed, name)
	s.removedStarts.Remove(name)
}

func (s *Servers) logListed(b sardinerock.BackendServer, offset int64) *log.Entry {
	return s.Events.Info(event.BackendState).Str("server", b.ID).Str("service", b.Service).Str("address", b.Address).
		Str("version", b.Version).Bool("draining", b.Draining).Int64("started", b.Started).Int64("offset", offset)
}

// remove removes a backend server from the list and remembers its start.
func (s *Servers) remove(name string) {
	if b := s.known[name]; b.Started > 0 {
		s.removedStarts.Add(name, b.Started)
	}
	delete(s.known, name)
	delete(s.lapsed, name)
}

// dropUnreadable removes the backend server of which the registration can't be read, also after an outage of
// the store: the registration hasn't expired, and it names no address to send to.
func (s *Servers) dropUnreadable(r sardinerock.StoreRecord, err error, now time.Time) {
	s.count("servers.unreadable")
	b, listed := s.known[r.Key]
	s.remove(r.Key)
	if !s.lines.allow(r.Key, err.Error(), now) {
		return
	}
	s.Events.Warn(event.BackendState).Str("server", cmp.Or(b.ID, r.Key)).Bool("listed", listed).Err(err).Int64("offset", r.Offset).
		Msg("registration can't be read; it names no backend server, and one that was listed is removed")
}

func (s *Servers) count(name string) {
	metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
}

func (s *Servers) dropMissing(records []sardinerock.StoreRecord, now time.Time) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for name := range s.known {
		if !listed[name] {
			s.drop(name, now)
		}
	}
}

// drop removes a backend server from the list. During an outage of the store the registrations of all
// backend servers expire together, though the servers work: removing them at once would leave no server to
// send to. They are kept until reregisterTime after the outage.
func (s *Servers) drop(name string, now time.Time) {
	b, ok := s.known[name]
	if !ok {
		return
	}
	if until := s.recoveredAt.Add(reregisterTime); now.Before(until) && !b.Draining {
		if _, waits := s.lapsed[name]; !waits {
			s.lapsed[name] = until
			s.Events.Info(event.BackendState).Str("server", b.ID).Time("until", until).Msg("registration expired during a store outage; backend server kept until it has to be registered again")
		}
		return
	}
	s.remove(name)
	s.Events.Info(event.BackendState).Str("server", b.ID).Msg("backend server deregistered; removed")
}

// StoreRecovered records that the store can be read again after an outage.
func (s *Servers) StoreRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveredAt = time.Now()
}

// Expire removes the lapsed backend servers that weren't registered again in time.
func (s *Servers) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expired := false
	for name, until := range s.lapsed {
		if now.Before(until) {
			continue
		}
		expired = true
		b := s.known[name]
		s.remove(name)
		s.Events.Info(event.BackendState).Str("server", b.ID).Msg("backend server not registered again after a store outage; removed")
	}
	if expired {
		s.publish()
	}
}

func (s *Servers) publish() {
	list := make([]sardinerock.BackendServer, 0, len(s.known))
	for _, b := range s.known {
		list = append(list, b)
	}
	s.Changed(list)
}

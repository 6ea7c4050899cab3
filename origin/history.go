package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
)

// view is what an entry has seen of the versions of a service.
type view int

const (
	// viewNone means that no backend server of the service has been seen.
	viewNone view = iota
	// viewNew means that there is one version, and the entry hasn't observed the service for long enough to know
	// that there was no other.
	viewNew
	// viewOnly means that there has been one version for as long as a stream can last.
	viewOnly
	// viewSeveral means that there are several, or were recently.
	viewSeveral
)

// history records which versions services have had, and which services routes have had; its zero value is ready.
type history struct {
	mu       sync.Mutex
	services map[string]*serviceHistory
	routes   map[string]*routeHistory
	// records are those of the resumable routes, as of the last table; they aren't modified.
	records map[string]routeRecord
}

type serviceHistory struct {
	// since is when the first backend server of the service was seen.
	since time.Time
	// present holds the versions on the last list, seen when each version that isn't was last on one.
	present map[string]bool
	seen    map[string]time.Time
}

type routeHistory struct {
	// service is the only one of the route, or empty.
	service string
	// changed is when it replaced another one; zero if none is known.
	changed time.Time
}

// setServers records a list of backend servers, and returns the services that have got a further version, and those
// that are listed for the first time.
func (h *history) setServers(list []sardinerock.BackendServer, now time.Time) (grown, found []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.services == nil {
		h.services = map[string]*serviceHistory{}
	}
	present := map[string]map[string]bool{}
	for i := range list {
		b := &list[i]
		if present[b.Service] == nil {
			present[b.Service] = map[string]bool{}
		}
		present[b.Service][b.Version] = true
		if h.services[b.Service] == nil {
			h.services[b.Service] = &serviceHistory{since: now, seen: map[string]time.Time{}}
			found = append(found, b.Service)
		}
	}
	for service, s := range h.services {
		for version := range s.present {
			if !present[service][version] {
				s.seen[version] = now
			}
		}
		known := len(s.present) + len(s.seen)
		for version := range present[service] {
			if !s.present[version] && known > 0 {
				grown = append(grown, service)
				break
			}
		}
		for version, at := range s.seen {
			if present[service][version] || now.Sub(at) >= maxLifetime {
				delete(s.seen, version)
			}
		}
		s.present = present[service]
	}
	return grown, found
}

// view returns what is known of the versions of a service within a time, and the version if there is one.
func (h *history) view(service string, window time.Duration, now time.Time) (version string, v view) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil {
		return "", viewNone
	}
	count := 0
	for p := range s.present {
		version = p
		count++
	}
	for p, at := range s.seen {
		if now.Sub(at) < window {
			version = p
			count++
		}
	}
	switch {
	case count == 0:
		return "", viewNone
	case count > 1:
		return "", viewSeveral
	case now.Sub(s.since) < window:
		return version, viewNew
	}
	return version, viewOnly
}

// versions returns the versions of a service on the last list, in order.
func (h *history) versions(service string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.services[service]; s != nil {
		return slices.Sorted(maps.Keys(s.present))
	}
	return nil
}

// listed returns what is known of the versions of each service from the lists.
func (h *history) listed(now time.Time) map[string]listed {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[string]listed, len(h.services))
	for service, s := range h.services {
		l := listed{present: slices.Sorted(maps.Keys(s.present)), absent: map[string]time.Duration{}, absentAll: now.Sub(s.since)}
		for version, at := range s.seen {
			l.absent[version] = now.Sub(at)
		}
		all[service] = l
	}
	return all
}

// resumable returns the records of the routes whose streams can be resumed, by key.
func (h *history) resumable() map[string]routeRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records
}

// setTable records the services of the routes of a table.
func (h *history) setTable(t *sardinerock.RouteTable, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.routes
	h.routes = make(map[string]*routeHistory, len(t.Routes))
	h.records = map[string]routeRecord{}
	for i := range t.Routes {
		r := &t.Routes[i]
		entry := &routeHistory{service: onlyService(r)}
		switch before := old[routeKey(r)]; {
		case before != nil && before.service == entry.service:
			entry = before
		case old != nil:
			// A new route may also have taken over paths of another one.
			entry.changed = now
		}
		h.routes[routeKey(r)] = entry
		if r.Kind == sardinerock.RouteStream && r.Resumable {
			h.records[routeRecordKey(r)] = routeRecord{Service: entry.service, Configuration: t.Version}
		}
	}
}

func routeKey(r *sardinerock.Route) string { return r.Host + r.Prefix }

// onlyService returns the only service of a route, or an empty string if there are several.
func onlyService(r *sardinerock.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	return ""
}

// service returns the service at which each stream of a route that is in progress began, or an empty string if
// that isn't clear.
func (h *history) service(r *sardinerock.Route, window time.Duration, now time.Time) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	entry := h.routes[routeKey(r)]
	if entry == nil || !entry.changed.IsZero() && now.Sub(entry.changed) < window {
		return ""
	}
	return entry.service
}

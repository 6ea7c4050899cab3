package runner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/items"
	"github.com/sardinerock/sardinerock/ledger"
)

// headroomLogInterval is the minimum time between two log lines on the headroom of a service.
const headroomLogInterval = 5 * time.Second

// headroom is what is learned of the online requests of a service.
type headroom struct {
	items.Headroom
	// slots is how many slots items leave free now, logged the number in the last log line.
	slots, logged int
	loggedAt      time.Time
	// observedAt is the time of the last observation.
	observedAt time.Time
}

// observeOnline learns how the number of online requests varies, of each service that runs items and
// states the starts of its backend servers.
func (r *Runner) observeOnline(now time.Time) {
	table := r.Table()
	if table == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range table.Routes {
		if table.Routes[n].Kind != sardinerock.RouteBatch {
			continue
		}
		for _, share := range table.Routes[n].Shares {
			if r.Pool.StatesStarts(share.Service) {
				r.observeService(share.Service, table.Services[share.Service].ReservationTTL > 0, now)
			}
		}
	}
	all := 0
	for service, h := range r.headroom {
		if !h.observedAt.Equal(now) {
			delete(r.headroom, service)
			continue
		}
		all += h.slots
	}
	metrics.GetOrRegisterGauge("batch.headroom", r.Metrics).Update(int64(all))
}

// observeService learns the load of one service. reserved is set if its slots are reserved by right.
func (r *Runner) observeService(service string, reserved bool, now time.Time) {
	h := r.headroom[service]
	if h == nil {
		h = &headroom{}
		r.headroom[service] = h
	}
	h.observedAt = now
	online, slots := r.Pool.Online(service, now)
	h.Observe(online, now)
	h.slots = h.Slots(slots, reserved)
	r.logHeadroom(service, h, slots, now)
}

// logHeadroom writes a log line if the number of slots that items leave free has doubled or halved.
func (r *Runner) logHeadroom(service string, h *headroom, all int, now time.Time) {
	if now.Sub(h.loggedAt) < headroomLogInterval || h.slots < 2*h.logged && h.logged < 2*h.slots || h.slots == h.logged {
		return
	}
	r.Events.Info(event.HeadroomChanged).Str("service", service).Int("slots", h.slots).Int("before", h.logged).Int("all", all).
		Int("peak", h.Peak()).Int("trough", h.Trough()).Msg("items leave another number of slots free for online requests")
	h.logged, h.loggedAt = h.slots, now
}

// splitByRisk separates the items that are likely to miss their due time if they wait for more free
// slots from the others, and sets how many slots those leave free.
func (r *Runner) splitByRisk(waiting []candidate) (atRisk, others []candidate) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range waiting {
		c := &waiting[n]
		if h := r.headroom[c.service]; h != nil {
			c.headroom = h.slots
		}
		if (c.headroom > 0 || r.Pool.Scarce(c.service, now)) && r.estimator.AtRisk(r.lastEvent(c), c.CreatedAt.Add(c.route.CompletionTarget), now) {
			c.headroom, c.atRisk = 0, true
			atRisk = append(atRisk, *c)
		} else {
			others = append(others, *c)
		}
	}
	return atRisk, others
}

// sortOpen sorts items into the order in which they start. Teams and jobs share the slots if the
// backend servers of all services of these items state their starts.
func (r *Runner) sortOpen(open []ledger.OpenItem, table *sardinerock.RouteTable) {
	if r.sharesSlots(open, table) {
		items.SortByShare(open, table)
	} else {
		items.SortByDue(open, table)
	}
}

func (r *Runner) sharesSlots(open []ledger.OpenItem, table *sardinerock.RouteTable) bool {
	checked := map[string]bool{}
	for n := range open {
		if checked[open[n].Route] {
			continue
		}
		checked[open[n].Route] = true
		for m := range table.Routes {
			if table.Routes[m].Name != open[n].Route {
				continue
			}
			for _, share := range table.Routes[m].Shares {
				if !r.Pool.StatesStarts(share.Service) {
					return false
				}
			}
		}
	}
	return true
}

// shareParts reports whether the backend servers of all services of these items state their starts.
func (r *Runner) shareParts(waiting []candidate) bool {
	for n := range waiting {
		if !r.Pool.StatesStarts(waiting[n].service) {
			return false
		}
	}
	return true
}

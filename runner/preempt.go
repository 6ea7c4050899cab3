package runner

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/items"
)

// PreemptExcess preempts this entry's share of the items on a backend server whose slots
// online requests need.
func (r *Runner) PreemptExcess(server string) {
	now := time.Now()
	n := r.Pool.Excess(server, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.excess.Confirm(server, n, r.excessDelay(server), now) {
		return
	}
	// Items already preempted hold their slots until their runs have ended.
	for n -= r.preempting(server); n > 0; n-- {
		if !r.preemptLocked(server) {
			return
		}
	}
}

// PreemptOne preempts one item on a backend server for an online request that found no slot,
// here or at another entry. It returns false if no item of this entry runs there.
func (r *Runner) PreemptOne(server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.preemptLocked(server)
}

func (r *Runner) preemptLocked(server string) bool {
	now := time.Now()
	i := r.leastUrgent(server, now)
	if i == nil {
		return false
	}
	i.preempted = true
	i.cancel()
	held := now.Sub(i.started)
	r.Events.Info(event.ItemGaveWay).Str("job", i.open.Job).Str("item", i.body.ID).Str("server", server).
		Int("events", i.events).Dur("held", held).Int("remaining", r.estimator.RemainingEvents(i.position.LastEvent)).Msg("item preempted; it resumes later")
	metrics.GetOrRegisterCounter("batch.gaveWay", r.Metrics).Inc(1)
	metrics.GetOrRegisterCounter("batch.gaveWayMillis", r.Metrics).Inc(held.Milliseconds())
	return true
}

// preempting returns how many preempted items still hold a slot on a backend server.
func (r *Runner) preempting(server string) int {
	n := 0
	for _, i := range r.items {
		if i.running && i.preempted && i.server == server {
			n++
		}
	}
	return n
}

// leastUrgent returns the item on a backend server that is to be preempted; nil if there is none.
func (r *Runner) leastUrgent(server string, now time.Time) *item {
	var running []*item
	for _, i := range r.items {
		if i.running && !i.preempted && i.server == server {
			running = append(running, i)
		}
	}
	if len(running) == 0 {
		return nil
	}
	if !r.Pool.StatesStarts(running[0].service) {
		return r.latestDue(running, now)
	}
	factor := r.Pool.Speed(server, now).Factor
	runs := make([]items.Run, len(running))
	for n, i := range running {
		runs[n] = items.Run{LastEvent: i.position.LastEvent, Due: i.due, Started: i.started, Factor: factor}
	}
	return running[r.estimator.Preempted(runs, now)]
}

// latestDue returns an item that cannot finish in time; if there is none, the item with the latest
// due time.
func (r *Runner) latestDue(running []*item, now time.Time) *item {
	var best *item
	bestLate := false
	for _, i := range running {
		late := !r.estimator.MeetsDeadline(i.position.LastEvent, i.due, now)
		if best == nil || late && !bestLate || late == bestLate && i.due.After(best.due) {
			best, bestLate = i, late
		}
	}
	return best
}

// excessDelay returns how long too many items have to run on a backend server before one is
// preempted for that.
func (r *Runner) excessDelay(server string) time.Duration {
	for _, i := range r.items {
		if i.running && i.server == server && r.Pool.StatesStarts(i.service) && r.Table().Services[i.service].ReservationTTL > 0 {
			return items.ExcessDelay(r.ViewAge())
		}
	}
	return 0
}

// PreemptAllExcess preempts items on all backend servers where, by the messages of other
// entries, online requests wait.
func (r *Runner) PreemptAllExcess() {
	for _, id := range r.servers() {
		r.PreemptExcess(id)
	}
}

// servers returns the backend servers on which items of this entry run.
func (r *Runner) servers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var servers []string
	for _, i := range r.items {
		if i.running && !slices.Contains(servers, i.server) {
			servers = append(servers, i.server)
		}
	}
	return servers
}

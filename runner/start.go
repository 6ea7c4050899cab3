package runner

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/items"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/pool"
)

// startWaiting starts items in free slots, those with the earliest due time first. Items that
// cannot finish in time get the slots that the others leave.
func (r *Runner) startWaiting(ctx context.Context) {
	inTime, late := r.splitByDeadline(r.waitingItems(ctx, r.Table()))
	elsewhere := r.WaitingElsewhere()
	r.mu.Lock()
	r.waiting = len(inTime)
	r.mu.Unlock()
	atRisk, others := r.splitByRisk(inTime)
	own, ofOthers := len(inTime), elsewhere
	if r.shareParts(inTime) {
		own, ofOthers = items.SharePart(own), r.SumWaiting(items.SharePart)
	}
	started := r.startInOrder(ctx, atRisk, own, ofOthers, 0)
	if started == len(atRisk) {
		started += r.startInOrder(ctx, others, own, ofOthers, 0)
	}
	// Other entries do not report how many late items they have; assume as many as this one
	// has.
	r.startInOrder(ctx, late, len(late), len(late)*(len(r.Owners())-1), len(inTime)-started+elsewhere)
}

// startInOrder starts items in their order while more than keepFree slots and those that they leave
// for online requests are free, and returns how many it started. own and elsewhere are how many items
// wait here and at other entries, as they count for this entry's share.
func (r *Runner) startInOrder(ctx context.Context, waiting []candidate, own, elsewhere, keepFree int) int {
	// Most routes have one service; items of a second one share the pace of the first.
	var free freeSlots
	for n := range waiting {
		now := time.Now()
		reserve := items.SlotReserve(waiting[n].reserved, now.Sub(waiting[n].CreatedAt), waiting[n].route.CompletionTarget)
		free.count(r.Pool, waiting[n].service, reserve, waiting[n].atRisk, now)
		if r.Pace.Allow(free.slots-keepFree-waiting[n].headroom, own, elsewhere, waiting[n].reserved, now) <= 0 {
			return n
		}
		switch {
		case r.start(ctx, &waiting[n], reserve):
		case waiting[n].origin.Known():
			// The others may find a slot at a backend server of another version.
			continue
		default:
			return n
		}
		r.Pace.RecordStart()
		free.slots--
	}
	return len(waiting)
}

// freeSlots caches the number of free slots, because counting them visits all backend
// servers. It is counted again only for an item with another service or reserve.
type freeSlots struct {
	slots, reserve int
	service        string
	atRisk         bool
}

func (f *freeSlots) count(p *pool.Pool, service string, reserve int, atRisk bool, now time.Time) {
	if f.service == service && f.reserve == reserve && f.atRisk == atRisk {
		return
	}
	free := p.FreeSlots
	if atRisk {
		free = p.FreeSlotsAtRisk
	}
	*f = freeSlots{slots: free(service, reserve, now), reserve: reserve, service: service, atRisk: atRisk}
}

// splitByDeadline separates the items that can finish in time from those that cannot.
func (r *Runner) splitByDeadline(waiting []candidate) (inTime, late []candidate) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range waiting {
		c := &waiting[n]
		if r.estimator.MeetsDeadline(r.lastEvent(c), c.CreatedAt.Add(c.route.CompletionTarget), now) {
			inTime = append(inTime, *c)
		} else {
			late = append(late, *c)
		}
	}
	return inTime, late
}

// lastEvent returns the id of the last event known of an item.
func (r *Runner) lastEvent(c *candidate) string {
	lastEvent := c.progress.Position.LastEvent
	if i := r.items[c.key]; i != nil && items.EventNumber(i.position.LastEvent) > items.EventNumber(lastEvent) {
		lastEvent = i.position.LastEvent
	}
	return lastEvent
}

// candidate is an item that may be started.
type candidate struct {
	ledger.OpenItem
	body *sardinerock.BatchItem
	// progress is the item's saved progress at the time this entry read the job.
	progress blobs.Progress
	key      uint64
	route    *sardinerock.Route
	service  string
	// origin is that of the item's text so far; unknown if it has none.
	origin sardinerock.Origin
	// reserved is set if a slot of the service is reserved before a request is sent.
	reserved bool
	// headroom is how many slots it leaves free for online requests.
	headroom int
	// atRisk is set if it is likely to miss its due time if it waits for more free slots.
	atRisk bool
}

// waitingItems returns this entry's items that neither run nor wait for a retry, earliest due
// time first. It gives up items whose route was removed or whose retention has passed.
func (r *Runner) waitingItems(ctx context.Context, table *sardinerock.RouteTable) []candidate {
	r.mu.Lock()
	stopping := r.stopping
	r.mu.Unlock()
	if table == nil || stopping || !r.OwnershipCurrent() {
		return nil
	}
	open := r.Ledger.OpenItems(r.Name)
	if len(open) == 0 {
		return nil
	}
	elsewhere := r.RunningElsewhere()
	r.sortOpen(open, table)
	now := time.Now()
	var waiting []candidate
	for n := range open {
		c := candidate{OpenItem: open[n], key: items.Key(open[n].Job, open[n].Index)}
		if table.Version < c.Config {
			// The table may lack the route, or have a service that the route has left.
			r.logOlder(&c.OpenItem, table)
			continue
		}
		if elsewhere[items.ShortKey(c.key)] || !r.ready(c.key) {
			continue
		}
		job := r.loadJob(ctx, c.OpenItem, now)
		if job == nil || c.Index >= len(job.items) {
			continue
		}
		c.body, c.progress = &job.items[c.Index], job.progress[c.Index]
		c.route = table.Match(c.Host, c.body.Path)
		known := r.Tally.Known(c.Job, c.Index)
		c.Failures = max(c.Failures, known.Count)
		switch {
		case c.route == nil && !r.newerThanJob(&c.OpenItem, now):
			continue
		case c.route == nil:
			r.giveUp(ctx, &c, "its route was removed")
			continue
		case c.route.Retention > 0 && now.Sub(c.CreatedAt) > c.route.Retention+clockSkewMargin:
			r.giveUp(ctx, &c, "it is too old")
			continue
		case known.Rejected:
			r.giveUp(ctx, &c, rejectedForGood)
			continue
		case c.route.MaxAttempts > 0 && c.Failures >= c.route.MaxAttempts:
			r.giveUp(ctx, &c, failedTooOften)
			continue
		}
		if !r.mayRun(&c) || r.held(&c) {
			continue
		}
		r.chooseService(&c, job)
		c.reserved = table.Services[c.service].ReservationTTL > 0
		waiting = append(waiting, c)
	}
	return waiting
}

// newerThanJob reports whether the configuration in force was the newest after the job had been accepted. Jobs without the
// version of their configuration were accepted before this entry read them.
func (r *Runner) newerThanJob(open *ledger.OpenItem, now time.Time) bool {
	return open.Config > 0 || now.Add(-r.ConfigurationAge()).After(open.SeenAt)
}

// logOlder logs that a job was accepted under a newer configuration than that of this entry, once for each version.
func (r *Runner) logOlder(open *ledger.OpenItem, table *sardinerock.RouteTable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.olderLogged < open.Config {
		r.olderLogged = open.Config
		r.Events.Info(event.JobPostponed).Str("job", open.Job).Int64("accepted", open.Config).Int64("config", table.Version).
			Msg("job was accepted under a newer configuration; its items wait until this entry has read it")
	}
}

// Waiting returns how many items this entry could start.
func (r *Runner) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting
}

// TextBytes returns the size in bytes of the texts of items that aren't recorded.
func (r *Runner) TextBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var n int64
	for _, i := range r.items {
		n += int64(cap(i.text))
	}
	return n
}

// ready reports whether an item neither runs nor waits for a retry or the record of its start.
func (r *Runner) ready(k uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.items[k]
	return i == nil || !i.running && !i.recordingStart && time.Now().After(i.retryAt)
}

// start runs an item in a free slot; it returns false if there is none.
func (r *Runner) start(ctx context.Context, c *candidate, reserve int) bool {
	now := time.Now()
	choice, ok := r.Pool.ChooseBatch(c.service, pool.BatchRequest{Reserve: reserve, AtRisk: c.atRisk, Origin: c.origin}, now)
	if !ok {
		r.recordNoRoom(c, reserve, now)
		return false
	}
	runCtx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	i := r.itemOf(c)
	i.running, i.server, i.service, i.started, i.cancel, i.preempted = true, choice.ID, c.service, time.Now(), cancel, false
	i.noRoomSince, i.noRoom, i.held = time.Time{}, false, false
	i.due = c.CreatedAt.Add(c.route.CompletionTarget)
	i.timing.RunStarted(i.started)
	i.timing.Resumed = i.timing.Resumed || i.timing.Runs == 0 && i.position.LastEvent != ""
	r.mu.Unlock()
	r.Events.Info(event.ItemStarted).Str("job", c.Job).Str("item", c.body.ID).Str("server", choice.ID).Str("version", choice.Version).
		Int("online", choice.Online).Int("batch", choice.Batch).Str("resume", i.position.LastEvent).Msg("item started")
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		defer cancel()
		r.run(ctx, runCtx, i, &choice, c.route)
	}()
	return true
}

// itemOf returns the state of a candidate, which it creates if necessary.
func (r *Runner) itemOf(c *candidate) *item {
	i := r.items[c.key]
	if i == nil {
		first := items.MayStartUnrecorded(&c.OpenItem, r.Name, r.ProcessStart)
		i = &item{key: c.key, accounted: first, saveFirstOutput: !first}
		i.room.Budget = r.Memory
		r.items[c.key] = i
	}
	if len(c.progress.Text) > len(i.text) {
		i.position, i.text, i.savedBytes, i.hadOutput = c.progress.Position, []byte(c.progress.Text), len(c.progress.Text), true
	}
	i.failures = max(i.failures, c.Failures)
	i.open, i.body = c.OpenItem, c.body
	return i
}

// giveUp records an item as failed for good.
func (r *Runner) giveUp(ctx context.Context, c *candidate, reason string) {
	r.mu.Lock()
	i := r.itemOf(c)
	i.retryAt = time.Now().Add(time.Second)
	r.mu.Unlock()
	r.Events.Warn(event.ItemFailed).Str("job", c.Job).Str("item", c.body.ID).Str("reason", reason).Msg("item given up")
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		r.record(ctx, i, sardinerock.BatchResult{Item: c.body.ID}, reason)
	}()
}

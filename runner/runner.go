package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/commit"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/pool"
)

const (
	// tick is between two looks for free slots. Bursts end within a second; a
	// slot that stays free for a fraction of that is little lost.
	tick = 25 * time.Millisecond
	// settleTime is how long after its start an entry runs no items: it hears
	// within it who else lives and what they run.
	settleTime = 600 * time.Millisecond
	// retryPause is how long an item rests after a try that failed.
	retryPause = 200 * time.Millisecond
	// expiryTick is between two removals of old jobs: at 200 results a second
	// that is 25 MB of the store's 400 in between.
	expiryTick = 10 * time.Second
	// clockMargin is added to the age at which an item is given up: jobs carry
	// the time of another entry's clock, and clocks have been seen 4 s apart. An
	// item given up too early is lost to its caller.
	clockMargin = 10 * time.Second
	// noteTimeout is how long the store may take to record progress; the next
	// record holds all that this one would have.
	noteTimeout = 3 * time.Second
	// eventSilence is the longest pause in an item's stream after which it goes
	// on elsewhere; events come every 30 ms.
	eventSilence = 2 * time.Second
)

// expiryKey decides by its hash which entry removes old jobs.
const expiryKey = "expiry"

// expiryRecords bounds the records of one removal, so that an append stays
// small; what is left goes with the next one.
const expiryRecords = 2000

// Runner runs the items of batch jobs.
type Runner struct {
	// Name is this entry's name.
	Name   string
	Batch  sardinerock.BatchDialect
	Table  func() *sardinerock.RouteTable
	Ledger *ledger.Ledger
	// Jobs brings what is decided about jobs into the store, Recorder what becomes of items.
	Jobs     *commit.Appender
	Recorder *commit.Appender
	// JobsSince returns once all jobs are known that were accepted before a time.
	JobsSince func(ctx context.Context, at time.Time) error
	Pool      *pool.Pool
	Conns     *conns.Conns
	// Pace bounds how many items start at once.
	Pace *Pace
	// Freed is called when an item has left a slot that is free now.
	Freed func(service, server string)
	// WaitingElsewhere returns how many items the other entries could start.
	WaitingElsewhere func() int
	// Owners returns the names of the entries among which jobs are shared out.
	Owners func() []string
	// RunningElsewhere returns the items that other live entries run.
	RunningElsewhere func() map[uint64]bool
	// Keep is how long jobs stay in the store after they came.
	Keep    time.Duration
	Events  *event.Logger
	Metrics metrics.Registry

	mu      sync.Mutex
	items   map[uint64]*item
	wake    chan struct{}
	leaving bool
	// waiting is how many items could be started at the last look, and be done in time.
	waiting int
	effort  effort
	// notedAt is when progress was last brought into the store.
	notedAt time.Time
	group   sync.WaitGroup
}

// item is an item that this entry has begun.
type item struct {
	open ledger.OpenItem
	key  uint64
	// running is set while it holds a slot.
	running bool
	server  string
	started time.Time
	due     time.Time
	cancel  context.CancelFunc
	// gaveWay is set when its slot was taken for online work.
	gaveWay bool
	// lastEvent is the id of the last event whose data is in text.
	lastEvent string
	text      []byte
	events    int
	// recorded is how much of the text is in the store; recording is set while more is on its way.
	recorded  int
	recording bool
	// failures counts the answers that say that the run failed.
	failures int
	// rests is when it may be tried again.
	rests time.Time
}

// Prepare makes the runner usable; it is called once before all else.
func (r *Runner) Prepare() {
	r.items = map[uint64]*item{}
	r.wake = make(chan struct{}, 1)
}

// Run starts items until ctx ends; then all that run are broken off.
func (r *Runner) Run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(settleTime):
	}
	t := time.NewTicker(tick)
	defer t.Stop()
	e := time.NewTicker(expiryTick)
	defer e.Stop()
	for {
		select {
		case <-ctx.Done():
			r.group.Wait()
			return
		case <-e.C:
			r.expireJobs(ctx)
			continue
		case <-t.C:
		case <-r.wake:
		}
		r.YieldAll()
		r.stopEnded()
		r.noteProgress()
		r.startSome(ctx)
	}
}

// expireJobs removes old jobs from the store, at one entry of all: the store
// keeps the newest record of each key for good, and is full at some size.
func (r *Runner) expireJobs(ctx context.Context) {
	if r.Keep <= 0 || Owner(expiryKey, r.Owners()) != r.Name {
		return
	}
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		ctx, cancel := context.WithTimeout(ctx, noteTimeout)
		defer cancel()
		r.clearOrphans(ctx)
		before := time.Now().Add(-r.Keep)
		if !r.Ledger.HasBefore(before) {
			return
		}
		_, err := r.Jobs.SubmitLazily(ctx, func(p *ledger.Plan) (ledger.Verdict, error) { return p.Expire(before, expiryRecords) })
		r.Events.Info(event.JobsExpired).Time("before", before).Err(err).Msg("old jobs removed")
	}()
}

// clearOrphans removes the records of items whose jobs were removed. Records
// may be read before the acceptance of their job is, which came first in the
// store: once all jobs up to now are known, what has none was removed.
func (r *Runner) clearOrphans(ctx context.Context) {
	orphans := r.Ledger.Orphans()
	if len(orphans) == 0 {
		return
	}
	err := r.JobsSince(ctx, time.Now())
	if err == nil {
		_, err = r.Recorder.SubmitLazily(ctx, func(p *ledger.Plan) (ledger.Verdict, error) { return p.Clear(orphans, expiryRecords) })
	}
	r.Events.Info(event.JobsExpired).Int("orphans", len(orphans)).Err(err).Msg("records of removed jobs cleared")
}

// Leave starts no more items.
func (r *Runner) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// BreakOff ends the runs that are still under way; they go on at another entry.
func (r *Runner) BreakOff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.items {
		if i.running {
			i.cancel()
		}
	}
}

// Drain waits until no item runs, or ctx ends.
func (r *Runner) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Running returns the items that hold slots.
func (r *Runner) Running() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []uint64
	for k, i := range r.items {
		if i.running {
			keys = append(keys, k)
		}
	}
	return keys
}

// Yield gives up slots of a backend server where online work waits.
func (r *Runner) Yield(server string) {
	n := r.Pool.Excess(server, time.Now())
	if n == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for range n {
		i := r.leastUrgent(server, time.Now())
		if i == nil {
			return
		}
		i.gaveWay = true
		i.cancel()
		r.Events.Info(event.ItemGaveWay).Str("job", i.open.Job).Str("item", i.open.Item.ID).Str("server", server).
			Int("events", i.events).Msg("item gives way")
		metrics.GetOrRegisterCounter("batch.gaveWay", r.Metrics).Inc(1)
	}
}

// leastUrgent returns an item on a backend server that is late in any case, or
// the one that is due last.
func (r *Runner) leastUrgent(server string, now time.Time) *item {
	var best *item
	bestLate := false
	for _, i := range r.items {
		if !i.running || i.gaveWay || i.server != server {
			continue
		}
		late := !r.effort.inTime(i.lastEvent, i.due, now)
		if best == nil || late && !bestLate || late == bestLate && i.due.After(best.due) {
			best, bestLate = i, late
		}
	}
	return best
}

// YieldAll gives way wherever the datagrams of others say that online work waits.
func (r *Runner) YieldAll() {
	for _, id := range r.Pool.Servers() {
		r.Yield(id)
	}
}

// stopEnded breaks off items whose job was ended or whose result another entry recorded.
func (r *Runner) stopEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, i := range r.items {
		if r.Ledger.IsOpen(i.open.Job, i.open.Index) {
			continue
		}
		if i.running {
			i.cancel()
		} else {
			delete(r.items, k)
		}
	}
}

// Wake looks for work at once.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
		// One look is due already.
	}
}

// startSome starts the items that are due first in free slots, and those that
// are late in any case in what the others leave.
func (r *Runner) startSome(ctx context.Context) {
	inTime, late := r.split(r.waitingItems(r.Table()))
	elsewhere := r.WaitingElsewhere()
	r.mu.Lock()
	r.waiting = len(inTime)
	r.mu.Unlock()
	started := r.startAll(ctx, inTime, elsewhere, 0)
	// The others don't tell how many late ones they have; about as many as this one.
	r.startAll(ctx, late, len(late)*(len(r.Owners())-1), len(inTime)-started+elsewhere)
}

// startAll starts items in their order while more slots are free than are to be
// left, and returns how many; others is how many wait at other entries.
func (r *Runner) startAll(ctx context.Context, waiting []candidate, others, left int) int {
	// Most routes have one service; a second one shares the pace of the first.
	for n := range waiting {
		now := time.Now()
		service := waiting[n].service
		reserve := slotReserve(waiting[n].reserved, now.Sub(waiting[n].CreatedAt), waiting[n].route.Completion)
		if r.Pace.Allow(r.Pool.Free(service, reserve, now)-left, len(waiting), others, waiting[n].reserved, now) <= 0 {
			return n
		}
		if !r.start(ctx, &waiting[n], reserve) {
			return n
		}
		r.Pace.Started()
	}
	return len(waiting)
}

// split tells the items that can be done in time from those that can't.
func (r *Runner) split(waiting []candidate) (inTime, late []candidate) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range waiting {
		c := &waiting[n]
		last := c.Progress.LastEvent
		if i := r.items[c.key]; i != nil && eventNumber(i.lastEvent) > eventNumber(last) {
			last = i.lastEvent
		}
		if r.effort.inTime(last, c.CreatedAt.Add(c.route.Completion), now) {
			inTime = append(inTime, *c)
		} else {
			late = append(late, *c)
		}
	}
	return inTime, late
}

// candidate is an item that may be started.
type candidate struct {
	ledger.OpenItem
	key     uint64
	route   *sardinerock.Route
	service string
	// reserved says that the service's slots are reserved before anything is sent there.
	reserved bool
}

// waitingItems returns this entry's items that neither run nor rest, those that
// are due first before the others. Items that can't be done any more are given up.
func (r *Runner) waitingItems(table *sardinerock.RouteTable) []candidate {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if table == nil || leaving {
		return nil
	}
	owners := r.Owners()
	open := r.Ledger.OpenItems(func(job string) bool { return Owner(job, owners) == r.Name })
	if len(open) == 0 {
		return nil
	}
	elsewhere := r.RunningElsewhere()
	sortByDue(open, table)
	var waiting []candidate
	for n := range open {
		c := candidate{OpenItem: open[n], key: key(&open[n])}
		if elsewhere[c.key] || !r.ready(c.key) {
			continue
		}
		c.route = table.Match(c.Host, c.Item.Path)
		switch {
		case c.route == nil:
			r.giveUp(&c.OpenItem, "its route was removed")
			continue
		case c.route.Retention > 0 && time.Since(c.CreatedAt) > c.route.Retention+clockMargin:
			r.giveUp(&c.OpenItem, "it is too old")
			continue
		}
		c.service = c.route.Service(r.Pace.Random.Float64())
		c.reserved = table.Services[c.service].HoldTime > 0
		waiting = append(waiting, c)
	}
	return waiting
}

// Waiting returns how many items this entry could start.
func (r *Runner) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting
}

// ready says whether an item neither runs nor rests.
func (r *Runner) ready(k uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.items[k]
	return i == nil || !i.running && time.Now().After(i.rests)
}

// start runs an item if a slot is free, and says false if none is.
func (r *Runner) start(ctx context.Context, c *candidate, reserve int) bool {
	choice, ok := r.Pool.Batch(c.service, reserve, time.Now())
	if !ok {
		return false
	}
	run, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	i := r.items[c.key]
	if i == nil {
		i = &item{key: c.key}
		r.items[c.key] = i
	}
	if len(c.Progress.Text) > len(i.text) {
		i.lastEvent, i.text, i.recorded = c.Progress.LastEvent, []byte(c.Progress.Text), len(c.Progress.Text)
	}
	i.failures = max(i.failures, c.Failures)
	i.open, i.running, i.server, i.started, i.cancel, i.gaveWay = c.OpenItem, true, choice.ID, time.Now(), cancel, false
	i.due = c.CreatedAt.Add(c.route.Completion)
	r.mu.Unlock()
	r.Events.Info(event.ItemStarted).Str("job", c.Job).Str("item", c.Item.ID).Str("server", choice.ID).
		Int("online", choice.Online).Int("batch", choice.Batch).Str("resume", i.lastEvent).Msg("item started")
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		defer cancel()
		r.run(run, i, &choice, c.route)
	}()
	return true
}

// giveUp records that an item can't be done.
func (r *Runner) giveUp(open *ledger.OpenItem, reason string) {
	k := key(open)
	r.mu.Lock()
	if r.items[k] == nil {
		r.items[k] = &item{key: k, open: *open}
	}
	r.items[k].rests = time.Now().Add(time.Second)
	r.mu.Unlock()
	r.Events.Warn(event.ItemFailed).Str("job", open.Job).Str("item", open.Item.ID).Str("reason", reason).Msg("item given up")
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		r.record(open, sardinerock.BatchResult{Item: open.Item.ID})
	}()
}

package commit

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/leave"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/watch"
)

const (
	// batchDelay is how long deferrable changes are collected, so that one append carries many of
	// them.
	batchDelay = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed append. The store bills rejected
	// calls too.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// queueCapacity is the number of changes that may wait for the appender.
	queueCapacity = 1024
)

// ErrUncertain means that it is unknown whether the change took effect or will do so later.
var ErrUncertain = errors.New("commit: the store didn't say whether the change holds")

// Change plans one change. It is called again for each attempt.
type Change func(p *ledger.Plan) (ledger.Verdict, error)

// pendingChange is a submitted change that hasn't been answered.
type pendingChange struct {
	ctx    context.Context
	change Change
	answer chan result
	// deferrable changes may be delayed to share an append with others.
	deferrable bool
	// uncertainAt is the offset of the last conditional append with this change that got no
	// answer. It is -1 if there was none, or the topic has been read beyond that offset.
	uncertainAt int64
	// unanswered is set once an append with this change got no answer.
	unanswered bool
	// sequence numbers the changes of this appender, and retries counts the unconditional appends
	// with this one that got no answer.
	sequence, retries int
}

type result struct {
	verdict ledger.Verdict
	err     error
}

// Appender appends the changes of this entry to one topic, one append at a time.
type Appender struct {
	Store sardinerock.Store
	Topic string
	// Writer, if set, must be unique among all appenders, past ones included. Changes are then
	// appended wherever the topic ends, under names that begin with Writer. If it is empty,
	// changes are appended only where the topic still ends at the state that they were planned
	// on.
	Writer      string
	Follower    *watch.Follower
	Ledger      *ledger.Ledger
	RecordBytes int
	// AppendBytes is the size of the largest append that the store accepts.
	AppendBytes int
	Events      *event.Logger
	Metrics     metrics.Registry

	queue        chan *pendingChange
	lastSequence atomic.Int64
	// stopped is closed when Run returns and no more changes are answered. Otherwise callers of
	// Submit would keep the process from exiting.
	stopped chan struct{}
	timeout await.AdaptiveTimeout
	health  health
}

// Prepare initializes the appender. It must be called once before any other method.
func (a *Appender) Prepare() {
	a.queue = make(chan *pendingChange, queueCapacity)
	a.stopped = make(chan struct{})
}

// Submit appends a change and returns its verdict. An error that wraps
// sardinerock.ErrStoreRefused means that the change didn't take effect and never will;
// ErrUncertain means that this is unknown.
func (a *Appender) Submit(ctx context.Context, change Change) (ledger.Verdict, error) {
	return a.submit(&pendingChange{ctx: ctx, change: change})
}

// SubmitLazily is like Submit for a change that no caller waits for: it may be delayed to share
// an append with others.
func (a *Appender) SubmitLazily(ctx context.Context, change Change) (ledger.Verdict, error) {
	return a.submit(&pendingChange{ctx: ctx, change: change, deferrable: true})
}

func (a *Appender) submit(c *pendingChange) (ledger.Verdict, error) {
	c.answer, c.uncertainAt = make(chan result, 1), -1
	c.sequence = int(a.lastSequence.Add(1))
	select {
	case a.queue <- c:
	case <-c.ctx.Done():
		return ledger.Stale, fmt.Errorf("%w: too many changes wait", sardinerock.ErrStoreRefused)
	}
	for ended := c.ctx.Done(); ; {
		select {
		case r := <-c.answer:
			return r.verdict, r.err
		case <-a.stopped:
			// The process stops, and an append with the change may be in flight.
			return ledger.Stale, ErrUncertain
		case <-ended:
			// Whoever no longer waits gets the result of the append in flight, unless the process stops before that.
			if errors.Is(context.Cause(c.ctx), leave.ErrEnded) {
				return ledger.Stale, ErrUncertain
			}
			ended = nil
		}
	}
}

// Run appends submitted changes until ctx ends.
func (a *Appender) Run(ctx context.Context) {
	defer close(a.stopped)
	var batch []*pendingChange
	backoff := minBackoff
	for {
		batch = a.collect(ctx, batch)
		if ctx.Err() != nil {
			return
		}
		a.health.attemptBegan(time.Now())
		remaining, err := a.attempt(ctx, batch)
		batch = remaining
		a.health.attemptEnded(time.Now(), err == nil)
		if err == nil {
			backoff = minBackoff
			continue
		}
		a.Events.Warn(event.AppendFailed).Str("topic", a.Topic).Int("changes", len(batch)).Err(err).Msg("append to the store failed; its changes are retried until their callers stop waiting")
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// collect adds all queued changes to a batch. If the batch is empty, it waits for the first one;
// while all are deferrable, it waits up to batchDelay for more.
func (a *Appender) collect(ctx context.Context, batch []*pendingChange) []*pendingChange {
	if len(batch) == 0 {
		select {
		case <-ctx.Done():
			return batch
		case c := <-a.queue:
			batch = append(batch, c)
		}
	}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for allDeferrable(batch) {
		select {
		case c := <-a.queue:
			batch = append(batch, c)
			continue
		case <-ctx.Done():
		case <-timer.C:
		}
		break
	}
	for {
		select {
		case c := <-a.queue:
			batch = append(batch, c)
		default:
			return batch
		}
	}
}

func allDeferrable(batch []*pendingChange) bool {
	for _, c := range batch {
		if !c.deferrable {
			return false
		}
	}
	return true
}

// attempt plans the changes on the current state and appends them once. It returns the changes
// that aren't answered yet.
func (a *Appender) attempt(ctx context.Context, batch []*pendingChange) ([]*pendingChange, error) {
	at := a.Follower.Next()
	batch = a.dropCancelled(batch, at)
	if len(batch) == 0 {
		return nil, nil
	}
	if !a.Ledger.Loaded() {
		return batch, fmt.Errorf("%w: job topics aren't loaded yet", sardinerock.ErrStoreRefused)
	}
	if a.Writer != "" {
		return a.attemptUnconditionally(ctx, batch)
	}
	planned, records := a.plan(batch)
	if a.Follower.Next() != at {
		// Records were applied while the plan was made, and the plan may count some of them
		// twice.
		return batch, nil
	}
	if len(records) == 0 {
		answer(planned)
		return nil, nil
	}
	end, err := a.append(ctx, func(ctx context.Context) (int64, error) { return a.Store.AppendAt(ctx, a.Topic, at, records) })
	metrics.GetOrRegisterCounter("store.appends", a.Metrics).Inc(1)
	switch {
	case err == nil:
		for i := range records {
			records[i].Offset = at + int64(i)
		}
		a.Follower.ApplyOwn(records, at)
		answer(planned)
		return remainder(batch, planned), nil
	case errors.Is(err, sardinerock.ErrStoreConflict):
		return batch, a.catchUp(ctx, end)
	case errors.Is(err, sardinerock.ErrStoreRefused):
		return batch, err
	}
	for _, c := range batch {
		c.uncertainAt, c.unanswered = at, true
	}
	// If the append took effect, the follower reads its records.
	if syncErr := a.Follower.Sync(ctx); syncErr != nil {
		return batch, errors.Join(err, syncErr)
	}
	return batch, nil
}

// append makes one append and updates the timeout from the time to its answer.
func (a *Appender) append(ctx context.Context, call func(ctx context.Context) (int64, error)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout.Next())
	defer cancel()
	begin := time.Now()
	end, err := call(ctx)
	switch {
	case err == nil, errors.Is(err, sardinerock.ErrStoreConflict):
		a.timeout.Answered(time.Since(begin))
	case errors.Is(err, context.DeadlineExceeded):
		a.timeout.TimedOut()
	}
	return end, err
}

// dropCancelled answers the changes whose caller no longer waits, and returns the others.
func (a *Appender) dropCancelled(batch []*pendingChange, at int64) []*pendingChange {
	kept := batch[:0]
	for _, c := range batch {
		settled := at > c.uncertainAt
		switch {
		case c.ctx.Err() == nil:
			if settled {
				c.uncertainAt = -1
			}
			kept = append(kept, c)
		case !settled, a.Writer != "" && c.unanswered:
			c.answer <- result{ledger.Stale, ErrUncertain}
		default:
			c.answer <- a.finalResult(c)
		}
	}
	return kept
}

// finalResult returns the result of a change whose caller no longer waits. If an append got no
// answer, the change is planned again on the current state: a plan without records shows that the
// append took effect, and reporting the change as rejected would be false.
func (a *Appender) finalResult(c *pendingChange) result {
	if c.unanswered {
		p := a.Ledger.NewPlan(a.RecordBytes)
		if v, err := c.change(p); err == nil && len(p.Records) == 0 {
			return result{v, nil}
		}
	}
	return result{ledger.Stale, fmt.Errorf("%w: no time left", sardinerock.ErrStoreRefused)}
}

// plannedChange is a change with its result, valid once the plan is appended.
type plannedChange struct {
	*pendingChange
	result result
}

// plan plans the changes in order, up to the size limit of an append.
func (a *Appender) plan(batch []*pendingChange) ([]plannedChange, []sardinerock.StoreRecord) {
	p := a.Ledger.NewPlan(a.RecordBytes)
	var done []plannedChange
	size := 0
	for _, c := range batch {
		before := len(p.Records)
		p.Change = ledger.ChangeName(a.Writer, c.sequence, c.retries)
		v, err := c.change(p)
		for _, r := range p.Records[before:] {
			size += len(r.Key) + len(r.Value) + recordOverhead
		}
		if size > a.AppendBytes && len(done) > 0 {
			p.Records = p.Records[:before]
			break
		}
		done = append(done, plannedChange{c, result{v, err}})
	}
	return done, p.Records
}

// recordOverhead is the number of bytes that the store's format adds to each record.
const recordOverhead = 5

func answer(planned []plannedChange) {
	for _, c := range planned {
		c.answer <- c.result
	}
}

func remainder(batch []*pendingChange, planned []plannedChange) []*pendingChange {
	return append([]*pendingChange(nil), batch[len(planned):]...)
}

// catchUp reads the records that other entries appended first.
func (a *Appender) catchUp(ctx context.Context, end int64) error {
	metrics.GetOrRegisterCounter("store.moved", a.Metrics).Inc(1)
	if a.Follower.Next() >= end {
		return nil
	}
	return a.Follower.Sync(ctx)
}

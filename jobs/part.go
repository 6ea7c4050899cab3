package jobs

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/stream"
)

const (
	// pollWait bounds one read at the end of a stream.
	pollWait = time.Second
	// readPause keeps a reader from spinning on a log that is down.
	readPause = 200 * time.Millisecond
	// readTimeout bounds one read beside pollWait: a connection that went silent must not hold the reader.
	readTimeout = 5 * time.Second
)

// part is what this entry holds of one shard while it follows it.
type part struct {
	m      *Manager
	id     int
	name   string
	writer *stream.Writer
	cancel context.CancelFunc
	done   sync.WaitGroup

	// users and lastUsed are guarded by the manager's mutex.
	users    int
	lastUsed time.Time

	mu sync.Mutex
	// state is nil until the shard has been read from a checkpoint or its beginning.
	state *shard.State
	tail  *stream.Tail
	// mine is the epoch that a claim of this process made, if it made one.
	mine    int64
	claimed bool
	// changed is closed and replaced whenever the reader got on.
	changed    chan struct{}
	cancelPoll context.CancelFunc
	// probe and probed count questions for the end of the stream, asked and answered.
	probe, probed int
	readErr       error
	atEnd         bool

	appending    bool
	waitingSince time.Time
	// lostAt is when another's claim took the shard from this entry.
	lostAt     time.Time
	drainSince time.Time
	works      map[uint32]*work
	// stopping holds the cancelled jobs whose end is to be recorded, with what still runs of them.
	stopping map[uint32]*atomic.Int64
	results  results
	keeper   keeper
}

func newPart(m *Manager, id int) *part {
	p := &part{m: m, id: id, name: streamName(id), changed: make(chan struct{}), works: map[uint32]*work{}, stopping: map[uint32]*atomic.Int64{}, lastUsed: m.Now()}
	p.results.p = p
	p.writer = &stream.Writer{
		Log: m.Log, Stream: p.name, ID: m.draw(), Budget: m.budget, Now: m.Now, Health: &m.health,
		Bulk: &p.results, ReadsBack: true,
	}
	return p
}

func (p *part) start(base context.Context) {
	if p.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(base)
	p.cancel = cancel
	p.done.Go(func() { p.follow(ctx) })
	p.done.Go(func() { _ = p.writer.Run(ctx) })
}

func (p *part) stop() {
	if p.cancel != nil {
		p.cancel()
	}
	p.done.Wait()
}

// follow reads the stream until ctx is done.
func (p *part) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.read(ctx); err != nil {
			p.failed(err)
			rest(ctx, readPause)
		}
	}
}

func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (p *part) read(ctx context.Context) error {
	if err := p.load(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+readTimeout)
	defer cancel()
	p.mu.Lock()
	probe, wait := p.probe, pollWait
	if probe > p.probed {
		wait = 0
	}
	p.cancelPoll = cancel
	p.mu.Unlock()
	records, err := p.tail.Read(ctx, wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelPoll = nil
	if err != nil && p.probe > probe && errors.Is(err, context.Canceled) {
		return nil
	}
	if errors.Is(err, sardinerock.ErrLogGap) {
		// What we stood on is gone: only a checkpoint can tell what it said.
		p.tail = nil
	}
	if err != nil {
		return err
	}
	p.tail.Fold(records)
	p.readErr = nil
	if len(records) == 0 {
		p.atEnd = true
		if wait == 0 {
			p.probed = probe
		}
	}
	p.notify()
	return nil
}

// notify wakes those that wait for the reader; p.mu is held.
func (p *part) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *part) failed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readErr = err
	p.notify()
}

// load starts from the newest whole checkpoint, or from the beginning if there
// is none. If the beginning is gone as well the next read says so, and we try
// again: a stream without its beginning doesn't prove that nothing was accepted.
func (p *part) load(ctx context.Context) error {
	p.mu.Lock()
	loaded := p.tail != nil
	p.mu.Unlock()
	if loaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 4*readTimeout)
	defer cancel()
	b, err := p.m.Log.Bounds(ctx, p.name)
	if err != nil {
		return err
	}
	c, err := stream.LoadCheckpoint(ctx, p.m.Log, p.name, b.First)
	if err != nil {
		return err
	}
	state, tail := shard.NewState(), &stream.Tail{Log: p.m.Log, Stream: p.name}
	if c != nil {
		if state, err = shard.Decode(c.State); err != nil {
			return err
		}
		tail.Next, tail.Seen = c.Resume, c.Seen
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != nil && p.tail == nil {
		p.lose("read again from a checkpoint")
	}
	p.state, p.tail = state, tail
	p.keeper.loaded(c)
	tail.Apply = p.apply
	state.OnChange(p.jobChanged)
	if p.owns() {
		p.gain()
	}
	return nil
}

// apply folds one entry; p.mu is held.
func (p *part) apply(e *stream.Entry) {
	owned, epoch := p.owns(), p.state.Epoch
	p.writer.Observe(e)
	p.state.Apply(e)
	p.keeper.entries++
	if p.state.Epoch == epoch {
		return
	}
	if p.state.Owner == p.m.EntryID && e.Writer == p.writer.ID {
		p.mine, p.claimed = p.state.Epoch, true
	}
	if owned {
		p.lose("another owner in the log")
	}
	if p.owns() {
		p.gain()
	}
}

// owns says that this process made the last claim; p.mu is held. A claim of an
// earlier process with the same id doesn't count: what that one had under way
// may still turn up in the log.
func (p *part) owns() bool {
	return p.state != nil && p.claimed && p.state.Epoch == p.mine && p.state.Owner == p.m.EntryID
}

// gain starts to dispatch the shard; p.mu is held.
func (p *part) gain() {
	p.drainSince, p.waitingSince = time.Time{}, time.Time{}
	p.m.Events.Info(event.ShardClaimed).Int("shard", p.id).Int64("epoch", p.mine).Int("jobs", len(p.state.Jobs)).Msg("owns the shard")
	for _, j := range p.state.Numbers {
		p.jobChanged(j)
	}
	p.m.poke()
}

// lose stops what runs and forgets results that are not in the log: the new owner runs those items again; p.mu is held.
func (p *part) lose(reason string) {
	p.m.Events.Info(event.ShardLost).Int("shard", p.id).Int64("epoch", p.mine).Str("reason", reason).Msg("no longer owns the shard")
	p.lostAt = p.m.Now()
	for _, w := range p.works {
		p.dropWork(w)
	}
	p.results.clear()
	clear(p.stopping)
	p.drainSince = time.Time{}
}

// jobChanged follows a job's life where it concerns dispatch; p.mu is held.
func (p *part) jobChanged(j *shard.Job) {
	if !p.owns() {
		return
	}
	w := p.works[j.Number]
	if w == nil && j.Runs() {
		p.m.Events.Info(event.JobAccepted).Str("job", j.ID).Str("caller", j.Caller).Int("items", int(j.Total)).Msg("job is dispatched")
		p.addWork(j)
		return
	}
	if w != nil && j.Runs() {
		w.settle()
		return
	}
	delete(p.stopping, j.Number)
	if j.State == sardinerock.JobCancelling {
		p.stopping[j.Number] = &atomic.Int64{}
	}
	if w == nil {
		return
	}
	if j.State == sardinerock.JobCancelling {
		p.stopping[j.Number] = &w.running
	}
	id := event.JobFinished
	if j.State != sardinerock.JobFinished {
		id = event.JobCancelled
	}
	p.m.Events.Info(id).Str("job", j.ID).Int("completed", int(j.Completed)).Int("failed", int(j.Failed)).Msg("job ended")
	p.dropWork(w)
}

func (p *part) caughtUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state != nil && p.tail != nil && p.atEnd && p.readErr == nil
}

// busy says that dropping the shard would lose work in hand.
func (p *part) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appending || p.owns() || p.results.len() > 0
}

// sync waits until all that is in the log now is folded. While the log can't
// be read it fails; the state as it was may still be looked at.
func (p *part) sync(ctx context.Context) error {
	b, err := p.m.Log.Bounds(ctx, p.name)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.probe++
	probe := p.probe
	if p.cancelPoll != nil {
		p.cancelPoll()
	}
	p.mu.Unlock()
	return p.wait(ctx, func() bool { return p.tail.Next >= b.Next || p.probed >= probe })
}

// reach waits until the record at offset is folded.
func (p *part) reach(ctx context.Context, offset int64) error {
	return p.wait(ctx, func() bool { return p.tail.Next > offset })
}

// wait goes on through read errors until ctx is done: the log may be back by then.
func (p *part) wait(ctx context.Context, there func() bool) error {
	for {
		p.mu.Lock()
		if p.tail != nil && there() {
			p.mu.Unlock()
			return nil
		}
		readErr, changed := p.readErr, p.changed
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), readErr)
		case <-changed:
		}
	}
}

// append puts one record into the shard's stream.
func (p *part) append(ctx context.Context, r *shard.Record, giveUp time.Time) (int64, error) {
	data, err := proto.Marshal(r)
	if err != nil {
		return 0, err
	}
	return p.writer.Append(ctx, data, giveUp)
}

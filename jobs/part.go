package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/buffer"
	"github.com/sardinerock/sardinerock/claim"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/follow"
	"github.com/sardinerock/sardinerock/keep"
	"github.com/sardinerock/sardinerock/limits"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/stream"
)

// part is what this entry holds of one shard while it follows it. The
// follower's lock guards all that is below it.
type part struct {
	m      *Manager
	id     int
	writer *stream.Writer
	cancel context.CancelFunc
	done   sync.WaitGroup

	// users and lastUsed are guarded by the manager's mutex.
	users    int
	lastUsed time.Time

	follow.Follower
	loaded bool
	// mine is the epoch that a claim of this process made, if it made one.
	mine    int64
	claimed bool

	// ownerWriter is who made the last claim.
	ownerWriter uint64
	claim       claim.Claim

	appending bool
	works     map[uint32]*work
	// stopping holds the cancelled jobs whose end is to be recorded, with what still runs of them.
	stopping map[uint32]*atomic.Int64
	results  buffer.Buffer
	keeper   keep.Keeper
}

func newPart(m *Manager, id int) *part {
	p := &part{m: m, id: id, works: map[uint32]*work{}, stopping: map[uint32]*atomic.Int64{}, lastUsed: m.Now()}
	p.Log, p.Stream, p.Now, p.Apply, p.Loaded = m.Log, streamName(id), m.Now, p.apply, p.load
	p.results = buffer.Buffer{
		Locker: p, Now: m.Now, Owned: func() (int64, bool) { return p.mine, p.owns() }, Unrecorded: &m.unrecorded, Acked: m.poke,
		Hurry: func() bool { return m.handBack.Load() || p.quiet() },
		Linger: func() time.Duration {
			return buffer.LingerFor(m.owners.LiveCount(), m.owners.OwnCount(), m.AppendsPerSecond)
		},
	}
	p.keeper = keep.Keeper{
		Locker: p, Shard: func() (*shard.State, int64) { return p.State, p.mine },
		Read:       func(at shard.Location) (*shard.Record, error) { return m.reader.Read(m.base, p.Stream, at) },
		ResultLife: func() time.Duration { return limits.ResultLife(m.Config) },
		Retention:  m.Retention, CheckpointEvery: m.CheckpointEvery,
	}
	p.writer = &stream.Writer{
		Log: m.Log, Stream: p.Stream, ID: draw(), Budget: m.budget, Now: m.Now, Health: &m.health,
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
	p.done.Go(func() { p.Run(ctx) })
	p.done.Go(func() { _ = p.writer.Run(ctx) })
}

func (p *part) stop() {
	if p.cancel != nil {
		p.cancel()
	}
	p.done.Wait()
}

// load goes on from the state of a checkpoint; the lock is held.
func (p *part) load(c *stream.Checkpoint) {
	if p.loaded && p.claimed {
		p.lose("read again from a checkpoint")
	}
	p.loaded = true
	p.keeper.Loaded(c)
	p.State.OnChange(p.jobChanged)
	if p.owns() {
		p.gain()
	}
}

// apply folds one entry; the lock is held.
func (p *part) apply(e *stream.Entry) {
	owned, epoch := p.owns(), p.State.Epoch
	p.writer.Observe(e)
	p.State.Apply(e)
	p.keeper.Folded()
	if p.State.Epoch != epoch {
		p.ownerWriter = e.Writer
	}
	if e.Writer == p.ownerWriter && p.Current() {
		// Not while catching up: what the owner wrote an hour ago says nothing.
		p.claim.OwnerSeen(p.m.Now())
	}
	if p.State.Epoch == epoch {
		return
	}
	if p.State.Owner == p.m.EntryID && e.Writer == p.writer.ID {
		p.mine, p.claimed = p.State.Epoch, true
	}
	if owned && p.State.Owner == "" {
		p.lose("released")
	} else if owned {
		p.lose("another owner in the log")
		p.claim.HoldBack(p.m.Now())
	}
	if p.owns() {
		p.gain()
	}
}

// owns says that this process made the last claim; the lock is held. A claim of an
// earlier process with the same id doesn't count: what that one had under way
// may still turn up in the log.
func (p *part) owns() bool {
	return p.State != nil && p.claimed && p.State.Epoch == p.mine && p.State.Owner == p.m.EntryID
}

// gain starts to dispatch the shard; the lock is held.
func (p *part) gain() {
	p.claim.Gained()
	p.m.Events.Info(event.ShardClaimed).Int("shard", p.id).Int64("epoch", p.mine).Int("jobs", len(p.State.Jobs)).Msg("owns the shard")
	for _, j := range p.State.Numbers {
		p.jobChanged(j)
	}
	p.m.poke()
}

// lose stops what runs and forgets results that are not in the log: the new owner runs those items again; the lock is held.
func (p *part) lose(reason string) {
	p.m.Events.Info(event.ShardLost).Int("shard", p.id).Int64("epoch", p.mine).Str("reason", reason).Msg("no longer owns the shard")
	for _, w := range p.works {
		p.dropWork(w)
	}
	p.results.Clear()
	clear(p.stopping)
	p.claim.EndDrain()
}

// jobChanged follows a job's life where it concerns dispatch; the lock is held.
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
	p.Lock()
	defer p.Unlock()
	return p.Current()
}

// busy says that dropping the shard would lose work in hand.
func (p *part) busy() bool {
	p.Lock()
	defer p.Unlock()
	return p.appending || p.owns() || p.results.Len() > 0
}

// append puts one record into the shard's stream.
func (p *part) append(ctx context.Context, r *shard.Record, giveUp time.Time) (int64, error) {
	data, err := proto.Marshal(r)
	if err != nil {
		return 0, err
	}
	return p.writer.Append(ctx, data, giveUp)
}

func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

package shards

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/buffer"
	"github.com/sardinerock/sardinerock/chkpt"
	"github.com/sardinerock/sardinerock/claim"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/follow"
	"github.com/sardinerock/sardinerock/limits"
	"github.com/sardinerock/sardinerock/retain"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/stream"
)

// Processor follows one shard, and runs its items while this entry owns it. The embedded Follower's lock guards the
// fields after it.
type Processor struct {
	// ID is the shard's number, Writer appends to its stream.
	ID     int
	Writer *stream.Writer

	shared     *Shared
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	follow.Follower
	loaded bool
	// claimEpoch is the epoch of this process's last claim; valid if hasClaim.
	claimEpoch int64
	hasClaim   bool

	// ownerWriter is the id of the writer that made the last claim or release.
	ownerWriter uint64
	ownership   claim.Policy

	// appending is set while a control record is being appended.
	appending bool
	worklists map[uint32]*worklist
	// cancelling holds the number of running items of each cancelled job that is not recorded as stopped yet.
	cancelling map[uint32]*atomic.Int64
	results    buffer.Buffer
	retention  retain.Planner
}

// New returns the processor of shard id, which does nothing until it is started.
func New(s *Shared, id int) *Processor {
	p := &Processor{shared: s, ID: id, worklists: map[uint32]*worklist{}, cancelling: map[uint32]*atomic.Int64{}}
	p.Log, p.Stream, p.Now, p.Apply, p.OnLoad = s.Log, StreamName(id), s.Now, p.apply, p.load
	p.results = buffer.Buffer{
		Locker: p, Now: s.Now, Owned: func() (int64, bool) { return p.claimEpoch, p.Owns() }, Unrecorded: &s.Unrecorded, Acked: s.WakeDispatcher,
		FlushNow: func() bool { return s.Stopping.Load() || p.allBuffered() },
		Linger: func() time.Duration {
			return buffer.LingerFor(s.Owners.LiveCount(), s.Owners.OwnCount(), s.AppendsPerSecond)
		},
	}
	p.retention = retain.Planner{
		Locker: p, Shard: func() (*shard.State, int64) { return p.State, p.claimEpoch },
		Read:            func(at shard.Location) (*shard.Record, error) { return s.Reader.Read(s.Base, p.Stream, at) },
		ResultRetention: func() time.Duration { return limits.ResultRetention(s.Config) },
		Retention:       s.Retention, CheckpointEvery: s.CheckpointEvery,
	}
	p.Writer = &stream.Writer{
		Log: s.Log, Stream: p.Stream, ID: NewID(), Budget: s.Budget, Now: s.Now, Health: &s.Health,
		Bulk: &p.results, ReadsBack: true,
	}
	return p
}

// Start follows the shard until base is done or Stop is called. Further calls do nothing.
func (p *Processor) Start(base context.Context) {
	if p.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(base)
	p.cancel = cancel
	p.goroutines.Go(func() { p.Run(ctx) })
	p.goroutines.Go(func() { _ = p.Writer.Run(ctx) })
}

// Stop stops following the shard and waits until all goroutines have ended.
func (p *Processor) Stop() {
	if p.cancel != nil {
		p.cancel()
	}
	p.goroutines.Wait()
}

// load is called after the state was replaced by that of a checkpoint, or by an empty one if c is nil; the lock is
// held.
func (p *Processor) load(c *chkpt.Checkpoint) {
	if p.loaded && p.hasClaim {
		p.stopDispatch("state reloaded from a checkpoint")
	}
	p.loaded = true
	p.retention.Reset(c)
	p.State.OnChange(p.jobChanged)
	if p.Owns() {
		p.startDispatch()
	}
}

// apply folds one envelope of the stream; the lock is held.
func (p *Processor) apply(e *stream.Entry) {
	owned, epoch := p.Owns(), p.State.Epoch
	p.Writer.Observe(e)
	p.State.Apply(e)
	p.retention.CountRecord()
	if p.State.Epoch != epoch {
		p.ownerWriter = e.Writer
	}
	if e.Writer == p.ownerWriter && p.Current() {
		// Not while catching up: an old record doesn't prove that the owner is live now.
		p.ownership.OwnerSeen(p.shared.Now())
	}
	if p.State.Epoch == epoch {
		return
	}
	if p.State.Owner == p.shared.EntryID && e.Writer == p.Writer.ID {
		p.claimEpoch, p.hasClaim = p.State.Epoch, true
	}
	if owned && p.State.Owner == "" {
		p.stopDispatch("released")
	} else if owned {
		p.stopDispatch("another owner in the log")
		p.ownership.BackOff(p.shared.Now())
	}
	if p.Owns() {
		p.startDispatch()
	}
}

// Owns reports whether this process made the last claim; the lock is held. It returns false for a claim of an earlier
// process with the same entry id, since records that it had in transit may still be appended.
func (p *Processor) Owns() bool {
	return p.State != nil && p.hasClaim && p.State.Epoch == p.claimEpoch && p.State.Owner == p.shared.EntryID
}

// startDispatch starts to run the shard's items; the lock is held.
func (p *Processor) startDispatch() {
	p.ownership.Acquired()
	p.shared.Events.Info(event.ShardClaimed).Int("shard", p.ID).Int64("epoch", p.claimEpoch).Int("jobs", len(p.State.Jobs)).Msg("shard claimed; running its items")
	for _, j := range p.State.JobsByNumber {
		p.jobChanged(j)
	}
	p.shared.WakeDispatcher()
}

// stopDispatch cancels running items and drops the results that are not in the log: the new owner runs these items
// again; the lock is held.
func (p *Processor) stopDispatch(reason string) {
	p.shared.Events.Info(event.ShardLost).Int("shard", p.ID).Int64("epoch", p.claimEpoch).Str("reason", reason).Msg("shard lost; its items are stopped")
	for _, w := range p.worklists {
		p.dropWorklist(w)
	}
	p.results.Clear()
	clear(p.cancelling)
	p.ownership.EndDrain()
}

// jobChanged updates the dispatch after a change of a job; the lock is held.
func (p *Processor) jobChanged(j *shard.Job) {
	if !p.Owns() {
		return
	}
	w := p.worklists[j.Number]
	if w == nil && j.Running() {
		p.shared.Events.Info(event.JobAccepted).Str("job", j.ID).Str("caller", j.Caller).Int("items", int(j.Total)).Msg("job accepted; running its items")
		p.addWorklist(j)
		return
	}
	if w != nil && j.Running() {
		w.removeRecorded()
		return
	}
	delete(p.cancelling, j.Number)
	if j.State == sardinerock.JobCancelling {
		p.cancelling[j.Number] = &atomic.Int64{}
	}
	if w == nil {
		return
	}
	if j.State == sardinerock.JobCancelling {
		p.cancelling[j.Number] = &w.running
	}
	id := event.JobFinished
	if j.State != sardinerock.JobFinished {
		id = event.JobCancelled
	}
	p.shared.Events.Info(id).Str("job", j.ID).Int("completed", int(j.Completed)).Int("failed", int(j.Failed)).Msg("job ended")
	p.dropWorklist(w)
}

// CaughtUp reports whether the shard was read to the end of its stream.
func (p *Processor) CaughtUp() bool {
	p.Lock()
	defer p.Unlock()
	return p.Current()
}

// Busy reports whether the shard is owned or has records that are not appended yet.
func (p *Processor) Busy() bool {
	p.Lock()
	defer p.Unlock()
	return p.appending || p.Owns() || p.results.Len() > 0
}

// Append appends one record to the shard's stream and returns its offset. It is not sent again after giveUp.
func (p *Processor) Append(ctx context.Context, r *shard.Record, giveUp time.Time) (int64, error) {
	data, err := proto.Marshal(r)
	if err != nil {
		return 0, err
	}
	return p.Writer.Append(ctx, data, giveUp)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

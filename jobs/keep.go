package jobs

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/chkpt"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/limits"
	"github.com/sardinerock/sardinerock/shard"
)

const (
	// checkpointsPerRetention leaves several tries at a checkpoint before the log drops what it stands for.
	checkpointsPerRetention = 8
	// checkpointEntries bounds what a newcomer reads beside the checkpoint.
	checkpointEntries = 5000
	// copyAge is the part of the retention after which payloads that are still needed are copied to the end of the log.
	copyAge = 0.5
	// sweepEvery is how often the owner looks for what is to be expired or copied.
	sweepEvery = 10 * time.Second
	// sweepsPerRetention keeps short retentions, as tests have them, in proportion.
	sweepsPerRetention = 20
	// uploadLife is how long an upload may pause before it is dropped.
	uploadLife = time.Hour
	// memoryFactor is how many result lives after its end a job is still known to resends.
	memoryFactor      = 2
	checkpointTimeout = time.Minute
)

// keeper does what an owner owes to the future: checkpoints, copies of what
// the log is about to drop, and the end of what is no longer promised.
type keeper struct {
	// entries counts the log records folded since the last checkpoint.
	entries int
	lastAt  time.Time
	saving  bool
	sweptAt time.Time
	// todo holds what the last sweep found, done one by one.
	todo []func() *shard.Record
}

func (k *keeper) loaded(c *chkpt.Checkpoint) {
	k.entries, k.todo = 0, nil
	if c != nil {
		k.lastAt = time.UnixMilli(c.AtMs)
	}
}

// keepUp starts what is due; the lock is held.
func (p *part) keepUp() {
	k, now := &p.keeper, p.m.Now()
	if k.lastAt.IsZero() {
		k.lastAt = now
	}
	if !k.saving && p.checkpointDue(now) {
		k.saving = true
		p.done.Go(p.checkpoint)
	}
	if p.appending {
		return
	}
	if len(k.todo) > 0 {
		next := k.todo[0]
		k.todo = k.todo[1:]
		p.sendMade(next)
		return
	}
	if now.Sub(k.sweptAt) >= min(sweepEvery, p.m.Retention/sweepsPerRetention) {
		k.sweptAt = now
		p.sweep(now)
	}
}

// checkpointDue says that a checkpoint is worth its appends. Also without news
// one is written in time: the last one goes the way of all records.
func (p *part) checkpointDue(now time.Time) bool {
	age := now.Sub(p.keeper.lastAt)
	return p.keeper.entries >= checkpointEntries ||
		(p.keeper.entries > 0 && age >= p.m.CheckpointEvery) ||
		age >= p.m.Retention/(checkpointsPerRetention/2)
}

func (p *part) checkpoint() {
	ctx, cancel := context.WithTimeout(p.m.base, checkpointTimeout)
	defer cancel()
	c, err := p.Checkpoint(ctx)
	if err == nil {
		p.Lock()
		p.keeper.entries = 0
		p.Unlock()
		err = chkpt.Save(ctx, p.m.Log, p.m.budget, p.Stream, draw(), c)
	}
	p.Lock()
	defer p.Unlock()
	p.keeper.saving = false
	// Also after a failure the next try waits its turn; there are several before records vanish.
	p.keeper.lastAt = p.m.Now()
	if err != nil {
		p.m.Events.Warn(event.Checkpointed).Int("shard", p.id).Err(err).Msg("checkpoint failed")
		return
	}
	p.m.Events.Info(event.Checkpointed).Int("shard", p.id).Int64("resume", c.Resume).Int("bytes", len(c.State)).Msg("checkpoint written")
}

// sweep lists what is to be expired and what is to be copied; the lock is held.
func (p *part) sweep(now time.Time) {
	for id, u := range p.State.Uploads {
		if now.Sub(time.UnixMilli(u.AtMs)) > uploadLife {
			p.keeper.add(func() *shard.Record {
				return expire(&shard.Expire{Epoch: p.mine, Upload: id})
			})
		}
	}
	for _, j := range p.State.Numbers {
		p.sweepJob(j, now)
	}
}

func (k *keeper) add(make func() *shard.Record) { k.todo = append(k.todo, make) }

func expire(e *shard.Expire) *shard.Record {
	return &shard.Record{Kind: &shard.Record_Expire{Expire: e}}
}

func (p *part) sweepJob(j *shard.Job, now time.Time) {
	life := limits.ResultLife(p.m.Config)
	ended := !j.Ended.IsZero() && !j.Runs() && j.State != sardinerock.JobCancelling
	switch {
	case ended && j.State == sardinerock.JobExpired && now.Sub(j.Ended) > memoryFactor*life:
		p.keeper.add(func() *shard.Record {
			return expire(&shard.Expire{Epoch: p.mine, Job: j.Number, Forget: true})
		})
		return
	case ended && j.State != sardinerock.JobExpired && now.Sub(j.Ended) > life:
		p.keeper.add(func() *shard.Record {
			return expire(&shard.Expire{Epoch: p.mine, Job: j.Number})
		})
		return
	}
	old := now.Add(-time.Duration(copyAge * float64(p.m.Retention))).UnixMilli()
	for _, at := range j.Chunks {
		if at.AtMs < old && j.OpenIn(at) {
			p.keeper.add(func() *shard.Record { return p.copyChunk(j.Number, at) })
		}
	}
	for _, at := range j.Answers {
		if at.AtMs < old && at.Count > 0 {
			p.keeper.add(func() *shard.Record { return p.copyAnswers(j.Number, at) })
		}
	}
}

// copyChunk returns a copy of a chunk for the end of the log, or nil if it can't be read.
func (p *part) copyChunk(job uint32, at shard.Location) *shard.Record {
	r, err := p.m.reader.Read(p.m.base, p.Stream, at)
	if err != nil || r.GetChunk() == nil {
		return nil
	}
	c := &shard.Chunk{First: at.First, Items: r.GetChunk().GetItems(), Job: job, Epoch: p.epoch()}
	return &shard.Record{Kind: &shard.Record_Chunk{Chunk: c}}
}

// copyAnswers returns a copy of the results that still count in a record.
func (p *part) copyAnswers(job uint32, at shard.Location) *shard.Record {
	r, err := p.m.reader.Read(p.m.base, p.Stream, at)
	if err != nil || r.GetDone() == nil {
		return nil
	}
	p.Lock()
	defer p.Unlock()
	j := p.State.Numbers[job]
	if j == nil {
		return nil
	}
	d := &shard.Done{Epoch: p.mine, Job: job, Copy: true}
	for i, it := range r.GetDone().GetItems() {
		now, position, ok := j.Answer(it.GetIndex())
		if ok && now.Offset == at.Offset && now.Record == at.Record && position == i {
			d.Items = append(d.Items, it)
		}
	}
	if len(d.GetItems()) == 0 {
		return nil
	}
	return &shard.Record{Kind: &shard.Record_Done{Done: d}}
}

func (p *part) epoch() int64 {
	p.Lock()
	defer p.Unlock()
	return p.mine
}

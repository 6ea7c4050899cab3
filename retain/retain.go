package retain

import (
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/chkpt"
	"github.com/sardinerock/sardinerock/shard"
)

const (
	// CheckpointsPerRetention is the minimum number of checkpoint intervals in the log's retention. Several attempts may
	// fail before the log drops records that no checkpoint covers.
	CheckpointsPerRetention = 8
	// checkpointRecords is the number of log records after which a checkpoint is written early. It bounds the number of
	// log records that a new reader reads after the checkpoint.
	checkpointRecords = 5000
	// copyAgeFraction is the fraction of the retention after which inputs and results that are still needed are copied
	// to the end of the log.
	copyAgeFraction = 0.5
	// sweepInterval is the interval at which the owner searches for records to expire or copy.
	sweepInterval = 10 * time.Second
	// sweepsPerRetention is the minimum number of sweeps per log retention, for the short retentions of tests.
	sweepsPerRetention = 20
	// uploadTimeout is how long an unsealed upload may be idle before it is dropped.
	uploadTimeout = time.Hour
	// jobRetentionFactor times the result retention after its end, a job is removed. Until then a retry with its key finds
	// the job.
	jobRetentionFactor = 2
)

// Planner plans the retention work of one shard. The fields are set before use. The shard's lock is held in all methods,
// but not in the functions that NextRecord returns.
type Planner struct {
	// Locker is the shard's lock.
	sync.Locker
	// Shard returns the shard's state and this owner's epoch; the lock is held.
	Shard func() (*shard.State, int64)
	// Read reads a record of the shard's stream.
	Read func(at shard.Location) (*shard.Record, error)
	// Retention is how long the log keeps records, ResultRetention how long results are kept after a job's end.
	Retention       time.Duration
	ResultRetention func() time.Duration
	// CheckpointEvery is the interval of checkpoints while there are new records.
	CheckpointEvery time.Duration

	// recordCount is the number of log records folded since the last checkpoint.
	recordCount    int
	lastCheckpoint time.Time
	checkpointing  bool
	lastSweep      time.Time
	// planned holds functions that build the records found by the last sweep; they are appended one by one.
	planned []func() *shard.Record
}

// Reset discards the plan after the state was replaced by that of a checkpoint, or by an empty one if c is nil.
func (p *Planner) Reset(c *chkpt.Checkpoint) {
	p.recordCount, p.planned = 0, nil
	if c != nil {
		p.lastCheckpoint = time.UnixMilli(c.AtMs)
	}
}

// CountRecord counts a folded log record that the next checkpoint will cover.
func (p *Planner) CountRecord() { p.recordCount++ }

// StartCheckpoint reports whether a checkpoint should be written now. The caller then writes it and calls StateEncoded
// and EndCheckpoint.
func (p *Planner) StartCheckpoint(now time.Time) bool {
	if p.lastCheckpoint.IsZero() {
		p.lastCheckpoint = now
	}
	if p.checkpointing || !p.checkpointDue(now) {
		return false
	}
	p.checkpointing = true
	return true
}

// StateEncoded is called after the checkpoint's state was encoded.
func (p *Planner) StateEncoded() { p.recordCount = 0 }

// EndCheckpoint is called after the checkpoint was written or failed. After a failure the next attempt also waits for
// the interval, since several attempts fit into the log's retention.
func (p *Planner) EndCheckpoint(now time.Time) { p.checkpointing, p.lastCheckpoint = false, now }

// checkpointDue reports whether a checkpoint should be written. Even without new records one is written at times, since
// the log drops the last checkpoint like any other record.
func (p *Planner) checkpointDue(now time.Time) bool {
	age := now.Sub(p.lastCheckpoint)
	return p.recordCount >= checkpointRecords ||
		(p.recordCount > 0 && age >= p.CheckpointEvery) ||
		age >= p.Retention/(CheckpointsPerRetention/2)
}

// NextRecord returns a function that builds the next record to append, or nil if none is due. The function is called
// without the lock, and returns nil if the record is no longer needed or can't be read.
func (p *Planner) NextRecord(now time.Time) func() *shard.Record {
	if len(p.planned) > 0 {
		next := p.planned[0]
		p.planned = p.planned[1:]
		return next
	}
	if now.Sub(p.lastSweep) >= min(sweepInterval, p.Retention/sweepsPerRetention) {
		p.lastSweep = now
		p.sweep(now)
	}
	return nil
}

// sweep plans the records that expire or copy something.
func (p *Planner) sweep(now time.Time) {
	state, _ := p.Shard()
	for id, u := range state.Uploads {
		if now.Sub(time.UnixMilli(u.AtMs)) > uploadTimeout {
			p.planExpire(&shard.Expire{Upload: id})
		}
	}
	for _, j := range state.JobsByNumber {
		p.sweepJob(j, now)
	}
}

func (p *Planner) plan(build func() *shard.Record) { p.planned = append(p.planned, build) }

func (p *Planner) planExpire(e *shard.Expire) {
	p.plan(func() *shard.Record {
		e.Epoch = p.epoch()
		return &shard.Record{Kind: &shard.Record_Expire{Expire: e}}
	})
}

func (p *Planner) sweepJob(j *shard.Job, now time.Time) {
	retention := p.ResultRetention()
	ended := !j.Ended.IsZero() && !j.Running() && j.State != sardinerock.JobCancelling
	switch {
	case ended && j.State == sardinerock.JobExpired && now.Sub(j.Ended) > jobRetentionFactor*retention:
		p.planExpire(&shard.Expire{Job: j.Number, Forget: true})
		return
	case ended && j.State != sardinerock.JobExpired && now.Sub(j.Ended) > retention:
		p.planExpire(&shard.Expire{Job: j.Number})
		return
	}
	old := now.Add(-time.Duration(copyAgeFraction * float64(p.Retention))).UnixMilli()
	for _, at := range j.Chunks {
		if at.AtMs < old && j.HasOpen(at) {
			p.plan(func() *shard.Record { return p.copyChunk(j.Number, at) })
		}
	}
	for _, at := range j.Results {
		if at.AtMs < old && at.Count > 0 {
			p.plan(func() *shard.Record { return p.copyResults(j.Number, at) })
		}
	}
}

// copyChunk returns a record that copies a chunk, or nil if the chunk can't be read.
func (p *Planner) copyChunk(job uint32, at shard.Location) *shard.Record {
	r, err := p.Read(at)
	if err != nil || r.GetChunk() == nil {
		return nil
	}
	c := &shard.Chunk{First: at.First, Items: r.GetChunk().GetItems(), Job: job, Epoch: p.epoch()}
	return &shard.Record{Kind: &shard.Record_Chunk{Chunk: c}}
}

// copyResults returns a record that copies the results of a record that are still in use, or nil if there are none or
// they can't be read.
func (p *Planner) copyResults(job uint32, at shard.Location) *shard.Record {
	r, err := p.Read(at)
	if err != nil || r.GetDone() == nil {
		return nil
	}
	p.Lock()
	defer p.Unlock()
	state, epoch := p.Shard()
	j := state.JobsByNumber[job]
	if j == nil {
		return nil
	}
	d := &shard.Done{Epoch: epoch, Job: job, Copy: true}
	for i, it := range r.GetDone().GetItems() {
		now, position, ok := j.Result(it.GetIndex())
		if ok && now.Offset == at.Offset && now.Record == at.Record && position == i {
			d.Items = append(d.Items, it)
		}
	}
	if len(d.GetItems()) == 0 {
		return nil
	}
	return &shard.Record{Kind: &shard.Record_Done{Done: d}}
}

func (p *Planner) epoch() int64 {
	p.Lock()
	defer p.Unlock()
	_, epoch := p.Shard()
	return epoch
}

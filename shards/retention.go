package shards

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock/chkpt"
	"github.com/sardinerock/sardinerock/event"
)

// checkpointTimeout bounds the encoding and append of one checkpoint.
const checkpointTimeout = time.Minute

// appendRetentionRecords starts a checkpoint or a retention record if one is due; the lock is held.
func (p *Processor) appendRetentionRecords() {
	now := p.shared.Now()
	if p.retention.StartCheckpoint(now) {
		p.goroutines.Go(p.checkpoint)
	}
	if p.appending {
		return
	}
	if next := p.retention.NextRecord(now); next != nil {
		p.appendControlFrom(next)
	}
}

// checkpoint writes a checkpoint of the shard.
func (p *Processor) checkpoint() {
	ctx, cancel := context.WithTimeout(p.shared.Base, checkpointTimeout)
	defer cancel()
	c, err := p.Checkpoint(ctx)
	if err == nil {
		p.Lock()
		p.retention.StateEncoded()
		p.Unlock()
		err = chkpt.Save(ctx, p.shared.Log, p.shared.Budget, p.Stream, NewID(), c)
	}
	p.Lock()
	defer p.Unlock()
	p.retention.EndCheckpoint(p.shared.Now())
	if err != nil {
		p.shared.Events.Warn(event.Checkpointed).Int("shard", p.ID).Err(err).Msg("checkpoint failed; retrying after the checkpoint interval")
		return
	}
	p.shared.Events.Info(event.Checkpointed).Int("shard", p.ID).Int64("resume", c.Resume).Int("bytes", len(c.State)).Msg("checkpoint written")
}

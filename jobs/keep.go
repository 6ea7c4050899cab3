package jobs

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/stream"
)

const checkpointTimeout = time.Minute

// keepUp starts what is due; the lock is held.
func (p *part) keepUp() {
	now := p.m.Now()
	if p.keeper.StartCheckpoint(now) {
		p.done.Go(p.checkpoint)
	}
	if p.appending {
		return
	}
	if next := p.keeper.Next(now); next != nil {
		p.sendMade(next)
	}
}

func (p *part) checkpoint() {
	ctx, cancel := context.WithTimeout(p.m.base, checkpointTimeout)
	defer cancel()
	c, err := p.Checkpoint(ctx)
	if err == nil {
		p.Lock()
		p.keeper.SavedState()
		p.Unlock()
		err = stream.SaveCheckpoint(ctx, p.m.Log, p.m.budget, p.Stream, draw(), c)
	}
	p.Lock()
	defer p.Unlock()
	p.keeper.EndCheckpoint(p.m.Now())
	if err != nil {
		p.m.Events.Warn(event.Checkpointed).Int("shard", p.id).Err(err).Msg("checkpoint failed")
		return
	}
	p.m.Events.Info(event.Checkpointed).Int("shard", p.id).Int64("resume", c.Resume).Int("bytes", len(c.State)).Msg("checkpoint written")
}

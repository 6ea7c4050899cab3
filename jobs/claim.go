package jobs

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock/shard"
)

const (
	// handBackRunning is how long items may still run in an entry that stops; the rest of handBackTime is for the log.
	handBackRunning = 3 * time.Second
	// controlTimeout bounds the wait for one of an owner's own records.
	controlTimeout = 10 * time.Second
)

// tick moves the shard's ownership on. Time and liveness decide only who tries; the log's order decides who owns.
func (p *part) tick(wanted bool, preferred string, isLive func(string) bool) {
	p.Lock()
	defer p.Unlock()
	if p.State == nil {
		return
	}
	if p.owns() {
		p.tickOwned(wanted, preferred, isLive)
		return
	}
	if !wanted || p.appending || !p.Current() || p.m.handBack.Load() {
		p.claim.NotWanted()
		return
	}
	owner := p.State.Owner
	other := owner != "" && owner != p.m.EntryID
	if !p.claim.May(p.m.Now(), other, isLive(owner)) {
		return
	}
	p.send(&shard.Record{Kind: &shard.Record_Claim{Claim: &shard.Claim{Owner: p.m.EntryID, Replaces: p.State.Epoch}}})
}

func (p *part) tickOwned(wanted bool, preferred string, isLive func(string) bool) {
	p.retryDue()
	if p.results.Due() {
		p.writer.Wake()
	}
	if wanted || preferred == "" || !isLive(preferred) {
		if p.claim.Draining() {
			p.callOffDrain()
		}
		p.stopCancelled()
		p.keepUp()
		return
	}
	if p.claim.Drain(p.m.Now()) {
		p.cancelRunning()
	}
	if p.inHand() == 0 && !p.appending {
		p.send(&shard.Record{Kind: &shard.Record_Release{Release: &shard.Release{Epoch: p.mine}}})
	}
}

// callOffDrain goes on with a shard whose new owner went away before the
// hand-over: its jobs were taken out of the queue and would never run again; the lock is held.
func (p *part) callOffDrain() {
	p.claim.EndDrain()
	for _, w := range p.works {
		p.m.queue.Put(w.queued, w)
	}
}

// stopCancelled ends cancelled jobs of which nothing runs any more; the lock is held.
func (p *part) stopCancelled() {
	if p.appending {
		return
	}
	for number, running := range p.stopping {
		if running.Load() > 0 {
			continue
		}
		p.send(&shard.Record{Kind: &shard.Record_Stopped{Stopped: &shard.Stopped{Epoch: p.mine, Job: number}}})
		return
	}
}

// send appends one of the owner's own records beside everything else, one at a time; the lock is held.
func (p *part) send(r *shard.Record) {
	p.sendMade(func() *shard.Record { return r })
}

// sendMade is send for a record that takes reading the log to make.
func (p *part) sendMade(make func() *shard.Record) {
	p.appending = true
	p.done.Go(func() {
		// The record may be dropped if its fate is open when we stop waiting: what it asks for is asked again.
		ctx, cancel := context.WithTimeout(p.m.base, controlTimeout)
		defer cancel()
		if r := make(); r != nil {
			offset, err := p.append(ctx, r, p.m.Now().Add(controlTimeout/2))
			if err == nil {
				_ = p.Reach(ctx, offset)
			}
		}
		p.Lock()
		defer p.Unlock()
		p.appending = false
	})
}

// handBack lets running items end for a while, records what is in hand and leaves the shard to others.
func (p *part) handBack(ctx context.Context) {
	p.Lock()
	owned, epoch := p.owns(), p.mine
	p.Unlock()
	if !owned {
		return
	}
	deadline := p.m.Now().Add(handBackRunning)
	for ctx.Err() == nil && !p.recorded() {
		if !p.m.Now().Before(deadline) {
			p.Lock()
			p.cancelRunning()
			p.Unlock()
		}
		p.writer.Wake()
		rest(ctx, tickEvery)
	}
	r := &shard.Record{Kind: &shard.Record_Release{Release: &shard.Release{Epoch: epoch}}}
	_, _ = p.append(ctx, r, p.m.Now().Add(handBackTime/2))
}

func (p *part) recorded() bool {
	p.Lock()
	defer p.Unlock()
	return !p.owns() || (p.inHand() == 0 && p.results.Len() == 0)
}

package shards

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock/shard"
)

const (
	// ReleaseTimeout bounds the time for which a stopping entry records results and releases its shards.
	ReleaseTimeout = 5 * time.Second
	// releasePollInterval is the interval at which a stopping entry checks whether all results are recorded.
	releasePollInterval = 50 * time.Millisecond
	// runningItemsTimeout is how long items may still run at a stopping entry; the rest of ReleaseTimeout is for the
	// appends.
	runningItemsTimeout = 3 * time.Second
	// controlTimeout bounds the append of one control record and the wait until it is folded.
	controlTimeout = 10 * time.Second
)

// Reconcile claims or releases the shard as needed, and appends the owner's control records that are due. wanted
// reports whether this entry should own the shard, preferred is the entry that should. Time and liveness only determine
// which entry claims; the log's order determines the owner.
func (p *Processor) Reconcile(wanted bool, preferred string, isLive func(string) bool) {
	p.Lock()
	defer p.Unlock()
	if p.State == nil {
		return
	}
	if p.Owns() {
		p.reconcileOwned(wanted, preferred, isLive)
		return
	}
	if !wanted || p.appending || !p.Current() || p.shared.Stopping.Load() {
		p.ownership.ResetWait()
		return
	}
	owner := p.State.Owner
	other := owner != "" && owner != p.shared.EntryID
	if !p.ownership.MayClaim(p.shared.Now(), other, isLive(owner)) {
		return
	}
	p.appendControl(&shard.Record{Kind: &shard.Record_Claim{Claim: &shard.Claim{Owner: p.shared.EntryID, Replaces: p.State.Epoch}}})
}

// reconcileOwned is Reconcile for an owned shard; the lock is held.
func (p *Processor) reconcileOwned(wanted bool, preferred string, isLive func(string) bool) {
	p.requeueRetries()
	if p.results.ReadyLocked() {
		p.Writer.Wake()
	}
	if wanted || preferred == "" || !isLive(preferred) {
		if p.ownership.Draining() {
			p.cancelDrain()
		}
		p.appendStopped()
		p.appendRetentionRecords()
		return
	}
	if p.ownership.Drain(p.shared.Now()) {
		p.cancelRunning()
	}
	if p.inFlight() == 0 && !p.appending {
		p.appendControl(&shard.Record{Kind: &shard.Record_Release{Release: &shard.Release{Epoch: p.claimEpoch}}})
	}
}

// cancelDrain resumes a shard whose new owner failed before the handover. Draining removed the shard's jobs from the
// queue, so without it they would never run again; the lock is held.
func (p *Processor) cancelDrain() {
	p.ownership.EndDrain()
	for _, w := range p.worklists {
		p.shared.queue.Put(w.queueEntry, w)
	}
}

// appendStopped records the end of one cancelled job that has no running items left; the lock is held.
func (p *Processor) appendStopped() {
	if p.appending {
		return
	}
	for number, running := range p.cancelling {
		if running.Load() > 0 {
			continue
		}
		p.appendControl(&shard.Record{Kind: &shard.Record_Stopped{Stopped: &shard.Stopped{Epoch: p.claimEpoch, Job: number}}})
		return
	}
}

// appendControl appends a control record in the background, one at a time; the lock is held.
func (p *Processor) appendControl(r *shard.Record) {
	p.appendControlFrom(func() *shard.Record { return r })
}

// appendControlFrom is appendControl for a record that is built in the background, since building it may read the log.
// If build returns nil, nothing is appended; the lock is held.
func (p *Processor) appendControlFrom(build func() *shard.Record) {
	p.appending = true
	p.goroutines.Go(func() {
		// If the outcome is unknown after the timeout, the record may be lost: a later Reconcile appends it again.
		ctx, cancel := context.WithTimeout(p.shared.Base, controlTimeout)
		defer cancel()
		if r := build(); r != nil {
			offset, err := p.Append(ctx, r, p.shared.Now().Add(controlTimeout/2))
			if err == nil {
				_ = p.WaitFolded(ctx, offset)
			}
		}
		p.Lock()
		defer p.Unlock()
		p.appending = false
	})
}

// DrainAndRelease waits a limited time for running items, then cancels them, records the buffered results and
// releases the shard. It does nothing if the shard isn't owned.
func (p *Processor) DrainAndRelease(ctx context.Context) {
	p.Lock()
	owned, epoch := p.Owns(), p.claimEpoch
	p.Unlock()
	if !owned {
		return
	}
	deadline := p.shared.Now().Add(runningItemsTimeout)
	for ctx.Err() == nil && !p.allRecorded() {
		if !p.shared.Now().Before(deadline) {
			p.Lock()
			p.cancelRunning()
			p.Unlock()
		}
		p.Writer.Wake()
		sleep(ctx, releasePollInterval)
	}
	r := &shard.Record{Kind: &shard.Record_Release{Release: &shard.Release{Epoch: epoch}}}
	_, _ = p.Append(ctx, r, p.shared.Now().Add(ReleaseTimeout/2))
}

// allRecorded reports whether no item runs and no result is buffered, or the shard is no longer owned.
func (p *Processor) allRecorded() bool {
	p.Lock()
	defer p.Unlock()
	return !p.Owns() || (p.inFlight() == 0 && p.results.Len() == 0)
}

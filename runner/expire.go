package runner

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/ledger"
)

const (
	// expiryTick is between two removals of old jobs: at 200 results a second
	// that is 25 MB of the store's 400 in between.
	expiryTick = 10 * time.Second
	// expiryKey decides by its hash which entry removes old jobs.
	expiryKey = "expiry"
	// expiryRecords bounds the records of one removal, so that an append stays
	// small; what is left goes with the next one.
	expiryRecords = 2000
)

// expireJobs removes old jobs from the store, at one entry of all: the store
// keeps the newest record of each key for good, and is full at some size.
func (r *Runner) expireJobs(ctx context.Context) {
	if r.Keep <= 0 || Owner(expiryKey, r.Owners()) != r.Name {
		return
	}
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		ctx, cancel := context.WithTimeout(ctx, noteTimeout)
		defer cancel()
		r.clearOrphans(ctx)
		before := time.Now().Add(-r.Keep)
		if !r.Ledger.HasBefore(before) {
			return
		}
		_, err := r.Jobs.SubmitLazily(ctx, func(p *ledger.Plan) (ledger.Verdict, error) { return p.Expire(before, expiryRecords) })
		r.Events.Info(event.JobsExpired).Time("before", before).Err(err).Msg("old jobs removed")
	}()
}

// clearOrphans removes the records of items whose jobs were removed. Records
// may be read before the acceptance of their job is, which came first in the
// store: once all jobs up to now are known, what has none was removed.
func (r *Runner) clearOrphans(ctx context.Context) {
	orphans := r.Ledger.Orphans()
	if len(orphans) == 0 {
		return
	}
	err := r.JobsSince(ctx, time.Now())
	if err == nil {
		_, err = r.Recorder.SubmitLazily(ctx, func(p *ledger.Plan) (ledger.Verdict, error) { return p.Clear(orphans, expiryRecords) })
	}
	r.Events.Info(event.JobsExpired).Int("orphans", len(orphans)).Err(err).Msg("records of removed jobs cleared")
}

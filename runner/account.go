package runner

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/items"
	"github.com/sardinerock/sardinerock/ledger"
)

// startTimeout is how long a run waits for the record of its start. The slot that is reserved for
// it expires a little later.
const startTimeout = 250 * time.Millisecond

// errStartNotRecorded keeps a run from being sent.
var errStartNotRecorded = errors.New("runner: start of the run isn't recorded")

// needsStart reports whether the start of a run has to be recorded before the item is sent. What a
// run ends with is recorded after it, so a lost owner may have recorded nothing, and so may each of
// its successors: an item that fails at each run would reach one more backend server with every
// owner that is lost. Every run that may fail is therefore accounted for before it starts, except
// the first one of the first owner. A run that ends without a failure leaves its record to the next
// one. An item with output isn't one that fails at each run.
func (i *item) needsStart() bool { return !i.accounted && !i.hadOutput }

// needsStart does the same for an item that this entry may not have started yet.
func (r *Runner) needsStart(c *candidate) bool {
	if i := r.items[c.key]; i != nil {
		return i.needsStart() && c.progress.Text == ""
	}
	return c.progress.Text == "" && !items.MayStartUnrecorded(&c.OpenItem, r.Name, r.ProcessStart)
}

// mayRun reports whether a run of an item may be sent now. A run whose start has to be recorded
// waits while that fails. If the earlier runs that may have failed are as many as an item that
// fails may have, it also waits until this entry has kept the job, and the store has worked, for a
// while: otherwise a series of lost owners would send an item that fails again and again.
func (r *Runner) mayRun(c *candidate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.needsStart(c) {
		return true
	}
	limit, steady := items.NextStart(c.Runs, c.Failures, c.route.MaxAttempts)
	if !steady {
		return r.WorkingFor() > 0
	}
	calm := min(r.WorkingFor(), r.SteadyFor(), time.Since(c.ClaimedAt))
	if calm >= items.SteadyTime {
		return true
	}
	if i := r.itemOf(c); !i.waitsForCalm {
		i.waitsForCalm = true
		r.Events.Warn(event.ItemPostponed).Str("job", c.Job).Str("item", c.body.ID).Int("runs", c.Runs).Int("limit", limit).
			Dur("calm", calm).Msg("owners of the item were lost during its runs; it is run once this entry and the store have worked for a while")
	}
	return false
}

// ensureStartRecorded returns once a run of an item may be sent, or with an error if its start is
// not recorded in time. The record is then still pending, and the item waits for it.
func (r *Runner) ensureStartRecorded(ctx context.Context, i *item, attempts int) error {
	r.mu.Lock()
	needed := i.needsStart()
	canRecord := r.WorkingFor() > 0
	i.recordingStart = needed && canRecord
	r.mu.Unlock()
	switch {
	case !needed:
		return nil
	case !canRecord:
		return errStartNotRecorded
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	done := make(chan struct{})
	// The shutdown doesn't wait for it: Submit returns when the recorder stops.
	go func() {
		defer close(done)
		r.submitStart(i, attempts, false)
		r.mu.Lock()
		i.recordingStart = false
		r.mu.Unlock()
		r.Wake()
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.needsStart() {
		return errStartNotRecorded
	}
	return nil
}

// submitStart records that this entry is about to run an item, after a failed run of it if failed
// is set. It returns once that is in the ledger.
func (r *Runner) submitStart(i *item, attempts int, failed bool) {
	r.mu.Lock()
	open, item := i.open, i.body.ID
	// After a failed run the next start is recorded only if it needn't wait: see mayRun.
	limit := items.MaxRuns(i.failures, attempts)
	if !failed {
		limit, _ = items.NextStart(open.Runs, i.failures, attempts)
	}
	r.mu.Unlock()
	var change string
	begin := time.Now()
	verdict, err := r.Recorder.Submit(context.Background(), func(p *ledger.Plan) (ledger.Verdict, error) {
		change = p.Change
		if failed {
			if v, err := p.Fail(open.Job, open.Index); v != ledger.Applied || err != nil {
				return v, err
			}
		}
		return p.Start(open.Job, open.Index, open.Epoch, limit)
	})
	metrics.GetOrRegisterCounter("batch.startsRecorded", r.Metrics).Inc(1)
	valid := err == nil && r.Ledger.Started(open.Job, open.Index, change)
	r.mu.Lock()
	i.accounted = valid
	r.mu.Unlock()
	message := "recorded the start of a run"
	if !valid {
		message = "the start of a run was not recorded, or is not valid; the run is not made"
	}
	r.Events.Info(event.StartRecorded).Str("job", open.Job).Str("item", item).Bool("failed", failed).Bool("valid", valid).
		Int("runs", open.Runs).Int("limit", limit).Int("verdict", int(verdict)).Dur("took", time.Since(begin)).Err(err).Msg(message)
}

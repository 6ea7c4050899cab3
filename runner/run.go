package runner

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/invoke"
	"github.com/sardinerock/sardinerock/items"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/speed"
	"github.com/sardinerock/sardinerock/tally"
)

// run runs an item once. processCtx ends with the process, runCtx when the run is to be
// aborted.
func (r *Runner) run(processCtx, runCtx context.Context, i *item, choice *pool.Choice, route *sardinerock.Route) {
	eventsBefore := i.events
	positionBefore, textBefore := i.position, len(i.text)
	var meter speed.Meter
	part := &partRun{tracker: r.Blame}
	attempt := &invoke.Item{Host: i.open.Host, Team: i.open.Team, Body: i.body, Position: i.position, UnprovenAfter: i.unprovenAfter, OnEvent: func(after sardinerock.Position, data string) {
		now := time.Now()
		meter.EventNow(now)
		part.event(now)
		r.appendEvent(i, after, data)
	}}
	attempt.Hold = func(size int) error { return i.room.Set(textCharge * int64(len(i.text)+size)) }
	attempt.BeforeSend = func(ctx context.Context) error {
		if err := r.ensureStartRecorded(ctx, i, route.MaxAttempts); err != nil {
			return err
		}
		return part.send(ctx, r.causes(i.open.Host, i.open.Team, i.body))
	}
	outcome, err := r.invoker.Run(runCtx, attempt, choice)
	i.unprovenAfter = attempt.UnprovenAfter
	if errors.Is(err, conns.ErrNoRoom) {
		// All of the text is given up: interrupted items that kept theirs could fill the memory and none would ever complete.
		positionBefore, textBefore, i.unprovenAfter = sardinerock.Position{}, 0, ""
		r.Events.Warn(event.ResponseNoRoom).Str("request", i.body.ID).Str("server", choice.ID).Int("events", i.events-eventsBefore).
			Dur("took", time.Since(i.started)).Err(err).Msg("no memory for the text of an item; it starts over")
		metrics.GetOrRegisterCounter("batch.noRoom", r.Metrics).Inc(1)
	}
	if errors.Is(err, conns.ErrTooLarge) {
		r.discardRun(i, positionBefore, textBefore)
	}
	took := time.Since(i.started)
	serverFailed := err != nil && !errors.Is(err, conns.ErrNoRoom) && runCtx.Err() == nil && (outcome == invoke.Interrupted || outcome == invoke.BrokenOff)
	part.end(outcome, serverFailed && outcome == invoke.BrokenOff, choice.ID)
	free := r.Pool.Done(choice.ID, true, serverFailed, time.Now())
	r.Pool.RecordRun(choice.ID, meter.Sample(choice.Load()), time.Now())
	metrics.GetOrRegisterCounter("batch.runs", r.Metrics).Inc(1)
	if attempt.End != "" {
		metrics.GetOrRegisterCounter("batch.ends."+string(attempt.End), r.Metrics).Inc(1)
		metrics.GetOrRegisterCounter("batch.proofs."+string(attempt.Proof), r.Metrics).Inc(1)
	}
	metrics.GetOrRegisterCounter("batch.heldMillis", r.Metrics).Inc(took.Milliseconds())
	if outcome == invoke.Succeeded {
		r.Pool.RecordSuccess(choice.ID)
	}
	r.Events.Info(event.ItemStopped).Str("job", i.open.Job).Str("item", i.body.ID).Str("server", choice.ID).
		Int("outcome", int(outcome)).Str("end", string(attempt.End)).Str("proof", string(attempt.Proof)).Int("events", i.events).Dur("took", took).Err(err).Msg("item left its slot")
	r.mu.Lock()
	if outcome != invoke.Unreserved && outcome != invoke.Rejected {
		i.timing.RunStopped(took, i.preempted)
	}
	r.mu.Unlock()
	switch outcome {
	case invoke.Succeeded:
		r.record(processCtx, i, sardinerock.BatchResult{Item: i.body.ID, Succeeded: true, Text: string(i.text)}, "")
	case invoke.Unprocessable:
		r.Tally.Report(i.open.Job, i.open.Index, tally.Failures{Count: i.failures, Rejected: true})
		r.record(processCtx, i, sardinerock.BatchResult{Item: i.body.ID}, rejectedForGood)
	case invoke.Failed:
		r.recordFailure(processCtx, i, route)
	}
	r.mu.Lock()
	preempted := i.preempted
	r.estimator.RecordRun(i.events-eventsBefore, took)
	if outcome == invoke.Succeeded {
		r.estimator.RecordItem(items.EventNumber(i.position.LastEvent), i.timing.Stalled)
	}
	i.running = false
	if outcome != invoke.Rejected && outcome != invoke.Unreserved {
		i.breaks.Record(serverFailed && outcome == invoke.BrokenOff, outcome < invoke.Interrupted, i.events-eventsBefore)
	}
	if !i.preempted && outcome != invoke.Unreserved {
		i.retryAt = time.Now().Add(max(retryDelay, r.breakDelay(i)))
	}
	r.mu.Unlock()
	if free && !preempted {
		r.SlotFreed(choice.Service, choice.ID)
	}
	r.Wake()
}

// textCharge is how many times its size a text takes: itself, the copy that is saved or recorded, and the call of the store.
const textCharge = 3

// discardRun discards the text of a run that received bytes without end, or for which there was no memory.
func (r *Runner) discardRun(i *item, before sardinerock.Position, text int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(i.text) >= text {
		i.position, i.text = before, bytes.Clone(i.text[:text])
		i.savedBytes = min(i.savedBytes, text)
		// Giving back doesn't fail.
		_ = i.room.Set(min(i.room.Bytes(), textCharge*int64(text)))
	}
}

// breakDelay returns how long an item waits because backend servers ended during its runs.
func (r *Runner) breakDelay(i *item) time.Duration {
	d := i.breaks.Delay()
	if d > 0 {
		metrics.GetOrRegisterCounter("batch.delayed", r.Metrics).Inc(1)
		r.Events.Warn(event.ItemDelayed).Str("job", i.open.Job).Str("item", i.body.ID).Str("server", i.server).
			Dur("delay", d).Msg("backend servers ended during several runs of the item; it waits before its next run")
	}
	return d
}

// appendEvent adds the data of a received event to an item's text.
func (r *Runner) appendEvent(i *item, after sardinerock.Position, data string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.position.LastEvent != "" {
		i.text = append(i.text, '\n')
	} else if i.saveFirstOutput {
		i.saveNow, r.firstOutput = true, true
		r.Wake()
	}
	i.position, i.text, i.hadOutput = after, append(i.text, data...), true
	i.events++
}

// The reasons for which an item is given up after its runs.
const (
	rejectedForGood = "the backend server rejected it for good"
	failedTooOften  = "it failed as often as its route allows"
)

// recordFailure counts a failed run in the store. Otherwise each new owner of the job would
// try all attempts again, and an item that crashes or blocks backend servers would be sent to
// them again after each change of owner. The item waits until the count is stored. The same append
// records the start of the next run.
func (r *Runner) recordFailure(processCtx context.Context, i *item, route *sardinerock.Route) {
	r.mu.Lock()
	i.failures++
	i.accounted = false
	r.mu.Unlock()
	r.Tally.Report(i.open.Job, i.open.Index, tally.Failures{Count: i.failures})
	if i.failures >= route.MaxAttempts {
		r.record(processCtx, i, sardinerock.BatchResult{Item: i.body.ID}, failedTooOften)
		return
	}
	r.submitStart(i, route.MaxAttempts, true)
}

// record writes a result to the store: first its text, then the small record that gives it a
// position. It retries until the item has a result or the process ends, because finished work
// must not be lost to an outage of the store.
func (r *Runner) record(processCtx context.Context, i *item, result sardinerock.BatchResult, reason string) {
	r.mu.Lock()
	i.complete = true
	r.mu.Unlock()
	began := time.Now()
	outcome := &ledger.Outcome{Item: result.Item, Succeeded: result.Succeeded}
	if result.Succeeded {
		text, err := r.Blobs.WriteResult(processCtx, i.open.Job, i.open.Index, result.Text)
		if err != nil {
			r.Events.Info(event.ItemFailed).Str("job", i.open.Job).Str("item", result.Item).Err(err).Msg("result was not recorded because the process stops")
			return
		}
		outcome.Text = text
	}
	for r.recordOnce(i, outcome, reason, began) == nil && r.Ledger.IsOpen(i.open.Job, i.open.Index) {
		metrics.GetOrRegisterCounter("batch.recordedAgain", r.Metrics).Inc(1)
	}
}

func (r *Runner) recordOnce(i *item, outcome *ledger.Outcome, reason string, began time.Time) error {
	open := &i.open
	submit := r.Recorder.SubmitLazily
	if !outcome.Succeeded {
		// Until it is recorded, the next owner may run the item again.
		submit = r.Recorder.Submit
	}
	verdict, err := submit(context.Background(), func(p *ledger.Plan) (ledger.Verdict, error) {
		return p.Finish(open.Job, open.Index, outcome)
	})
	metrics.GetOrRegisterCounter("batch.recorded", r.Metrics).Inc(1)
	r.mu.Lock()
	timing, due := i.timing, i.due
	r.mu.Unlock()
	timing.Fields(r.Events.Info(event.ItemRecorded), open.CreatedAt, due, began).Str("job", open.Job).Str("item", outcome.Item).Str("route", open.Route).
		Bool("succeeded", outcome.Succeeded).Str("reason", reason).Int("verdict", int(verdict)).Err(err).Msg("item recorded")
	return err
}

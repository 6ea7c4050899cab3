package shards

import (
	"context"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/buffer"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/item"
	"github.com/sardinerock/sardinerock/limits"
	"github.com/sardinerock/sardinerock/queue"
	"github.com/sardinerock/sardinerock/reject"
	"github.com/sardinerock/sardinerock/shard"
)

// Dispatch starts items while the fleet has idle slots, until ctx is done.
func (s *Shared) Dispatch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		s.startItems(ctx)
	}
}

// startItems starts items until there are no idle slots, no items, or no room in the buffer of unrecorded results. A
// running item reserves its place in the buffer: during an outage of the log each result must fit, or it would be lost.
func (s *Shared) startItems(ctx context.Context) {
	// Subtract the items that were started and have not reached the runner yet.
	slots := s.Runner.IdleSlots() - int(s.Starting.Load())
	for slots > 0 && ctx.Err() == nil && s.Unrecorded.Load()+s.RunningItems.Load() < int64(s.MaxUnrecorded) {
		w, found := s.queue.Next()
		if !found {
			return
		}
		if w.start() {
			slots--
		}
	}
}

// start starts the job's next item and returns true, or removes the job from the queue if no item may start now.
func (w *worklist) start() bool {
	p := w.p
	p.Lock()
	defer p.Unlock()
	if p.worklists[w.job.Number] != w || !p.Owns() {
		p.shared.queue.Drop(w.job.ID, w)
		return false
	}
	if p.ownership.Draining() {
		p.shared.queue.Pause(w.job.ID)
		return false
	}
	index, ok := w.cursor.Next(p.shared.Now())
	if !ok {
		p.shared.queue.Pause(w.job.ID)
		return false
	}
	ctx, cancel := context.WithTimeout(p.shared.Base, p.shared.ItemTimeout)
	w.inFlight[index] = cancel
	w.running.Add(1)
	p.shared.RunningItems.Add(1)
	p.shared.Starting.Add(1)
	p.shared.RunGroup.Go(func() {
		defer cancel()
		defer p.shared.RunningItems.Add(-1)
		defer w.running.Add(-1)
		p.run(ctx, w, index)
	})
	return true
}

// run runs one item and records its result or schedules a retry.
func (p *Processor) run(ctx context.Context, w *worklist, index uint32) {
	it, err := p.item(ctx, w.job, index)
	p.shared.Starting.Add(-1)
	if err != nil {
		p.endFailed(w, index, "", reject.UnreadableInput(err), p.decideRetry(w, index, reject.UnreadableInput(err)))
		return
	}
	r := item.Request(w.job, index, it, p.shared.Now().Add(p.shared.ItemTimeout))
	result, text, err := p.shared.Runner.RunItem(ctx, r)
	if err != nil {
		refusal := sardinerock.AsRefusal(err)
		p.endFailed(w, index, it.GetCustomId(), refusal, p.decideRetry(w, index, refusal))
		return
	}
	body := item.ResponseBody(r, result, text)
	if len(body) > item.MaxBytes {
		refusal := &sardinerock.Refusal{Code: sardinerock.CodeBodyTooLarge, Outcome: sardinerock.OutcomeRan, Message: "the answer is too large to be kept"}
		p.endFailed(w, index, it.GetCustomId(), refusal, queue.Decision{})
		return
	}
	p.recordSuccess(w, index, &shard.ItemDone{Index: index, CustomId: it.GetCustomId(), Body: body}, result)
}

// item reads an item's input from the log.
func (p *Processor) item(ctx context.Context, j *shard.Job, index uint32) (*shard.Item, error) {
	p.Lock()
	at, ok := j.Chunk(index)
	p.Unlock()
	if !ok {
		return nil, sardinerock.ErrNotFound
	}
	return p.shared.Reader.Item(ctx, p.Stream, at, index)
}

// decideRetry decides whether a refused item is retried.
func (p *Processor) decideRetry(w *worklist, index uint32, refusal *sardinerock.Refusal) queue.Decision {
	p.Lock()
	defer p.Unlock()
	w.notRunCount[index]++
	return queue.Decide(refusal, queue.Attempts{
		Failed: max(w.job.Failures[index], w.failedAttempts[index]), NotRun: w.notRunCount[index], Due: w.job.Due, Now: p.shared.Now(), Max: limits.MaxAttempts(p.shared.Config),
	})
}

// recordSuccess buffers the result of an item, unless the shard was lost or the job ended.
func (p *Processor) recordSuccess(w *worklist, index uint32, done *shard.ItemDone, result sardinerock.Result) {
	p.Lock()
	defer p.Unlock()
	if p.worklists[w.job.Number] != w || !p.Owns() {
		return
	}
	p.shared.queue.UpdateCost(w.queueEntry, float64(result.PromptTokens+result.CompletionTokens))
	p.results.Add(buffer.Outcome{Job: w.job.Number, Index: index, Done: done})
	p.itemEnded()
}

// endFailed schedules a retry of a refused item or buffers its failure, unless the shard was lost or the job ended.
func (p *Processor) endFailed(w *worklist, index uint32, customID string, refusal *sardinerock.Refusal, d queue.Decision) {
	p.Lock()
	defer p.Unlock()
	if p.worklists[w.job.Number] != w || !p.Owns() {
		return
	}
	if !d.Retry {
		p.shared.Events.Warn(event.ItemFailed).Str("job", w.job.ID).Int("item", int(index)).
			Str("code", string(refusal.Code)).Str("reason", refusal.Message).Msg("item failed and is not retried")
		p.results.Add(buffer.Outcome{Job: w.job.Number, Index: index, Done: item.FailureResult(index, customID, refusal)})
		p.itemEnded()
		return
	}
	if d.CountAttempt {
		// Counted here at once, and in the log for the next owner.
		w.failedAttempts[index] = max(w.job.Failures[index], w.failedAttempts[index]) + 1
		p.results.Add(buffer.Outcome{Job: w.job.Number, Index: index, Failure: true})
	}
	delete(w.inFlight, index)
	w.cursor.RetryAt(index, p.shared.Now().Add(d.Wait))
	p.itemEnded()
}

// itemEnded wakes the dispatcher for the free slot, and the writer if results are ready; the lock is held.
func (p *Processor) itemEnded() {
	if p.results.ReadyLocked() {
		p.Writer.Wake()
	}
	p.shared.WakeDispatcher()
}

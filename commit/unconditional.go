package commit

import (
	"context"
	"errors"
	"slices"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
)

// attemptUnconditionally plans the changes and appends them once, wherever the topic ends. Many
// entries record failures and results all the time. If their appends required a certain end of
// the topic, an entry that is slower than the others would find the end moved at each attempt,
// and its results would be delayed without bound.
//
// If the answer is lost, the same changes are appended again under names with another retry
// number, so that the second record doesn't replace the first one and thereby move it in the
// order.
func (a *Appender) attemptUnconditionally(ctx context.Context, batch []*pendingChange) ([]*pendingChange, error) {
	planned, records := a.plan(batch)
	if len(records) == 0 {
		answer(planned)
		return remainder(batch, planned), nil
	}
	end, err := a.append(ctx, func(ctx context.Context) (int64, error) { return a.Store.Append(ctx, a.Topic, records) })
	metrics.GetOrRegisterCounter("store.appends", a.Metrics).Inc(1)
	switch {
	case err == nil:
		a.answerOnceApplied(ctx, end, planned)
		return remainder(batch, planned), nil
	case errors.Is(err, sardinerock.ErrStoreRefused):
		return batch, err
	}
	for _, c := range planned {
		c.unanswered = true
		c.retries++
	}
	return batch, err
}

// answerOnceApplied answers the changes once the ledger contains their records, as callers act on
// its state next. If any of the changes isn't deferrable, the records are read at once.
func (a *Appender) answerOnceApplied(ctx context.Context, end int64, done []plannedChange) {
	if slices.ContainsFunc(done, func(c plannedChange) bool { return !c.deferrable }) {
		a.Follower.Wake()
	}
	go func() {
		// When the process stops, submit returns to the callers that still wait.
		if a.Follower.WaitFor(ctx, end) == nil {
			answer(done)
		}
	}()
}

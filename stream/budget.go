package stream

import (
	"context"

	"golang.org/x/time/rate"
)

// Budget limits the rate of this process's appends to its share of what the log
// service accepts.
//
// The log accepts a few hundred appends per second from the whole fleet. Each
// live entry uses an equal share. Without this, a fleet that grows from three
// entries to hundreds would overload the log, which would then refuse appends of
// all entries under the highest load.
type Budget struct {
	limiter *rate.Limiter
	total   float64
}

// NewBudget returns a budget of total appends per second, the share of a single
// live process; see SetProcesses.
func NewBudget(total float64) *Budget {
	return &Budget{total: total, limiter: rate.NewLimiter(rate.Limit(total), appendBurst)}
}

// appendBurst allows a claim, a cancellation and an acceptance at once after an idle time.
const appendBurst = 4

// SetProcesses divides the total rate by the number of live processes.
func (b *Budget) SetProcesses(live int) {
	b.limiter.SetLimit(rate.Limit(b.total / float64(max(live, 1))))
}

// Wait blocks until one more append is within the budget. A nil Budget does not block.
func (b *Budget) Wait(ctx context.Context) error {
	if b == nil {
		return ctx.Err()
	}
	return b.limiter.Wait(ctx)
}

package retry

import (
	"math"
	"time"
)

const (
	// budgetRatio is the number of retries that each request adds to the budget.
	budgetRatio = 0.2
	// budgetWindow is the time constant at which the budget's limit decays. With
	// the ratio it allows retries for six seconds of requests at once, which are as
	// many as are in flight with answers of that length. An entry prefers its own
	// availability zone and has to retry nearly all of them when the zone fails;
	// with a window of ten seconds half of them were given up.
	budgetWindow = 30 * time.Second
	// budgetRefillRate is the number of retries per second added without any requests.
	budgetRefillRate = 2
	// budgetReserve is the limit of an idle entry, so that a crash of a backend
	// server does not fail its few requests.
	budgetReserve = 10
)

// Budget limits an entry's retries to a fraction of its requests; its zero value
// is ready to use.
//
// Load pattern: retry storm. When the fleet is overloaded or half of it has
// failed, immediate retries make up most of the load and keep the fleet
// overloaded after the cause has ended. With the budget the load including
// retries stays below 1.2 times the load without.
type Budget struct {
	tokens float64
	// earned is the sum of budgetRatio over past requests, with exponential decay.
	earned  float64
	updated time.Time
}

// Request counts a new request, which adds budgetRatio to the budget.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.earned += budgetRatio
	b.tokens = min(b.tokens+budgetRatio, b.limit())
}

// Spend takes one retry from the budget; it returns false if none is left.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) limit() float64 {
	return b.earned + budgetReserve
}

func (b *Budget) refill(now time.Time) {
	if b.updated.IsZero() {
		b.tokens = budgetReserve
		b.updated = now
		return
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.earned *= math.Exp(-elapsed.Seconds() / budgetWindow.Seconds())
	b.tokens = min(b.tokens+budgetRefillRate*elapsed.Seconds(), b.limit())
}

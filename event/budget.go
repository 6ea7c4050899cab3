package event

import (
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// ordinaryRate limits debug and info lines, in lines per second. It is twice what
	// an entry writes in a burst: three lines a request at 40 requests/s, and as many
	// for batch items.
	ordinaryRate = 500
	// failureRate limits warnings and errors, in lines per second. They have a limit of
	// their own so that ordinary lines can't crowd out those that explain a failure.
	failureRate = 300
)

// Budget limits the rate of the lines that a logger writes. Lines over the limit are
// dropped and counted, and the next line written is preceded by one with that count.
type Budget struct {
	ordinary, failures *rate.Limiter
	// dropped counts the lines dropped since the start, unreported those that no
	// LinesDropped event has reported yet.
	dropped, unreported atomic.Int64
}

// NewBudget returns the budget of a process that serves callers.
func NewBudget() *Budget {
	return &Budget{
		ordinary: rate.NewLimiter(ordinaryRate, 2*ordinaryRate),
		failures: rate.NewLimiter(failureRate, 2*failureRate),
	}
}

// Dropped returns the number of lines dropped since the start.
func (b *Budget) Dropped() int64 { return b.dropped.Load() }

func (b *Budget) allow(level log.Level) bool {
	limiter := b.ordinary
	if level >= log.WarnLevel {
		limiter = b.failures
	}
	if limiter.Allow() {
		return true
	}
	b.dropped.Add(1)
	b.unreported.Add(1)
	return false
}

// takeUnreported returns the number of unreported dropped lines and resets it to 0.
func (b *Budget) takeUnreported() int64 {
	if b.unreported.Load() == 0 {
		return 0
	}
	return b.unreported.Swap(0)
}

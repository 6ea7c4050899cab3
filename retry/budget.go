package retry

import (
	"math"
	"time"
)

const (
	// budgetRatio is the part of requests that may be retried: a lost
	// availability zone of three cuts a third of what is in flight, which is
	// about a sixth of the requests of the last ten seconds when answers take
	// five.
	budgetRatio = 0.2
	// budgetWindow is how long unspent budget lasts.
	budgetWindow = 10 * time.Second
	// budgetFloor is the retries per second that even an idle entry has.
	budgetFloor = 5
)

// Budget bounds an entry's retries by a part of its requests; its zero value is ready.
//
// Load pattern: retry storm. When the fleet is overloaded or half lost, each
// refusal is tried again at once, the retries are the greater part of the load,
// and the fleet stays overloaded after the cause is gone. With a budget the
// load with retries stays under 1.2 times that without.
type Budget struct {
	level float64
	size  float64
	at    time.Time
}

// Request counts a new request, which earns a part of a retry.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.size += budgetRatio
	b.level = min(b.level+budgetRatio, b.limit())
}

// Spend takes one retry, or returns false if none is left.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (b *Budget) limit() float64 {
	return max(b.size, budgetFloor)
}

func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.level = budgetFloor
		b.at = now
		return
	}
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	b.at = now
	b.size *= math.Exp(-passed.Seconds() / budgetWindow.Seconds())
	b.level = min(b.level+budgetFloor*passed.Seconds(), b.limit())
}

package retry

import (
	"math"
	"time"
)

const (
	// budgetRatio is the part of requests that may be retried over time.
	budgetRatio = 0.2
	// budgetWindow is how long unspent budget lasts. With the ratio it allows
	// for six seconds of requests at once: as many as are in flight when answers
	// take that long, for an entry prefers its own availability zone, and when
	// that is lost nearly all of them have to go elsewhere. With ten seconds
	// half of them were given up.
	budgetWindow = 30 * time.Second
	// budgetFloor is the retries per second that even an idle entry has.
	budgetFloor = 2
	// budgetIdle is what an idle entry has saved up: a backend server that dies
	// under its few requests must not end them.
	budgetIdle = 10
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
	return b.size + budgetIdle
}

func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.level = budgetIdle
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

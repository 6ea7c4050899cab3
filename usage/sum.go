package usage

import (
	"math"
	"time"
)

// Window is the decay time of what teams have used. It is about the period of recurring
// bursts, so that a team's use in one burst still counts in the next one.
const Window = 5 * time.Second

// Sum is an amount that decays exponentially; its zero value is 0. The same decay time has
// to be passed to all calls.
type Sum struct {
	value float64
	at    time.Time
}

// Add adds an amount, which may be negative.
func (s *Sum) Add(amount float64, now time.Time, decay time.Duration) {
	s.value = max(s.Value(now, decay)+amount, 0)
	s.at = now
}

// Value returns what is left at the given time.
func (s *Sum) Value(now time.Time, decay time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-max(now.Sub(s.at), 0).Seconds()/decay.Seconds())
}

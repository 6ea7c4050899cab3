package adapt

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// slotWindow is the time between two changes of the number of slots. A change must show in the
	// first tokens before the next one, or the number oscillates between the bounds.
	slotWindow = time.Second
	// slotDecrease is the factor applied after a window with too many late observations.
	slotDecrease = 0.85
	// slotMinSamples is the least number of observations for a decrease.
	slotMinSamples = 4
	// maxLateShare is the share of observations per window that may exceed the target: the users
	// require 95 in 100 within it.
	maxLateShare = 0.05
)

// Slots adapts the number of concurrent streams.
//
// Load pattern: saturation, and engines whose capacity differs from the bundle's. With too many
// streams every first token and every gap is late; with too few the engine is idle while work
// waits. So the number grows by one per window in which all slots were in use, and shrinks by a
// factor if online work misses its targets.
type Slots struct {
	// value is the number of slots before rounding; 0 until Adapt has known the bounds.
	value        float64
	windowEnd    time.Time
	observations int
	late         int
	allUsed      bool

	limits sardinerock.GateLimits
}

// Count returns the current number of slots, within the bounds.
func (c *Slots) Count(l sardinerock.GateLimits) int {
	low := max(l.MinSlots, 1)
	high := max(l.MaxSlots, low)
	if c.value == 0 {
		return high
	}
	return min(max(int(c.value), low), high)
}

// ObserveFirstToken records the time from the start of online work to its first token.
func (c *Slots) ObserveFirstToken(d time.Duration) {
	c.observe(d, c.limits.FirstTokenTarget)
}

// ObserveTokenGap records the time between two tokens of online work.
func (c *Slots) ObserveTokenGap(d time.Duration) {
	c.observe(d, c.limits.TokenGapTarget)
}

func (c *Slots) observe(d, target time.Duration) {
	if target <= 0 {
		return
	}
	c.observations++
	if d > target {
		c.late++
	}
}

// Adapt changes the number of slots once per window; busy is the number in use.
func (c *Slots) Adapt(now time.Time, l sardinerock.GateLimits, busy int) {
	// There are no bounds until the first bundle. Treating them as bounds of one would start
	// with one slot and add only one per second afterwards.
	if l.MaxSlots == 0 {
		return
	}
	c.limits = l
	if c.value == 0 {
		c.value = float64(c.Count(l))
	}
	c.allUsed = c.allUsed || busy >= c.Count(l)
	if now.Before(c.windowEnd) {
		return
	}
	c.windowEnd = now.Add(slotWindow)
	switch {
	case c.observations >= slotMinSamples && float64(c.late) > maxLateShare*float64(c.observations):
		c.value *= slotDecrease
	case c.allUsed:
		c.value++
	}
	low := float64(max(l.MinSlots, 1))
	c.value = min(max(c.value, low), max(float64(l.MaxSlots), low))
	c.observations, c.late, c.allUsed = 0, 0, false
}

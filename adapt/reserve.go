package adapt

import (
	"math"
	"time"
)

const (
	// burstWindow is the time within which arrivals count as one burst: about the time that an
	// engine needs to stop preempted batch streams.
	burstWindow = 250 * time.Millisecond
	// burstDecay is the time constant with which the observed peak decays. Idle capacity lasts only
	// seconds, so a longer memory would keep slots idle for nothing.
	burstDecay = 20 * time.Second
	// maxReserveShare limits the reserve to a share of the slots. Larger bursts preempt batch work.
	maxReserveShare = 0.125
)

// Reserve computes how many slots to keep free of batch work for the next burst.
//
// Load pattern: bursts of online work while batch work fills the slots. Without a reserve
// every burst has to preempt, which discards work and delays the first online tokens until the
// engine has cancelled. With a fixed reserve those slots would be idle all night.
type Reserve struct {
	// peak is the largest increase of the demand within a window, decaying over time.
	peak        float64
	observedAt  time.Time
	windowStart time.Time
	// low is the lowest demand in the current window.
	low    int
	demand int
}

// Observe records the online demand, running plus queued, at a point in time.
func (r *Reserve) Observe(now time.Time, demand int) {
	if now.Sub(r.windowStart) >= burstWindow {
		r.windowStart = now
		r.low = r.demand
	}
	r.low = min(r.low, demand)
	r.demand = demand
	if !r.observedAt.IsZero() {
		r.peak *= math.Exp(-now.Sub(r.observedAt).Seconds() / burstDecay.Seconds())
	}
	r.observedAt = now
	r.peak = max(r.peak, float64(demand-r.low))
}

// Slots returns how many of the total slots to keep free.
func (r *Reserve) Slots(total int) int {
	return min(int(math.Round(r.peak)), int(maxReserveShare*float64(total)))
}

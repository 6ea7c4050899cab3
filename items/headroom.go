package items

import "time"

const (
	// rangeDecay is the time in which a learned peak or trough approaches the present number of
	// online requests to 1/e. Bursts recur every few seconds, and a lull of 3 s changes it by a seventh.
	rangeDecay = 20 * time.Second
	// headroomShare is the share of all slots that items leave free at most. A burst that nearly
	// doubles the online requests takes a twelfth of all slots within the age of a view.
	headroomShare = 1.0 / 16
	// reservedHeadroomShare is the same where slots are reserved by right. There items start only in slots
	// that online requests have left for a while (rights.ItemDelay), so that the headroom only has to
	// cover the first requests of a burst; more would make items late.
	reservedHeadroomShare = 1.0 / 64
)

// Headroom decides how many slots of a service items leave free for online requests. The zero value
// has observed nothing and leaves none free.
//
// It is designed for bursts of online requests that recur every few seconds and fill four fifths of
// the slots, while batch items wait for the rest. If items took each slot that a request frees during
// a burst, the next request would find none and preempt one; each freed slot would change hands twice,
// and the items that were started before the burst would be preempted one after the other. Where the
// number of online requests doesn't vary there is nothing to keep slots free for.
type Headroom struct {
	peak, trough float64
	observedAt   time.Time
}

// Observe adds the present number of online requests of all entries.
func (h *Headroom) Observe(online int, now time.Time) {
	current := float64(online)
	if h.observedAt.IsZero() {
		h.peak, h.trough = current, current
	} else {
		weight := min(max(now.Sub(h.observedAt).Seconds()/rangeDecay.Seconds(), 0), 1)
		h.peak -= weight * (h.peak - current)
		h.trough += weight * (current - h.trough)
	}
	h.observedAt = now
	h.peak, h.trough = max(h.peak, current), min(h.trough, current)
}

// Peak returns the learned peak of online requests.
func (h *Headroom) Peak() int { return int(h.peak) }

// Trough returns the learned minimum of online requests.
func (h *Headroom) Trough() int { return int(h.trough) }

// Slots returns how many of a number of slots items leave free: what online requests may take until
// this entry learns of it, but not more than the difference between the peak and the trough. reserved
// is set if slots are reserved by right.
func (h *Headroom) Slots(slots int, reserved bool) int {
	share := headroomShare
	if reserved {
		share = reservedHeadroomShare
	}
	return int(min(h.peak-h.trough, share*float64(slots)))
}

package items

import (
	"math"
	"math/rand/v2"
	"time"
)

// Pacer limits how many items this entry starts while it can't see what other entries start. When
// a burst ends, fifty slots may become free on all backend servers at once while every entry has
// waiting items. If each entry used all slots that it sees, thirty entries would start a thousand
// items in fifty slots, abort nearly all of them, and start them again.
type Pacer struct {
	// ViewAge returns the maximum age of the counts received from other entries.
	ViewAge func() time.Duration
	Random  *rand.Rand

	intervalStart time.Time
	remaining     int
}

const (
	// minInterval is the minimum time in which an entry uses its share of the free slots. Even if
	// counts are newer, a started item takes a round trip to appear in them, and a burst that
	// takes the slots back lasts at least that long.
	minInterval = 100 * time.Millisecond
	// freeShare is the fraction of the free slots that all entries together use within one
	// interval. One half leaves room for online requests that arrive meanwhile, and still fills
	// nine slots in ten within four intervals.
	freeShare = 0.5
	// reservedShare is the same fraction where slots are reserved first: a slot that was taken
	// meanwhile costs a reservation request there, not a run.
	reservedShare = 1.0
)

// Allow returns how many items may start now: this entry's share of the free slots, in proportion
// to its own part of all waiting items. reserved means that a slot is reserved before an item is
// sent.
func (p *Pacer) Allow(free, own, others int, reserved bool, now time.Time) int {
	if now.Sub(p.intervalStart) >= max(p.ViewAge(), minInterval) {
		p.intervalStart = now
		fraction := freeShare
		if reserved {
			fraction = reservedShare
		}
		share := fraction * float64(free) * float64(own) / float64(max(own+others, 1))
		whole := math.Floor(share)
		// Round up with a probability equal to the fraction; otherwise entries with few items
		// would never start one.
		if p.Random.Float64() < share-whole {
			whole++
		}
		p.remaining = int(whole)
	}
	return min(p.remaining, free)
}

// RecordStart counts an item that was started against the limit.
func (p *Pacer) RecordStart() { p.remaining-- }

const (
	// onlineReserve is the number of slots that stay free on each backend server for the next
	// online request.
	onlineReserve = 1
	// urgentAge is the fraction of a job's completion time after which its items use these slots
	// too: a run takes a quarter of that time, and half of it with interruptions.
	urgentAge = 0.35
)

// SlotReserve returns how many slots of a backend server an item must leave free. If all items
// took these slots, online requests would find none at the start of a burst. But where bursts
// leave batch items little more than they need, one slot on each backend server is a seventh of
// all, and items would be late without it; so old items may use it. Where slots are reserved
// first, online requests find free slots on any backend server, and none has to stay free.
func SlotReserve(reserved bool, age, completion time.Duration) int {
	if reserved || float64(age) > urgentAge*float64(completion) {
		return 0
	}
	return onlineReserve
}

package rights

import (
	"math"
	"time"
)

const (
	// initialHolders is how many entries on average may ask for a free slot at once. With fewer, slots
	// stay idle while requests wait; with more, the refusals rise and no more requests are in time.
	initialHolders = 2.5
	// initialPreempters is the same for a slot of which the batch item has to be preempted. One
	// that was preempted in vain has to read its prompt again.
	initialPreempters = 1.5
	// patientGrowth is the growth up to which a request doesn't preempt an item while slots are free to which it
	// has no right yet. With a target of 300 ms it is reached after 14 ms, one poll; after two or more, in
	// the simulation, slots are idle for a fifth to a third longer while requests wait.
	patientGrowth = 0.009
	// risingShare is the share of all slots by which the online requests grow within the age of a view
	// at the beginning of a burst; one that nearly fills the slots within half a second takes 7 %.
	risingShare = 0.04
	// growthPart is the part of its target within which a request gets a right to every slot. The rest
	// is for the reservation and for the response to start.
	growthPart = 0.5
	// settleTime is the time after a slot has become visible as free within which the rights to it
	// grow. The first holders need a poll of 15 ms and a round trip to take it.
	settleTime = 25 * time.Millisecond
	// ItemDelay is how long a slot must have been visible as free before a batch item takes it. By
	// then the rights of waiting requests with a target of 300 ms have grown to all slots.
	ItemDelay = 150 * time.Millisecond
	// scarceFactor is the number of free slots, for each request that all entries together start within
	// the age of their views, below which slots are scarce. With more, two entries rarely ask for the same.
	scarceFactor = 3
	// ampleFactor is the number from which on they are ample again.
	ampleFactor = 4.5
)

// Scarce reports whether the slots of a service are scarce, given whether they were. free is the number
// of free slots, starts how many requests all entries start within the age of their views.
//
// It is designed for streams that arrive in bursts of nearly twice the mean rate every five seconds. In
// a burst thirty entries whose views are 100 ms old know of the same few free slots; in between there
// are many for each request, and rights would only delay it.
func Scarce(was bool, free int, starts float64) bool {
	factor := float64(scarceFactor)
	if was {
		factor = ampleFactor
	}
	return float64(free) < factor*starts
}

// Request is a request that waits for a slot.
type Request struct {
	// Waited is how long its caller has waited, Target the time within which it has to reach a slot;
	// if it isn't above 0, the request can't wait.
	Waited, Target time.Duration
}

// Growth returns how far the request's rights have grown: from 0 to 1, at which it has a right to every slot.
func (r Request) Growth() float64 {
	half := growthPart * float64(r.Target)
	if half <= 0 || float64(r.Waited) >= half {
		return 1
	}
	return square(max(float64(r.Waited), 0) / half)
}

// WaitsForFree reports whether a request whose rights have grown by growth waits for a free slot rather than
// to preempt a batch item. rising is the result of Rising.
//
// It is designed for the time after the beginning of a burst, when each request that ends frees a slot
// for the next. Preemptions for requests that wait for a moment would interrupt all items one by one. At the
// beginning the slots are needed anyway, and requests that wait for the few free ones would be refused.
func WaitsForFree(growth float64, rising bool) bool { return !rising && growth < patientGrowth }

// Rising reports whether a burst begins. before and now are the online requests of all entries
// at two times that are the age of a view apart.
func Rising(before, now, slots int) bool { return float64(now-before) > risingShare*float64(slots) }

// Settled bounds the growth of the rights to a slot that has been visible as free for a time. At
// first only the initial holders ask for it. Otherwise, in a burst beyond all slots, all
// entries would ask at once for the slot that one of them reports.
func Settled(growth float64, visible time.Duration) float64 {
	return min(growth, square(float64(visible)/float64(settleTime)))
}

// square shapes the growth: most requests reach a slot by an early right, and the few that are about to
// be late reach any.
func square(x float64) float64 { return x * x }

// Level returns how many entries on average may ask for a slot for a request whose rights have grown by
// growth. It is infinite if all may. If a batch item has to be preempted there, preempt is set.
//
// It is designed for entries that don't use their rights: one that is lost, paused or cut off, or one
// to which fewer requests come. The requests with the least time left reach such slots first, at
// whichever entry they wait, and no slot stays idle for longer than half of a target.
func Level(growth float64, entries int, preempt bool) float64 {
	level := float64(initialHolders)
	if preempt {
		level = initialPreempters
	}
	if growth >= 1 || level >= float64(entries) {
		return math.Inf(1)
	}
	return level + float64(entries)*growth
}

// Division is this entry's part in a division of the free slots. It holds for a period of
// about the age of the views; with the next one, other slots belong to the entry.
type Division struct {
	seed uint64
	// part is the entry's part of the slots.
	part float64
	// Entries is the number of entries, this one included.
	Entries int
}

// NewDivision returns the division of a period at the entry with the given hash. own and all are
// the online requests that it and all entries run.
//
// It is designed for entries whose demand differs by a factor of four. Half of the slots are divided by
// the requests that they run, half equally: what an entry runs is what it got, not what it needs. By that
// alone, in a burst beyond all slots the entries with few requests would get fewer and fewer.
func NewDivision(entry uint32, period int64, own, all, entries int) Division {
	part := 1 / float64(entries)
	if all > 0 {
		part = (part + float64(own)/float64(all)) / 2
	}
	return Division{seed: mix(uint64(entry)<<32 ^ uint64(period)), part: part, Entries: entries}
}

// Holds reports whether this entry may ask for a slot of a backend server if level entries on average may.
//
// It is designed for bursts that need nine in ten slots or more, at thirty entries whose views are 100 ms
// old. If each asked for any slot that it takes to be free, a slot would be asked for by ten of them.
// Each entry decides from its own part alone: the entries need neither the same
// view nor the same time. For that, a slot may have several holders, or none until the level has grown.
func (d *Division) Holds(server uint32, slot int, level float64) bool {
	if d.Entries <= 1 {
		return true
	}
	return exponential[mix(d.seed^uint64(server)<<8^uint64(slot))>>(64-exponentialBits)] <= level*d.part
}

// exponentialBits is the resolution of exponential. The smallest part of 500 entries is some steps, so that
// each entry holds its part.
const exponentialBits = 12

// exponential holds quantiles of the exponential distribution. If each entry compares one of them
// with level times its part, the number of holders of a slot has the mean level.
var exponential = func() (quantiles [1 << exponentialBits]float64) {
	for n := range quantiles {
		quantiles[n] = -math.Log((float64(n) + 0.5) / float64(len(quantiles)))
	}
	return quantiles
}()

// mix returns a hash in which each bit depends on all bits of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

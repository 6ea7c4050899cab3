package admit

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// holderMemory is how long a caller counts as active after its last request.
	holderMemory = 10 * time.Second
	// majority is the part of the slots above which a caller leaves some free.
	majority = 0.5
	// majorityRoom is the part of the slots that it leaves free.
	majorityRoom = 0.125
)

// holders counts the slots that each caller holds.
//
// Load pattern: one caller takes most of the load. The fair order gives the
// next free slot to whoever was served least, but with 16 answers of three
// seconds a slot comes free only every fifth of a second, and late when they
// are long: the others' first tokens wait for it. So a caller with more than
// half of the slots leaves an eighth of them free as long as others are active
// too, and their requests start at once.
type holders struct {
	byCaller map[string]*holder
	swept    time.Time
}

type holder struct {
	running int
	seen    time.Time
}

func (h *holders) arrived(now time.Time, caller string) {
	h.of(caller).seen = now
	if now.Sub(h.swept) < holderMemory {
		return
	}
	h.swept = now
	for name, c := range h.byCaller {
		if c.running == 0 && now.Sub(c.seen) > holderMemory {
			delete(h.byCaller, name)
		}
	}
}

func (h *holders) of(caller string) *holder {
	if h.byCaller == nil {
		h.byCaller = make(map[string]*holder)
	}
	c := h.byCaller[caller]
	if c == nil {
		c = &holder{}
		h.byCaller[caller] = c
	}
	return c
}

// slotsFor is how many online streams may run for the caller's next one to start.
func (h *holders) slotsFor(now time.Time, caller string, slots int) int {
	if float64(h.of(caller).running) < majority*float64(slots) || !h.othersActive(now, caller) {
		return slots
	}
	return slots - int(majorityRoom*float64(slots))
}

// othersActive looks at two callers at most: sweep keeps only those seen lately.
func (h *holders) othersActive(now time.Time, caller string) bool {
	for name, c := range h.byCaller {
		if name != caller && now.Sub(c.seen) <= 2*holderMemory {
			return true
		}
	}
	return false
}

// mayStart tells whether the caller's next online work finds a slot.
func (g *Gate) mayStart(now time.Time, w *sardinerock.Work) bool {
	if g.alone.holds(now) {
		return false
	}
	return g.online < g.holders.slotsFor(now, w.Caller, g.slots.count(g.Limits))
}

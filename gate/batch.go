package gate

import (
	"container/heap"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/sched"
)

const (
	// maxBatchWait bounds how long a batch item waits at one gate. It is long
	// enough to fill the slot of the next item that finishes, and short enough
	// that an item does not wait at a busy backend server while another is idle.
	maxBatchWait = 2 * time.Second
	// minBatchQueue is the least length of the batch queue: a freed slot is
	// filled without a round trip to an entry.
	minBatchQueue = 1
	// slotsPerQueuedItem allows one more queued item per this many slots.
	slotsPerQueuedItem = 8
	// batchRetryAfter is the retry delay for an entry that sent more than its credit.
	batchRetryAfter = time.Second
)

// batchQueue holds the batch items that wait at the gate, in order of arrival.
type batchQueue struct {
	items []queuedWork
}

type queuedWork struct {
	work    sardinerock.Work
	offered time.Time
}

func (q *batchQueue) len() int { return len(q.items) }

func (q *batchQueue) remove(attempt string) {
	q.items = slices.DeleteFunc(q.items, func(b queuedWork) bool { return b.work.Attempt == attempt })
}

func (q *batchQueue) takeAll() []queuedWork {
	all := q.items
	q.items = nil
	return all
}

func (g *Gate) offerBatch(now time.Time, w sardinerock.Work) {
	if g.backlog.len() >= g.batchQueueLimit()+max(0, g.freeBatchSlots()) {
		g.refuse(w.Attempt, &sardinerock.Refusal{
			Code: sardinerock.CodeOverloaded, Message: "no idle slot for batch work",
			Outcome: sardinerock.OutcomeNotRun, RetryAfter: batchRetryAfter,
		})
		return
	}
	g.backlog.items = append(g.backlog.items, queuedWork{work: w, offered: now})
}

// startBatch fills idle slots and refuses items that have waited longer than maxBatchWait.
func (g *Gate) startBatch(now time.Time) {
	for g.backlog.len() > 0 {
		next := g.backlog.items[0]
		switch {
		case g.freeBatchSlots() > 0 && g.prefill.Allows(g.online > 0):
			g.backlog.items = g.backlog.items[1:]
			g.start(now, next.work, sched.Item{Cost: g.estimate.Cost(next.work)}, now.Sub(next.offered))
		case now.Sub(next.offered) > maxBatchWait:
			g.backlog.items = g.backlog.items[1:]
			g.refuse(next.work.Attempt, &sardinerock.Refusal{
				Code: sardinerock.CodeOverloaded, Message: "no slot became idle for batch work",
				Outcome: sardinerock.OutcomeNotRun, RetryAfter: batchRetryAfter,
			})
		default:
			return
		}
	}
}

// freeBatchSlots returns how many more batch streams may start now; it can be negative.
func (g *Gate) freeBatchSlots() int {
	if g.draining || g.queue.Len() > 0 || g.alone.pending() {
		return 0
	}
	slots := g.slots.Count(g.Limits)
	return slots - g.reserve.Slots(slots) - g.online - len(g.batch) - g.cancelling
}

// batchQueueLimit returns how many items may wait beyond those that have a free slot.
func (g *Gate) batchQueueLimit() int {
	return minBatchQueue + g.slots.Count(g.Limits)/slotsPerQueuedItem
}

// batchCredit returns how many more items entries may send now. It is 0 while
// online work or suspects wait, and while no batch stream runs and none may start.
func (g *Gate) batchCredit() int {
	if g.draining || g.queue.Len() > 0 || g.alone.pending() {
		return 0
	}
	room := g.freeBatchSlots()
	if room <= 0 && len(g.batch) == 0 {
		return 0
	}
	return max(0, max(room, 0)+g.batchQueueLimit()-g.backlog.len())
}

// waiterHeap is a heap of waiting online work, ordered by latest start.
type waiterHeap []*waiter

func (h *waiterHeap) push(x *waiter)   { heap.Push(h, x) }
func (h *waiterHeap) remove(x *waiter) { heap.Remove(h, x.index) }

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

package cursor

import (
	"container/heap"
	"time"

	"github.com/sardinerock/sardinerock/shard"
)

// Cursor iterates once over the open items of a job, and returns again to those that must be
// retried. It isn't safe for concurrent use.
type Cursor struct {
	Job *shard.Job
	// Position is the index of the first item that Next hasn't reached yet.
	Position uint32

	// retries holds the items to be retried, the earliest first.
	retries retryHeap
}

type retry struct {
	due   time.Time
	index uint32
}

type retryHeap []retry

func (h retryHeap) Len() int           { return len(h) }
func (h retryHeap) Less(a, b int) bool { return h[a].due.Before(h[b].due) }
func (h retryHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *retryHeap) Push(x any) { *h = append(*h, x.(retry)) }

// Pop implements heap.Interface.
func (h *retryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Next returns the index of the next item to start, or false if no item may start now. Due
// retries are returned before new items.
func (c *Cursor) Next(now time.Time) (uint32, bool) {
	for c.RetryDue(now) {
		index := heap.Pop(&c.retries).(retry).index
		if c.Job.Open(index) {
			return index, true
		}
	}
	for c.Position < c.Job.Total {
		index := c.Position
		c.Position++
		if c.Job.Open(index) {
			return index, true
		}
	}
	return 0, false
}

// RetryAt schedules a retry of an item that Next has returned.
func (c *Cursor) RetryAt(index uint32, at time.Time) {
	heap.Push(&c.retries, retry{due: at, index: index})
}

// RetryDue reports whether an item may be retried now.
func (c *Cursor) RetryDue(now time.Time) bool {
	return len(c.retries) > 0 && !c.retries[0].due.After(now)
}

// PendingRetries returns the number of scheduled retries.
func (c *Cursor) PendingRetries() int { return len(c.retries) }

// Exhausted reports whether no item is left to start or retry. A running item that fails may
// still be scheduled for a retry.
func (c *Cursor) Exhausted() bool { return c.Position >= c.Job.Total && len(c.retries) == 0 }

package jobs

import (
	"container/heap"
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock/limits"
	"github.com/sardinerock/sardinerock/queue"
	"github.com/sardinerock/sardinerock/shard"
)

// work is the dispatch of one running job; the part's mutex guards it.
type work struct {
	p   *part
	job *shard.Job
	// cursor is the first item that was never looked at.
	cursor  uint32
	retries retryHeap
	// inHand holds the items from their start until their result is read back from the log.
	inHand map[uint32]context.CancelFunc
	// notRun counts the refusals that say nothing about the item, for its waiting time.
	notRun map[uint32]int
	// failed counts failed attempts of this process; the log may not have them yet.
	failed map[uint32]uint32
	queued *queue.Job
	// running counts the items at the runner; it outlives the work itself, so
	// that a cancelled job is called stopped only once nothing of it runs.
	running atomic.Int64
}

type retry struct {
	at    time.Time
	index uint32
}

type retryHeap []retry

func (h retryHeap) Len() int           { return len(h) }
func (h retryHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }
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

// defaultCost stands for the tokens of an item until some of the job have run.
const defaultCost = 500

func (p *part) addWork(j *shard.Job) {
	w := &work{p: p, job: j, inHand: map[uint32]context.CancelFunc{}, notRun: map[uint32]int{}, failed: map[uint32]uint32{}}
	w.queued = &queue.Job{ID: j.ID, Share: limits.Share(p.m.Config, j.Caller), Due: j.Due, Cost: defaultCost}
	p.works[j.Number] = w
	p.m.enqueue(w)
}

// dropWork cancels what runs of the job and forgets it.
func (p *part) dropWork(w *work) {
	for _, cancel := range w.inHand {
		cancel()
	}
	delete(p.works, w.job.Number)
	p.m.dequeue(w)
}

func (m *Manager) enqueue(w *work) {
	m.queueMu.Lock()
	defer m.queueMu.Unlock()
	m.works[w.job.ID] = w
	m.queue.Put(w.queued)
}

func (m *Manager) dequeue(w *work) {
	m.queueMu.Lock()
	defer m.queueMu.Unlock()
	m.queue.Remove(w.job.ID)
	if m.works[w.job.ID] == w {
		delete(m.works, w.job.ID)
	}
}

// next takes the item that starts next, if one may start now.
func (w *work) next(now time.Time) (uint32, bool) {
	for len(w.retries) > 0 && !w.retries[0].at.After(now) {
		index := heap.Pop(&w.retries).(retry).index
		if w.job.Open(index) {
			return index, true
		}
	}
	for w.cursor < w.job.Total {
		index := w.cursor
		w.cursor++
		if w.job.Open(index) {
			return index, true
		}
	}
	return 0, false
}

// again puts the item back until at.
func (w *work) again(index uint32, at time.Time) {
	heap.Push(&w.retries, retry{at: at, index: index})
}

// settle lets go of the items whose result the log has.
func (w *work) settle() {
	for index := range w.inHand {
		if !w.job.Open(index) {
			w.inHand[index]()
			delete(w.inHand, index)
			delete(w.notRun, index)
			delete(w.failed, index)
		}
	}
}

// idle says that nothing of the job may start until something that runs ends.
func (w *work) idle() bool { return w.cursor >= w.job.Total && len(w.retries) == 0 }

// retryDue puts jobs back into the queue whose waiting items may start; the lock is held.
func (p *part) retryDue() {
	now := p.m.Now()
	for _, w := range p.works {
		if len(w.retries) > 0 && !w.retries[0].at.After(now) {
			p.m.enqueue(w)
		}
	}
}

// inHand counts the items that run or whose result is on its way to the log; the lock is held.
func (p *part) inHand() int {
	n := 0
	for _, w := range p.works {
		n += len(w.inHand)
	}
	return n
}

// cancelRunning stops all items of the shard; the lock is held.
func (p *part) cancelRunning() {
	for _, w := range p.works {
		for _, cancel := range w.inHand {
			cancel()
		}
	}
}

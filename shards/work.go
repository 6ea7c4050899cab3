package shards

import (
	"context"
	"sync/atomic"

	"github.com/sardinerock/sardinerock/cursor"
	"github.com/sardinerock/sardinerock/limits"
	"github.com/sardinerock/sardinerock/queue"
	"github.com/sardinerock/sardinerock/shard"
)

// worklist is the dispatch state of one running job; the processor's mutex guards it.
type worklist struct {
	p   *Processor
	job *shard.Job
	// cursor selects the next item to start.
	cursor cursor.Cursor
	// inFlight holds the items from their start until their result is read from the log, with the functions that
	// cancel them.
	inFlight map[uint32]context.CancelFunc
	// notRunCount holds the number of refusals by item; it determines the delay of the next retry.
	notRunCount map[uint32]int
	// failedAttempts holds the number of failed attempts by item, including those that are not in the log yet.
	failedAttempts map[uint32]uint32
	queueEntry     *queue.Job
	// running counts the running items. Processor.cancelling refers to it after the worklist is dropped, so that a
	// cancelled job is recorded as stopped only after its last item ended.
	running atomic.Int64
}

// defaultCost is the estimated number of tokens per item until items of the job have run.
const defaultCost = 500

// addWorklist starts to dispatch the job; the lock is held.
func (p *Processor) addWorklist(j *shard.Job) {
	w := &worklist{p: p, job: j, cursor: cursor.Cursor{Job: j}, inFlight: map[uint32]context.CancelFunc{}, notRunCount: map[uint32]int{}, failedAttempts: map[uint32]uint32{}}
	w.queueEntry = &queue.Job{ID: j.ID, Share: limits.Share(p.shared.Config, j.Caller), Due: j.Due, Cost: defaultCost}
	p.worklists[j.Number] = w
	p.shared.queue.Put(w.queueEntry, w)
}

// dropWorklist cancels the job's running items and stops dispatching it; the lock is held.
func (p *Processor) dropWorklist(w *worklist) {
	for _, cancel := range w.inFlight {
		cancel()
	}
	delete(p.worklists, w.job.Number)
	p.shared.queue.Drop(w.job.ID, w)
}

// removeRecorded removes the items whose result is in the log.
func (w *worklist) removeRecorded() {
	for index := range w.inFlight {
		if !w.job.Open(index) {
			w.inFlight[index]()
			delete(w.inFlight, index)
			delete(w.notRunCount, index)
			delete(w.failedAttempts, index)
		}
	}
}

// requeueRetries puts jobs with due retries back into the queue; the lock is held.
func (p *Processor) requeueRetries() {
	now := p.shared.Now()
	for _, w := range p.worklists {
		if w.cursor.RetryDue(now) {
			p.shared.queue.Put(w.queueEntry, w)
		}
	}
}

// inFlight returns the number of items that run or have a result that is not in the log yet; the lock is held.
func (p *Processor) inFlight() int {
	n := 0
	for _, w := range p.worklists {
		n += len(w.inFlight)
	}
	return n
}

// cancelRunning cancels all running items of the shard; the lock is held.
func (p *Processor) cancelRunning() {
	for _, w := range p.worklists {
		for _, cancel := range w.inFlight {
			cancel()
		}
	}
}

// allBuffered reports whether no item is left to start and every item in flight has its result in the buffer, so that
// waiting would add no result to the next append; the lock is held.
func (p *Processor) allBuffered() bool {
	inFlight := 0
	for _, w := range p.worklists {
		if !w.cursor.Exhausted() {
			return false
		}
		inFlight += len(w.inFlight)
	}
	return inFlight <= p.results.Len()
}

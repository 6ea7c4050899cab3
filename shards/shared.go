package shards

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/assign"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/record"
	"github.com/sardinerock/sardinerock/runq"
	"github.com/sardinerock/sardinerock/stream"
)

// Shared is the state that all processors of one entry share. The fields up to Reader are set before the first
// processor is created.
type Shared struct {
	Log    sardinerock.Log
	Runner sardinerock.BatchRunner
	Config sardinerock.ConfigSource
	// EntryID is the id of this entry as an owner.
	EntryID string
	Events  *event.Logger
	Now     func() time.Time
	// AppendsPerSecond is the whole fleet's limit on appends for batch jobs.
	AppendsPerSecond float64
	// Retention is the minimum time for which the log keeps records, CheckpointEvery the interval of checkpoints of a
	// shard with new records.
	Retention       time.Duration
	CheckpointEvery time.Duration
	// MaxUnrecorded bounds the results that are not in the log yet, ItemTimeout one attempt to run an item.
	MaxUnrecorded int
	ItemTimeout   time.Duration
	Budget        *stream.Budget
	Reader        *record.Reader

	// Base is the context of all background work; it is set before a processor is started.
	Base context.Context
	// Health tracks failures of the appends of all processors, Owners the entry that should own each shard.
	Health stream.Health
	Owners assign.Owners
	// Unrecorded counts results that are not in the log yet, RunningItems started items that have not ended, and
	// Starting those of them that have not reached the runner yet.
	Unrecorded, RunningItems, Starting atomic.Int64
	// RunGroup waits for the running items.
	RunGroup sync.WaitGroup
	// Stopping is set while the entry stops.
	Stopping atomic.Bool

	// queue has its own lock, which is locked after a processor's mutex.
	queue *runq.Queue[*worklist]
	wake  chan struct{}
}

// NewShared returns a Shared with its internal fields set; the caller sets the others.
func NewShared() *Shared {
	return &Shared{queue: runq.New[*worklist](), wake: make(chan struct{}, 1)}
}

// WakeDispatcher makes the dispatcher check for items to start.
func (s *Shared) WakeDispatcher() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// String returns the counts, for debugging.
func (s *Shared) String() string {
	return fmt.Sprintf("running %d, unrecorded %d, starting %d, queued jobs %d", s.RunningItems.Load(), s.Unrecorded.Load(), s.Starting.Load(), s.queue.Len())
}

// String returns this entry's view of the shard, for debugging.
func (p *Processor) String() string {
	p.Lock()
	defer p.Unlock()
	if p.State == nil {
		return fmt.Sprintf("shard %d: not read yet", p.ID)
	}
	text := fmt.Sprintf("shard %d: owner %q, epoch %d, own claim %d (%v), draining %v, appending %v, in flight %d, buffered %d, current %v",
		p.ID, p.State.Owner, p.State.Epoch, p.claimEpoch, p.hasClaim, p.ownership.Draining(), p.appending, p.inFlight(), p.results.Len(), p.Current())
	for n, w := range p.worklists {
		text += fmt.Sprintf("\n  job %d: cursor %d of %d, %d done, %d retries, %d in flight",
			n, w.cursor.Position, w.job.Total, w.job.Completed, w.cursor.PendingRetries(), len(w.inFlight))
	}
	return text
}

// NewID returns a random id for a writer, an upload or a checkpoint. It never uses a seed from the settings: two
// processes with the same seed would use the same ids, and folding would treat the records of the second process as
// duplicates of the first one's.
func NewID() uint64 { return rand.Uint64() | 1 }

// StreamName returns the name of a shard's stream.
func StreamName(shard int) string { return fmt.Sprintf("jobs-%d", shard) }

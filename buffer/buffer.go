package buffer

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock/item"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/stream"
)

const (
	// flushItems and flushBytes are the buffered amounts at which an append is made.
	// The aim is at most one append per 200 items.
	flushItems = 256
	flushBytes = 256 << 10
	// maxFetchItems bounds the outcomes in one append.
	maxFetchItems = 4096
	// MinLinger and maxLinger bound how long an outcome waits for others. Items
	// with waiting outcomes are run again if this entry fails, and the wait delays
	// the end of their job.
	MinLinger = time.Second
	maxLinger = 4 * time.Second
)

// Outcome is the result or failed attempt of one item that is not in the log yet.
type Outcome struct {
	Job  uint32
	Done *shard.ItemDone
	// Failure says that the attempt at item Index failed but the item did not end; Done is nil then.
	Failure bool
	Index   uint32
}

func (o *Outcome) size() int {
	if o.Failure {
		return item.Overhead
	}
	return len(o.Done.GetBody()) + len(o.Done.GetCustomId()) + item.Overhead
}

// Buffer holds a shard's outcomes until the log has acknowledged them; it
// implements stream.BulkSource. The exported fields are set before use.
type Buffer struct {
	// Locker is the shard's lock, which guards the buffer. Ready and Fetch lock it;
	// the functions below are called with it held, except Acked.
	sync.Locker
	Now func() time.Time
	// Owned returns the epoch of this entry's claim, the fencing token of the shard's records, or false if the shard
	// isn't owned.
	Owned func() (epoch int64, owned bool)
	// FlushNow reports whether outcomes must not wait for others, for example
	// because no running item could add one.
	FlushNow func() bool
	// Linger returns how long an outcome waits for others.
	Linger func() time.Duration
	// Unrecorded counts the outcomes of all shards of this entry.
	Unrecorded *atomic.Int64
	// Acked is called after each acknowledged append.
	Acked func()

	outcomes []Outcome
	bytes    int
	oldest   time.Time
	// inFlight counts the outcomes in unacknowledged appends.
	inFlight int
}

// Len returns the number of outcomes that are not acknowledged by the log. The
// caller holds the lock.
func (b *Buffer) Len() int { return len(b.outcomes) + b.inFlight }

// Add appends one outcome to the buffer. The caller holds the lock.
func (b *Buffer) Add(o Outcome) {
	if len(b.outcomes) == 0 {
		b.oldest = b.Now()
	}
	b.outcomes = append(b.outcomes, o)
	b.bytes += o.size()
	b.Unrecorded.Add(1)
}

// Clear drops the outcomes that are not in flight. The caller holds the lock.
func (b *Buffer) Clear() {
	b.Unrecorded.Add(-int64(len(b.outcomes)))
	b.outcomes, b.bytes = nil, 0
}

// LingerFor returns how long outcomes wait for others: twice the time that an
// entry needs for one append per owned shard, with its share of the fleet's
// appends per second, bounded by MinLinger and maxLinger.
func LingerFor(entries, shards int, appendsPerSecond float64) time.Duration {
	share := float64(entries) / appendsPerSecond
	wait := time.Duration(2 * share * float64(shards) * float64(time.Second))
	return min(max(wait, MinLinger), maxLinger)
}

// Ready reports whether the outcomes should be appended now: flushItems or
// flushBytes is reached, the oldest has waited for Linger, or FlushNow is set.
func (b *Buffer) Ready() bool {
	b.Lock()
	defer b.Unlock()
	return b.ReadyLocked()
}

// ReadyLocked is Ready for callers that hold the lock.
func (b *Buffer) ReadyLocked() bool {
	if len(b.outcomes) == 0 {
		return false
	}
	if len(b.outcomes) >= flushItems || b.bytes >= flushBytes {
		return true
	}
	return b.Now().Sub(b.oldest) >= b.Linger() || b.FlushNow()
}

// Fetch takes outcomes of at most maxBytes, but at least one, for one append. It
// drops all outcomes and returns nil if the shard isn't owned.
func (b *Buffer) Fetch(maxBytes int) *stream.Bulk {
	b.Lock()
	defer b.Unlock()
	epoch, owned := b.Owned()
	if !owned {
		b.Clear()
	}
	taken := b.takeLocked(maxBytes)
	if len(taken) == 0 {
		return nil
	}
	b.inFlight += len(taken)
	return &stream.Bulk{Records: records(taken, epoch), Acked: func(int64) { b.acked(len(taken)) }}
}

func (b *Buffer) takeLocked(maxBytes int) []Outcome {
	n := 0
	for n < len(b.outcomes) && n < maxFetchItems && (n == 0 || maxBytes >= b.outcomes[n].size()) {
		maxBytes -= b.outcomes[n].size()
		b.bytes -= b.outcomes[n].size()
		n++
	}
	taken := b.outcomes[:n:n]
	b.outcomes = b.outcomes[n:]
	if len(b.outcomes) == 0 {
		b.outcomes = nil
	}
	return taken
}

func (b *Buffer) acked(n int) {
	b.Lock()
	b.inFlight -= n
	b.Unlock()
	b.Unrecorded.Add(-int64(n))
	b.Acked()
}

// records encodes the outcomes as one record per job and kind, with the given epoch.
func records(all []Outcome, epoch int64) [][]byte {
	done := map[uint32]*shard.Done{}
	failures := map[uint32]*shard.Failures{}
	var order []*shard.Record
	for _, o := range all {
		switch {
		case o.Failure && failures[o.Job] == nil:
			failures[o.Job] = &shard.Failures{Epoch: epoch, Job: o.Job}
			order = append(order, &shard.Record{Kind: &shard.Record_Failures{Failures: failures[o.Job]}})
		case !o.Failure && done[o.Job] == nil:
			done[o.Job] = &shard.Done{Epoch: epoch, Job: o.Job}
			order = append(order, &shard.Record{Kind: &shard.Record_Done{Done: done[o.Job]}})
		}
		if o.Failure {
			failures[o.Job].Items = append(failures[o.Job].Items, o.Index)
		} else {
			done[o.Job].Items = append(done[o.Job].Items, o.Done)
		}
	}
	out := make([][]byte, 0, len(order))
	for _, r := range order {
		if data, err := proto.Marshal(r); err == nil {
			out = append(out, data)
		}
	}
	return out
}

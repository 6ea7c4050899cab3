package jobs

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock/item"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/stream"
)

const (
	// groupItems is when results are worth an append: the aim is at most one append per 200 items.
	groupItems = 256
	// maxGroupItems bounds the items of one record.
	maxGroupItems = 4096
	// lingerLeast and lingerMost bound how long a result waits for others. What
	// waits is run again if this entry is lost, and delays the end of its job.
	lingerLeast = time.Second
	lingerMost  = 4 * time.Second
)

// outcome is what came of one item and is not in the log yet.
type outcome struct {
	job  uint32
	done *shard.ItemDone
	// failure is set in place of done if the attempt only counts.
	failure bool
	index   uint32
}

// results is the bounded buffer of a shard's outcomes on their way to the log; the part's mutex guards it.
type results struct {
	p      *part
	all    []outcome
	bytes  int
	oldest time.Time
	// sent counts outcomes that are in an append under way.
	sent int
}

func (r *results) len() int { return len(r.all) + r.sent }

// add takes one outcome; the lock is held.
func (r *results) add(o outcome) {
	if len(r.all) == 0 {
		r.oldest = r.p.m.Now()
	}
	r.all = append(r.all, o)
	r.bytes += o.size()
	r.p.m.unrecorded.Add(1)
}

func (o *outcome) size() int {
	if o.failure {
		return item.Overhead
	}
	return len(o.done.GetBody()) + len(o.done.GetCustomId()) + item.Overhead
}

// clear forgets what is not under way; the lock is held.
func (r *results) clear() {
	r.p.m.unrecorded.Add(-int64(len(r.all)))
	r.all, r.bytes = nil, 0
}

// linger grows with what this entry asks of its share of the appends.
func (r *results) linger() time.Duration {
	m := r.p.m
	share := float64(m.owners.LiveCount()) / m.AppendsPerSecond
	wait := time.Duration(2 * share * float64(m.owners.OwnCount()) * float64(time.Second))
	return min(max(wait, lingerLeast), lingerMost)
}

// Ready says that the results are worth an append: there are many, they waited
// long, or nothing that could join them runs.
func (r *results) Ready() bool {
	r.p.Lock()
	defer r.p.Unlock()
	return r.ready()
}

func (r *results) ready() bool {
	if len(r.all) == 0 {
		return false
	}
	if len(r.all) >= groupItems || r.bytes >= defaultChunkBytes {
		return true
	}
	return r.p.m.handBack.Load() || r.p.m.Now().Sub(r.oldest) >= r.linger() || r.p.quiet()
}

// quiet says that the results in the buffer are all that the shard's items come to for now; the lock is held.
func (p *part) quiet() bool {
	hand := 0
	for _, w := range p.works {
		if !w.open.Idle() {
			return false
		}
		hand += len(w.inHand)
	}
	return hand <= p.results.len()
}

// Fetch takes results for one append, one record per job.
func (r *results) Fetch(maxBytes int) *stream.Bulk {
	r.p.Lock()
	defer r.p.Unlock()
	if !r.p.owns() {
		r.clear()
	}
	taken := r.takeLocked(maxBytes)
	if len(taken) == 0 {
		return nil
	}
	r.sent += len(taken)
	return &stream.Bulk{Records: r.p.records(taken), Acked: func(int64) { r.acked(len(taken)) }}
}

func (r *results) takeLocked(maxBytes int) []outcome {
	n := 0
	for n < len(r.all) && n < maxGroupItems && (n == 0 || maxBytes >= r.all[n].size()) {
		maxBytes -= r.all[n].size()
		r.bytes -= r.all[n].size()
		n++
	}
	taken := r.all[:n:n]
	r.all = r.all[n:]
	if len(r.all) == 0 {
		r.all = nil
	}
	return taken
}

func (r *results) acked(n int) {
	r.p.Lock()
	r.sent -= n
	r.p.Unlock()
	r.p.m.unrecorded.Add(-int64(n))
	r.p.m.poke()
}

// records puts outcomes into one record per job and kind.
func (p *part) records(all []outcome) [][]byte {
	done := map[uint32]*shard.Done{}
	failures := map[uint32]*shard.Failures{}
	var order []*shard.Record
	for _, o := range all {
		switch {
		case o.failure && failures[o.job] == nil:
			failures[o.job] = &shard.Failures{Epoch: p.mine, Job: o.job}
			order = append(order, &shard.Record{Kind: &shard.Record_Failures{Failures: failures[o.job]}})
		case !o.failure && done[o.job] == nil:
			done[o.job] = &shard.Done{Epoch: p.mine, Job: o.job}
			order = append(order, &shard.Record{Kind: &shard.Record_Done{Done: done[o.job]}})
		}
		if o.failure {
			failures[o.job].Items = append(failures[o.job].Items, o.index)
		} else {
			done[o.job].Items = append(done[o.job].Items, o.done)
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

package tally

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sardinerock/sardinerock/event"
)

const (
	// maxItems is the number of items that an entry keeps failures of; the ones used least recently are dropped.
	maxItems = 8192
	// askTimeout bounds the query to the other entries, which takes a round trip.
	askTimeout = 150 * time.Millisecond
)

// Failures is what is known of the failed runs of an item.
type Failures struct {
	// Count is the number of runs that ended with a failure.
	Count int
	// Rejected is set if a backend server has rejected the item for good.
	Rejected bool
}

func (f Failures) merge(other Failures) Failures {
	return Failures{Count: max(f.Count, other.Count), Rejected: f.Rejected || other.Rejected}
}

// itemID identifies an item of a job.
type itemID struct {
	job   string
	index int
}

// Tally holds the failed runs of items, own ones and those that other entries have reported.
type Tally struct {
	// Peers returns the entries that are notified of failed runs of a job's items, and queried for them.
	Peers func(job string) []string
	// Notify sends a message to an entry without waiting, Query sends one and returns the answer.
	Notify func(peer string, raw []byte)
	Query  func(ctx context.Context, peer string, raw []byte) ([]byte, error)
	Events *event.Logger

	mu    sync.Mutex
	known *simplelru.LRU[itemID, Failures]
}

// Prepare initializes the tally; it must be called once before any other method.
func (t *Tally) Prepare() {
	// The only error is that of a size that isn't positive.
	t.known, _ = simplelru.NewLRU[itemID, Failures](maxItems, nil)
}

// Report records the failures of an item and notifies the other entries. It returns once the messages are sent.
func (t *Tally) Report(job string, index int, f Failures) {
	t.add(job, index, f)
	raw, err := encode(&message{Job: job, Items: []entry{{Index: index, Count: f.Count, Rejected: f.Rejected}}})
	if err != nil {
		t.Events.Warn(event.FailuresAsked).Str("job", job).Err(err).Msg("failed run of an item could not be reported")
		return
	}
	for _, peer := range t.Peers(job) {
		t.Notify(peer, raw)
	}
}

// Known returns what this entry knows of the failures of an item.
func (t *Tally) Known(job string, index int) Failures {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, _ := t.known.Peek(itemID{job, index})
	return f
}

func (t *Tally) add(job string, index int, f Failures) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := itemID{job, index}
	known, _ := t.known.Get(id)
	t.known.Add(id, known.merge(f))
}

// Ask queries the other entries for the failures of a job's items. Entries that don't answer in time are left out.
func (t *Tally) Ask(ctx context.Context, job string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	raw, err := encode(&message{Job: job, Query: true})
	if err != nil {
		t.Events.Warn(event.FailuresAsked).Str("job", job).Err(err).Msg("other entries could not be asked for the failed runs of a job's items")
		return
	}
	begin, peers := time.Now(), t.Peers(job)
	var group sync.WaitGroup
	answers := make([]*message, len(peers))
	for n, peer := range peers {
		group.Go(func() {
			if answer, err := t.Query(ctx, peer, raw); err == nil {
				answers[n], _ = decode(answer)
			}
		})
	}
	group.Wait()
	answered, items := 0, 0
	for _, a := range answers {
		if a == nil || a.Job != job {
			continue
		}
		answered++
		items += len(a.Items)
		t.merge(a)
	}
	t.Events.Info(event.FailuresAsked).Str("job", job).Int("asked", len(peers)).Int("answered", answered).Int("items", items).
		Dur("took", time.Since(begin)).Msg("asked other entries for the failed runs of a job's items")
}

func (t *Tally) merge(m *message) {
	for _, i := range m.Items {
		t.add(m.Job, i.Index, Failures{Count: i.Count, Rejected: i.Rejected})
	}
}

// Answer handles a message of another entry. It returns the answer to a query, and nothing for a report.
func (t *Tally) Answer(raw []byte) ([]byte, error) {
	m, err := decode(raw)
	if err != nil {
		return nil, err
	}
	if !m.Query {
		t.merge(m)
		return nil, nil
	}
	reply := &message{Job: m.Job}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.known.Keys() {
		if id.job != m.Job || len(reply.Items) == maxReported {
			continue
		}
		f, _ := t.known.Peek(id)
		reply.Items = append(reply.Items, entry{Index: id.index, Count: f.Count, Rejected: f.Rejected})
	}
	return encode(reply)
}

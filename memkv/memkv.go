package memkv

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
)

// Fault is a fault injected into one call of a Store.
type Fault int

// The faults of a store.
const (
	// NoFault executes the call normally.
	NoFault Fault = iota
	// Reject does not execute the call and returns ErrStoreRefused.
	Reject
	// LoseResponse executes the call and returns ErrNoResponse.
	LoseResponse
	// LoseRequest does not execute the call and returns ErrNoResponse.
	LoseRequest
	// DelayAppend returns ErrNoResponse and executes the append at the next ApplyDelayed, if its condition
	// is still met. For reads it is the same as LoseRequest.
	DelayAppend
)

// ErrNoResponse is the error of calls whose request or response was lost, or that were delayed.
var ErrNoResponse = errors.New("memkv: no response")

// Store is an in-memory stand-in for the platform's store. It implements sardinerock.Store.
type Store struct {
	// Fault, if set, returns the fault of each call; call is append, appendAt, read, fetch
	// or newest. SetFault changes it while the store is in use.
	Fault func(call, topic string) Fault
	// PageSize is the maximum number of records in a page of Newest; 0 means unlimited.
	PageSize int
	// ReadSize is the maximum number of records that Read returns; 0 means unlimited.
	ReadSize int

	mu      sync.Mutex
	topics  map[string]*partition
	delayed []func()
	calls   map[string]int
}

type partition struct {
	records     []sardinerock.StoreRecord
	firstOffset int64
	changed     chan struct{}
}

func (s *Store) topic(name string) *partition {
	if s.topics == nil {
		s.topics = map[string]*partition{}
	}
	t := s.topics[name]
	if t == nil {
		t = &partition{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *partition) end() int64 { return int64(len(t.records)) }

func (t *partition) add(records []sardinerock.StoreRecord) {
	for _, r := range records {
		r.Offset = t.end()
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// begin counts a call and returns its fault.
func (s *Store) begin(call, topic string) Fault {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = map[string]int{}
	}
	s.calls[call]++
	fault := s.Fault
	s.mu.Unlock()
	if fault == nil {
		return NoFault
	}
	return fault(call, topic)
}

// failure counts a call that reads and returns the error of its fault, or nil.
func (s *Store) failure(call, topic string) error {
	switch s.begin(call, topic) {
	case Reject:
		return sardinerock.ErrStoreRefused
	case LoseRequest, LoseResponse, DelayAppend:
		return ErrNoResponse
	}
	return nil
}

// SetFault replaces Fault for all later calls; nil disables faults.
func (s *Store) SetFault(fault func(call, topic string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = fault
}

// Calls returns the number of calls with a name, as passed to Fault, including failed ones.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// AppendAt implements sardinerock.Store.
func (s *Store) AppendAt(_ context.Context, topic string, at int64, records []sardinerock.StoreRecord) (int64, error) {
	return s.append("appendAt", topic, records, func(end int64) bool { return end == at })
}

// Append implements sardinerock.Store.
func (s *Store) Append(_ context.Context, topic string, records []sardinerock.StoreRecord) (int64, error) {
	return s.append("append", topic, records, func(int64) bool { return true })
}

// append appends records if the condition is true for the end of the topic.
func (s *Store) append(call, topic string, records []sardinerock.StoreRecord, condition func(end int64) bool) (int64, error) {
	fault := s.begin(call, topic)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	copied := append([]sardinerock.StoreRecord(nil), records...)
	apply := func() error {
		if !condition(t.end()) {
			return sardinerock.ErrStoreConflict
		}
		t.add(copied)
		return nil
	}
	switch fault {
	case Reject:
		return 0, sardinerock.ErrStoreRefused
	case LoseRequest:
		return 0, ErrNoResponse
	case DelayAppend:
		// The condition is checked only at the next ApplyDelayed.
		s.delayed = append(s.delayed, func() { _ = apply() })
		return 0, ErrNoResponse
	}
	err := apply()
	if fault == LoseResponse {
		return 0, ErrNoResponse
	}
	return t.end(), err
}

// ApplyDelayed executes the delayed appends whose conditions are still met.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.delayed {
		apply()
	}
	s.delayed = nil
}

// Read implements sardinerock.Store.
func (s *Store) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	if err := s.failure("read", topic); err != nil {
		return sardinerock.StorePage{}, err
	}
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(topic)
		page := sardinerock.StorePage{End: t.end()}
		gap := from < t.firstOffset
		if from < t.end() && !gap {
			page.Records = append(page.Records, t.records[from:]...)
			if s.ReadSize > 0 {
				page.Records = page.Records[:min(len(page.Records), s.ReadSize)]
			}
		}
		changed := t.changed
		s.mu.Unlock()
		if gap {
			return page, sardinerock.ErrStoreGap
		}
		if len(page.Records) > 0 || wait == 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return page, ctx.Err()
		case <-deadline:
			return page, nil
		case <-changed:
		}
	}
}

// Fetch implements sardinerock.Store.
func (s *Store) Fetch(_ context.Context, partition string, from int64, size int) (sardinerock.StorePage, error) {
	if err := s.failure("fetch", partition); err != nil {
		return sardinerock.StorePage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(partition)
	page := sardinerock.StorePage{End: t.end()}
	if from < t.firstOffset {
		return page, sardinerock.ErrStoreGap
	}
	for at := from; at < t.end() && (len(page.Records) == 0 || size > 0); at++ {
		page.Records = append(page.Records, t.records[at])
		size -= len(t.records[at].Value)
	}
	return page, nil
}

// Newest implements sardinerock.Store.
func (s *Store) Newest(_ context.Context, topic, after string) (sardinerock.StorePage, error) {
	if err := s.failure("newest", topic); err != nil {
		return sardinerock.StorePage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	newest := map[string]sardinerock.StoreRecord{}
	for _, r := range t.records {
		newest[r.Key] = r
	}
	page := sardinerock.StorePage{End: t.end()}
	for key, r := range newest {
		if key > after && r.Value != nil {
			page.Records = append(page.Records, r)
		}
	}
	sort.Slice(page.Records, func(i, j int) bool { return page.Records[i].Key < page.Records[j].Key })
	if s.PageSize > 0 && len(page.Records) > s.PageSize {
		page.Records, page.More = page.Records[:s.PageSize], true
	}
	return page, nil
}

// Compact makes Read and Fetch return ErrStoreGap for all current records of a topic. Newest still
// returns the newest record of each key.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.firstOffset = t.end()
}

// CompactAll calls Compact for all topics that have been used.
func (s *Store) CompactAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.firstOffset = t.end()
	}
}

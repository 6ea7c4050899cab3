package fakes

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
)

// StoreFault is what goes wrong with one call of a MemStore.
type StoreFault int

// The faults of a store.
const (
	// StoreWorks means that nothing goes wrong.
	StoreWorks StoreFault = iota
	// StoreRefuses means that nothing is done, and the answer says so.
	StoreRefuses
	// StoreLosesAnswer means that the call is done and not answered.
	StoreLosesAnswer
	// StoreLosesCall means that the call is neither done nor answered.
	StoreLosesCall
	// StoreIsLate means that an append isn't answered and is done at the next Settle, if its condition still holds.
	StoreIsLate
)

// ErrStoreSilent is what callers of a MemStore get for a lost answer.
var ErrStoreSilent = errors.New("memstore: no answer")

// MemStore is a stand-in of the platform's store in memory.
type MemStore struct {
	// Fault, if set, says what goes wrong with the next call; call is append,
	// put, read or newest. SetFault changes it while the store is in use.
	Fault func(call, topic string) StoreFault
	// PageSize is how many records a page of the newest ones holds; 0 is all.
	PageSize int

	mu     sync.Mutex
	topics map[string]*memTopic
	late   []func()
	calls  map[string]int
}

type memTopic struct {
	records []sardinerock.StoreRecord
	first   int64
	moved   chan struct{}
}

func (s *MemStore) topic(name string) *memTopic {
	if s.topics == nil {
		s.topics = map[string]*memTopic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &memTopic{moved: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *memTopic) end() int64 { return int64(len(t.records)) }

func (t *memTopic) add(records []sardinerock.StoreRecord) {
	for _, r := range records {
		r.Offset = t.end()
		t.records = append(t.records, r)
	}
	close(t.moved)
	t.moved = make(chan struct{})
}

// begin counts a call and asks what goes wrong with it.
func (s *MemStore) begin(call, topic string) StoreFault {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = map[string]int{}
	}
	s.calls[call]++
	fault := s.Fault
	s.mu.Unlock()
	if fault == nil {
		return StoreWorks
	}
	return fault(call, topic)
}

// SetFault changes what goes wrong from now on.
func (s *MemStore) SetFault(fault func(call, topic string) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fault = fault
}

// Calls returns how often a call was made.
func (s *MemStore) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// AppendAt implements sardinerock.Store.
func (s *MemStore) AppendAt(_ context.Context, topic string, at int64, records []sardinerock.StoreRecord) (int64, error) {
	fault := s.begin("append", topic)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	try := func() error {
		if t.end() != at {
			return sardinerock.ErrStoreMoved
		}
		t.add(records)
		return nil
	}
	switch fault {
	case StoreRefuses:
		return 0, sardinerock.ErrStoreRefused
	case StoreLosesCall:
		return 0, ErrStoreSilent
	case StoreIsLate:
		copied := append([]sardinerock.StoreRecord(nil), records...)
		s.late = append(s.late, func() {
			if t.end() == at {
				t.add(copied)
			}
		})
		return 0, ErrStoreSilent
	}
	err := try()
	if fault == StoreLosesAnswer {
		return 0, ErrStoreSilent
	}
	return t.end(), err
}

// Settle does the late appends whose conditions still hold.
func (s *MemStore) Settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, do := range s.late {
		do()
	}
	s.late = nil
}

// Put implements sardinerock.Store.
func (s *MemStore) Put(_ context.Context, topic string, record sardinerock.StoreRecord) error {
	switch s.begin("put", topic) {
	case StoreRefuses:
		return sardinerock.ErrStoreRefused
	case StoreLosesCall:
		return ErrStoreSilent
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add([]sardinerock.StoreRecord{record})
	return nil
}

// Read implements sardinerock.Store.
func (s *MemStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	switch s.begin("read", topic) {
	case StoreRefuses:
		return sardinerock.StorePage{}, sardinerock.ErrStoreRefused
	case StoreLosesCall, StoreLosesAnswer, StoreIsLate:
		return sardinerock.StorePage{}, ErrStoreSilent
	}
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(topic)
		page := sardinerock.StorePage{End: t.end()}
		gap := from < t.first
		if from < t.end() && !gap {
			page.Records = append(page.Records, t.records[from:]...)
		}
		moved := t.moved
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
		case <-moved:
		}
	}
}

// Newest implements sardinerock.Store.
func (s *MemStore) Newest(_ context.Context, topic, after string) (sardinerock.StorePage, error) {
	switch s.begin("newest", topic) {
	case StoreRefuses:
		return sardinerock.StorePage{}, sardinerock.ErrStoreRefused
	case StoreLosesCall, StoreLosesAnswer, StoreIsLate:
		return sardinerock.StorePage{}, ErrStoreSilent
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

// DropHistory forgets the records of a topic; the newest of each key stays to be asked for.
func (s *MemStore) DropHistory(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.first = t.end()
}

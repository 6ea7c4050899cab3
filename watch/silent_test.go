package watch

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/memkv"
)

// silentStore is a store that doesn't answer reads until a time.
type silentStore struct {
	*memkv.Store
	mu    sync.Mutex
	until time.Time
	// timeout is that of reads which aren't answered.
	timeout time.Duration
}

// silence makes the store not answer from now on, for as long as given.
func (s *silentStore) silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

func (s *silentStore) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until)
}

func (s *silentStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	if s.silent() {
		ctx, cancel := context.WithTimeout(ctx, s.timeout)
		defer cancel()
		<-ctx.Done()
		return sardinerock.StorePage{}, ctx.Err()
	}
	return s.Store.Read(ctx, topic, from, wait)
}

// TestSilentConnectionIsNoOutage guards against a removed backend server being kept because one read of the registrations took long:
// that is kept only if the store may have been away for as long as a registration takes to expire.
func TestSilentConnectionIsNoOutage(t *testing.T) {
	const (
		minOutage = 2160 * time.Millisecond
		timeout   = 1500 * time.Millisecond
	)
	for name, tt := range map[string]struct {
		silence time.Duration
		kept    int
	}{
		"a connection is silent":       {silence: timeout / 2, kept: 1},
		"the store is away for longer": {silence: 2 * minOutage, kept: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			l := newList()
			store := &silentStore{Store: &memkv.Store{}, timeout: timeout}
			put(g, store.Store, "i-1", "r1")
			put(g, store.Store, "i-2", "r1")
			f := &Follower{Store: store, Topic: "t", Wait: 300 * time.Millisecond, MinOutage: minOutage, Events: &event.Logger{}}
			servers := make(chan int, 100)
			f.Apply = func(records []sardinerock.StoreRecord, reset bool) {
				l.Apply(records, reset)
				servers <- len(l.servers)
			}
			f.OnRecovery = l.StoreRecovered
			f.Prepare()
			go f.Run(t.Context())
			g.Eventually(servers, 5*time.Second).Should(Receive(Equal(2)))
			store.silence(tt.silence)
			// The read in progress is answered without the removal, and the next one isn't.
			time.Sleep(2 * f.Wait)
			_, err := store.Append(t.Context(), "t", record("i-2", ""))
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(servers, 10*time.Second).Should(Receive(Equal(tt.kept)))
		})
	}
}

// waitsStore fails every second read and records the waits of all.
type waitsStore struct {
	*memkv.Store
	waits []time.Duration
	done  chan struct{}
}

func (s *waitsStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	if s.waits = append(s.waits, wait); len(s.waits) == 4 {
		close(s.done)
	}
	if len(s.waits) > 3 {
		<-ctx.Done()
		return sardinerock.StorePage{}, ctx.Err()
	}
	if len(s.waits)%2 == 1 {
		return sardinerock.StorePage{}, memkv.ErrNoResponse
	}
	return s.Store.Read(ctx, topic, from, wait)
}

// TestRetryDoesNotHangAsLongAsALoad guards against the read after a failed one waiting for records, or having the timeouts of large
// pages (a wait of 0), which double each time: it would go on for seconds after the store is back.
func TestRetryDoesNotHangAsLongAsALoad(t *testing.T) {
	g := NewWithT(t)
	const wait = 100 * time.Millisecond
	store := &waitsStore{Store: &memkv.Store{}, done: make(chan struct{})}
	put(g, store.Store, "k", "v")
	f := &Follower{Store: store, Topic: "t", Wait: wait, Events: &event.Logger{}, Apply: func([]sardinerock.StoreRecord, bool) {}}
	f.Prepare()
	go f.Run(t.Context())
	g.Eventually(store.done, 5*time.Second).Should(BeClosed())
	g.Expect(store.waits).To(Equal([]time.Duration{wait, retryWait, wait, retryWait}))
	g.Expect(retryWait).To(BeNumerically(">", 0))
}

package watch

import (
	"cmp"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/memkv"
)

// failingStore is a store of which the reads fail from a time on.
type failingStore struct {
	*memkv.Store
	// fail returns how the nth read after that time, from 0, fails, by the time since then.
	fail func(n int, since time.Duration) failure

	mu    sync.Mutex
	begun time.Time
	reads int
}

// failure is how a read fails: it waits until its time-out (hangs), for a while, or not at all, and then returns an error or the records.
type failure struct {
	hangs bool
	delay time.Duration
	err   error
}

// readTimeout is the time-out of reads in these tests.
const readTimeout = 1500 * time.Millisecond

// begin makes reads fail from now on.
func (s *failingStore) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = time.Now()
}

func (s *failingStore) next() failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun.IsZero() {
		return failure{}
	}
	s.reads++
	return s.fail(s.reads-1, time.Since(s.begun))
}

func (s *failingStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	f := s.next()
	if f.hangs {
		f.delay, f.err = readTimeout, context.DeadlineExceeded
	}
	await.Sleep(ctx, f.delay)
	if err := cmp.Or(f.err, ctx.Err()); err != nil {
		return sardinerock.StorePage{}, err
	}
	return s.Store.Read(ctx, topic, from, wait)
}

// TestSilentConnectionIsNoOutage guards against a removed backend server being kept because reads on a silent connection failed or
// the first answer on a new one came late, and against it being dropped after an outage, in which registrations expire.
func TestSilentConnectionIsNoOutage(t *testing.T) {
	silent := func(n int, _ time.Duration) failure { return failure{hangs: n == 0} }
	// late returns a silent connection after which new ones answer late.
	late := func(delay time.Duration) func(n int, since time.Duration) failure {
		return func(n int, _ time.Duration) failure { return failure{hangs: n == 0, delay: delay} }
	}
	// second returns a silent connection after which some reads on new ones fail.
	second := func(reads int, f failure) func(n int, since time.Duration) failure {
		return func(n int, _ time.Duration) failure {
			if n == 0 {
				return failure{hangs: true}
			}
			if n <= reads {
				return f
			}
			return failure{}
		}
	}
	// away returns a store that fails for as long as given.
	away := func(d time.Duration, f failure) func(n int, since time.Duration) failure {
		return func(_ int, since time.Duration) failure {
			if since < d {
				return f
			}
			return failure{}
		}
	}
	for name, tt := range map[string]struct {
		fail func(n int, since time.Duration) failure
		kept int
	}{
		"a connection is silent":                       {silent, 1},
		"and new ones answer after 0.25 s":             {late(250 * time.Millisecond), 1},
		"and new ones answer after 0.5 s":              {late(500 * time.Millisecond), 1},
		"and new ones answer after 1 s":                {late(time.Second), 1},
		"and then there are too many calls":            {second(3, failure{err: sardinerock.ErrStoreAnswered}), 1},
		"and then a new one is silent, too":            {second(1, failure{hangs: true}), 1},
		"the store doesn't answer for 2.5 s":           {away(2500*time.Millisecond, failure{hangs: true}), 2},
		"and then a new one is refused":                {second(1, failure{err: sardinerock.ErrStoreRefused}), 2},
		"the store doesn't answer for 4.5 s":           {away(4500*time.Millisecond, failure{hangs: true}), 2},
		"the store refuses for 2.5 s":                  {away(2500*time.Millisecond, failure{err: sardinerock.ErrStoreRefused}), 2},
		"the store resets connections for 2.5 s":       {away(2500*time.Millisecond, failure{err: memkv.ErrNoResponse}), 2},
		"the store answers that there are many, 2.5 s": {away(2500*time.Millisecond, failure{err: sardinerock.ErrStoreAnswered}), 1},
		"the store is slow":                            {away(5*time.Second, failure{delay: 250 * time.Millisecond}), 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { expectKept(t, &failingStore{Store: &memkv.Store{}, fail: tt.fail}, tt.kept) })
		})
	}
}

// expectKept expects how many of two backend servers are listed once the removal of one of them was read, after reads have failed.
func expectKept(t *testing.T, store *failingStore, kept int) {
	g := NewWithT(t)
	l := newList()
	put(g, store.Store, "i-1", "r1")
	put(g, store.Store, "i-2", "r1")
	f := &Follower{Store: store, Topic: "t", Wait: 300 * time.Millisecond, Events: &event.Logger{}}
	servers := make(chan int, 100)
	f.Apply = func(records []sardinerock.StoreRecord, reset bool) {
		l.Apply(records, reset)
		servers <- len(l.servers)
	}
	f.OnRecovery = l.StoreRecovered
	f.Prepare()
	go f.Run(t.Context())
	g.Expect(<-servers).To(Equal(2))
	synctest.Wait()
	store.begin()
	// The read in progress is answered without the removal, and the next one isn't.
	time.Sleep(2 * f.Wait)
	_, err := store.Append(t.Context(), "t", record("i-2", ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-servers).To(Equal(kept))
}

// TestOverdueReadIsRepeated guards against changes that are read only after the time-out of a read on a silent connection, against
// a slow store being asked twice, and against one that doesn't answer being asked without bounds.
func TestOverdueReadIsRepeated(t *testing.T) {
	for name, tt := range map[string]struct {
		fail func(n int, since time.Duration) failure
		// within bounds the time until the answer, and reads is the most reads that are sent.
		within time.Duration
		reads  int
	}{
		"silent": {func(n int, _ time.Duration) failure { return failure{hangs: n == 0} }, readTimeout, 2},
		"slow":   {func(int, time.Duration) failure { return failure{delay: 250 * time.Millisecond} }, readTimeout, 1},
		"away": {func(_ int, since time.Duration) failure {
			return failure{hangs: since < 4*time.Second}
		}, 6 * time.Second, 13},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := &failingStore{Store: &memkv.Store{}, fail: tt.fail}
				put(g, store.Store, "k", "1")
				f, v := newFollower(store.Store)
				f.Store, f.Wait, f.Interval = store, 100*time.Millisecond, time.Hour
				g.Expect(f.Sync(t.Context())).To(Succeed())
				put(g, store.Store, "k", "2")
				store.begin()
				begin := time.Now()
				go f.Run(t.Context())
				g.Expect(f.WaitFor(t.Context(), 2)).To(Succeed())
				g.Expect(time.Since(begin)).To(BeNumerically("<", tt.within))
				g.Expect(v.get("k")).To(Equal("2"))
				g.Expect(store.reads).To(BeNumerically("<=", tt.reads))
			})
		})
	}
}

// TestReadsGoOnDuringAnOutage guards against the end of an outage being noticed late: backend servers that left in it are used for
// two seconds from then on.
func TestReadsGoOnDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var sent []time.Duration
		store := &failingStore{Store: &memkv.Store{}, fail: func(_ int, since time.Duration) failure {
			sent = append(sent, since)
			return failure{hangs: since < 20*time.Second}
		}}
		put(g, store.Store, "k", "1")
		f, _ := newFollower(store.Store)
		f.Store, f.Wait, f.Interval = store, 100*time.Millisecond, time.Hour
		g.Expect(f.Sync(t.Context())).To(Succeed())
		put(g, store.Store, "k", "2")
		store.begin()
		go f.Run(t.Context())
		g.Expect(f.WaitFor(t.Context(), 2)).To(Succeed())
		for n, at := range sent {
			// The first read and its repeats are followed by the next one once the first repeat has failed.
			if n > 1+maxRepeats {
				g.Expect(at-sent[n-1]).To(BeNumerically("<=", retryWait+overdueTime), "between reads %d and %d", n-1, n)
			}
		}
	})
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

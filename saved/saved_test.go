package saved

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/memkv"
)

const topic = "verdicts"

// process is the part of an entry that keeps verdicts.
type process struct {
	*Verdicts
	mu       sync.Mutex
	restored []sardinerock.Verdict
	stop     context.CancelFunc
}

// start starts a process, of which the clock is off by skew.
func start(t *testing.T, store sardinerock.Store, skew time.Duration) *process {
	p := &process{}
	p.Verdicts = &Verdicts{
		Store: store, Topic: topic, Events: &event.Logger{}, Metrics: metrics.NewRegistry(), Now: func() time.Time { return time.Now().Add(skew) },
		Restore: func(v sardinerock.Verdict) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.restored = append(p.restored, v)
		},
	}
	p.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	p.stop = cancel
	t.Cleanup(cancel)
	go p.Run(ctx)
	return p
}

// counts returns the counts of the restored verdicts by key.
func (p *process) counts() map[uint64]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[uint64]int{}
	for _, v := range p.restored {
		counts[v.Key] = v.Count
	}
	return counts
}

// expectOnRecord expects what a process that starts now restores.
func expectOnRecord(t *testing.T, g *WithT, store sardinerock.Store, want map[uint64]int) {
	t.Helper()
	p := start(t, store, 0)
	defer p.stop()
	g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
	g.Expect(p.counts()).To(Equal(want))
}

// expectWritten waits until nothing is pending.
func expectWritten(g *WithT, p *process) {
	pending := func() int {
		p.Verdicts.mu.Lock()
		defer p.Verdicts.mu.Unlock()
		return len(p.pending) + len(p.appends)
	}
	g.Eventually(pending, 5*time.Second).Should(BeZero())
}

// TestVerdictsOutliveTheEntries guards against verdicts being forgotten with the entries, or kept after a response.
func TestVerdictsOutliveTheEntries(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	p := start(t, store, 0)
	g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
	p.Put(sardinerock.Verdict{Key: 1, Count: 3})
	p.Put(sardinerock.Verdict{Key: 2, Count: 3})
	p.Put(sardinerock.Verdict{Key: 3, Causes: []uint64{7, 8}})
	g.Expect(p.Charge(t.Context(), sardinerock.Verdict{Key: 1, Count: 4})).To(Succeed())
	p.Put(sardinerock.Verdict{Key: 1, Count: 4})
	p.Delete(sardinerock.Verdict{Key: 2})
	expectWritten(g, p)
	p.stop()
	expectOnRecord(t, g, store, map[uint64]int{1: 4, 3: 0})
}

// TestLostChargeIsChargedOnce guards against a trial that is sent without being on record, and against one that is charged twice
// because the answer of the store was lost.
func TestLostChargeIsChargedOnce(t *testing.T) {
	for name, tt := range map[string]struct {
		fault memkv.Fault
		want  map[uint64]int
	}{
		"rejected":        {memkv.Reject, map[uint64]int{}},
		"request lost":    {memkv.LoseRequest, map[uint64]int{}},
		"response lost":   {memkv.LoseResponse, map[uint64]int{1: 4}},
		"executed late":   {memkv.DelayAppend, map[uint64]int{}},
		"nothing happens": {memkv.NoFault, map[uint64]int{1: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &memkv.Store{}
			p := start(t, store, 0)
			g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
			charge := func() error { return p.Charge(t.Context(), sardinerock.Verdict{Key: 1, Count: 4}) }
			store.SetFault(func(string, string) memkv.Fault { return tt.fault })
			if err := charge(); tt.fault == memkv.NoFault {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(HaveOccurred())
			}
			store.SetFault(nil)
			expectOnRecord(t, g, store, tt.want)
			g.Expect(charge()).To(Succeed())
			store.ApplyDelayed()
			expectOnRecord(t, g, store, map[uint64]int{1: 4})
		})
	}
}

// TestResponseDuringAChargeDeletesTheVerdict guards against a verdict staying on record because the response that ends it came while a
// trial was being recorded.
func TestResponseDuringAChargeDeletesTheVerdict(t *testing.T) {
	for name, fault := range map[string]memkv.Fault{"recorded": memkv.NoFault, "response lost": memkv.LoseResponse, "rejected": memkv.Reject} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &memkv.Store{}
			p := start(t, store, 0)
			g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
			p.Put(sardinerock.Verdict{Key: 1, Count: 3})
			expectWritten(g, p)
			var once sync.Once
			store.SetFault(func(string, string) memkv.Fault {
				got := memkv.NoFault
				once.Do(func() {
					p.Delete(sardinerock.Verdict{Key: 1})
					got = fault
				})
				return got
			})
			if err := p.Charge(t.Context(), sardinerock.Verdict{Key: 1, Count: 4}); fault == memkv.NoFault {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(err).To(HaveOccurred())
			}
			expectWritten(g, p)
			expectOnRecord(t, g, store, map[uint64]int{})
		})
	}
}

// TestLateAppendBringsNothingBack guards against a verdict being on record after it was deleted, because the store executes the append
// of the verdict seconds after its answer was lost.
func TestLateAppendBringsNothingBack(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	p := start(t, store, 0)
	g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
	store.SetFault(func(call, _ string) memkv.Fault {
		if call == "appendAt" {
			return memkv.DelayAppend
		}
		return memkv.NoFault
	})
	p.Put(sardinerock.Verdict{Key: 1, Count: 3})
	g.Eventually(func() int { return store.Calls("appendAt") }, 5*time.Second).Should(BeNumerically(">", 0))
	p.Delete(sardinerock.Verdict{Key: 1})
	store.SetFault(nil)
	expectWritten(g, p)
	store.ApplyDelayed()
	expectOnRecord(t, g, store, map[uint64]int{})
}

// TestWhatHappensBeforeTheLoadCounts guards against a verdict on record replacing what an entry has learned while the store was away
// at its start, and against trials that are sent in that time.
func TestWhatHappensBeforeTheLoadCounts(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	p := start(t, store, 0)
	g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
	for key := range uint64(3) {
		p.Put(sardinerock.Verdict{Key: key, Count: 5})
	}
	expectWritten(g, p)
	p.stop()
	store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
	p = start(t, store, 0)
	p.Put(sardinerock.Verdict{Key: 0, Count: 3})
	p.Delete(sardinerock.Verdict{Key: 1})
	g.Expect(p.Charge(t.Context(), sardinerock.Verdict{Key: 2, Count: 4})).NotTo(Succeed())
	store.SetFault(nil)
	g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
	g.Expect(p.counts()).To(Equal(map[uint64]int{0: 5, 2: 5}))
	expectWritten(g, p)
	expectOnRecord(t, g, store, map[uint64]int{0: 5, 2: 5})
}

// TestRecordsAreBounded guards against callers with many requests that end backend servers filling the store, and against one append
// for each of them.
func TestRecordsAreBounded(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	p := start(t, store, 0)
	g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
	for key := range uint64(10_000) {
		p.Put(sardinerock.Verdict{Key: key, Count: 3})
		p.Put(sardinerock.Verdict{Key: key, Causes: []uint64{key}})
	}
	expectWritten(g, p)
	store.CompactAll()
	page, err := store.Newest(t.Context(), topic, "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(page.Records)).To(BeNumerically("<=", 2*keysPerKind))
	g.Expect(page.More).To(BeFalse())
}

// TestClocksThatDiffer guards against verdicts that end at once or last for ever because clocks differ or are set, and against old ones
// staying in the store.
func TestClocksThatDiffer(t *testing.T) {
	for name, tt := range map[string]struct {
		skew, wantAge time.Duration
		want          int
	}{
		"same":        {0, 0, 1},
		"5 s ahead":   {5 * time.Second, 5 * time.Second, 1},
		"5 s behind":  {-5 * time.Second, 0, 1},
		"an hour old": {time.Hour, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &memkv.Store{}
			p := start(t, store, 0)
			g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
			p.Put(sardinerock.Verdict{Key: 1, Count: 3})
			expectWritten(g, p)
			p.stop()
			p = start(t, store, tt.skew)
			g.Expect(p.AwaitLoaded(t.Context())).To(Succeed())
			g.Expect(p.restored).To(HaveLen(tt.want))
			if tt.want > 0 {
				g.Expect(p.restored[0].Age).To(BeNumerically("~", tt.wantAge, time.Second))
				return
			}
			expectWritten(g, p)
			expectOnRecord(t, g, store, map[uint64]int{})
		})
	}
}

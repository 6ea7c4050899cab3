package commit

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/memkv"
)

// startEntry starts an entry's appenders and followers.
func startEntry(t *testing.T, store *memkv.Store) *testEntry {
	e := newTestEntry(store)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Follower.Run(ctx)
	go e.work.Follower.Run(ctx)
	go e.Run(ctx)
	go e.work.Run(ctx)
	return e
}

func acceptJob(id string) Change {
	return func(p *ledger.Plan) (ledger.Verdict, error) { return p.Accept(interleavedJob(id), 0) }
}

// Three entries append to one topic at the same time. Each must see the records that the others
// appended first, and every change must be answered.
func TestEntriesShareOneOrder(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	const each = 10
	results := make(chan error, 3*each)
	for i := range 3 {
		e := startEntry(t, store)
		g.Eventually(e.Ledger.Loaded, 10*time.Second).Should(BeTrue())
		for n := range each {
			go func() {
				verdict, err := e.Submit(context.Background(), acceptJob(string(rune('a'+i))+string(rune('a'+n))))
				if err == nil && verdict != ledger.Applied {
					err = errors.New("change wasn't applied")
				}
				results <- err
			}()
		}
	}
	for range 3 * each {
		g.Eventually(results, 20*time.Second).Should(Receive(BeNil()))
	}
}

// The store rejects all calls until the caller's deadline. The change didn't take effect, and the
// caller must receive that error and not ErrUncertain.
func TestRejectedAppendIsReportedAsCertain(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	e := startEntry(t, store)
	g.Eventually(e.Ledger.Loaded, 10*time.Second).Should(BeTrue())
	store.SetFault(func(call, _ string) memkv.Fault {
		if call == "appendAt" {
			return memkv.Reject
		}
		return memkv.NoFault
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := e.Submit(ctx, acceptJob("j"))
	g.Expect(errors.Is(err, sardinerock.ErrStoreRefused)).To(BeTrue())
}

// An entry is stopped during an outage of the store while results wait to be recorded. Callers of
// Submit must return; otherwise the process doesn't exit in time and is killed with answers in
// flight.
func TestStopReleasesWaiters(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	e := newTestEntry(store)
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
	done := make(chan error, 1)
	go func() {
		_, err := e.Submit(context.Background(), acceptJob("j"))
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	cancel()
	g.Eventually(done, 10*time.Second).Should(Receive(MatchError(ErrUncertain)))
}

// Guards against an entry that has just started recording the starts of all its items while the
// store executes appends and loses the answers: each would count as a run, although none is sent.
func TestWorkingForFollowsAppends(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	e := startEntry(t, store)
	g.Eventually(e.Ledger.Loaded, 10*time.Second).Should(BeTrue())
	_, err := e.Submit(t.Context(), acceptJob("j"))
	g.Expect(err).NotTo(HaveOccurred())
	workingFor := func() time.Duration { return e.work.WorkingFor(time.Now()) }
	g.Expect(workingFor()).To(BeNumerically(">", time.Hour), "nothing is known before the first append")
	store.SetFault(func(string, string) memkv.Fault { return memkv.LoseResponse })
	go func() {
		_, _ = e.work.Submit(t.Context(), func(p *ledger.Plan) (ledger.Verdict, error) { return p.Fail("j", 0) })
	}()
	g.Eventually(workingFor, 10*time.Second).Should(BeZero())
	g.Consistently(workingFor, 300*time.Millisecond).Should(BeZero())
	store.SetFault(nil)
	g.Eventually(workingFor, 10*time.Second).Should(BeNumerically(">", 0))
	g.Expect(workingFor()).To(BeNumerically("<", time.Minute))
}

// slowStore delays each append, so that other entries append first.
type slowStore struct {
	*memkv.Store
	delay time.Duration
}

func (s slowStore) AppendAt(ctx context.Context, topic string, at int64, records []sardinerock.StoreRecord) (int64, error) {
	time.Sleep(s.delay)
	return s.Store.AppendAt(ctx, topic, at, records)
}

func (s slowStore) Append(ctx context.Context, topic string, records []sardinerock.StoreRecord) (int64, error) {
	time.Sleep(s.delay)
	return s.Store.Append(ctx, topic, records)
}

// An entry on a slow instance has a result to record while other entries append all the time. If
// its append depended on the topic's end, it would fail at each attempt until the others pause.
func TestSlowEntryRecordsAmongFastOnes(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	fast, slow := startEntry(t, store), startEntry(t, store)
	slow.work.Store = slowStore{store, 30 * time.Millisecond}
	g.Eventually(slow.Ledger.Loaded, 10*time.Second).Should(BeTrue())
	g.Eventually(fast.Ledger.Loaded, 10*time.Second).Should(BeTrue())
	_, err := fast.Submit(context.Background(), acceptJob("j"))
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for n := int64(0); ctx.Err() == nil; n++ {
			_, _ = store.Append(ctx, workTopic, []sardinerock.StoreRecord{{Key: "f/other/0/x-" + strconv.FormatInt(n, 10) + ".0/0", Value: []byte{0}}})
			time.Sleep(2 * time.Millisecond)
		}
	}()
	begin := time.Now()
	verdict, err := slow.work.Submit(context.Background(), func(p *ledger.Plan) (ledger.Verdict, error) {
		return p.Finish("j", 0, &ledger.Outcome{Item: "j0", Succeeded: true})
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(verdict).To(Equal(ledger.Applied))
	g.Expect(time.Since(begin)).To(BeNumerically("<", 5*time.Second))
	g.Expect(slow.Ledger.IsOpen("j", 0)).To(BeFalse(), "the state contains the result once it is answered")
}

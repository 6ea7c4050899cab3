package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/memkv"
)

// losingStore is the store as one entry sees it, until the entry is lost.
type losingStore struct {
	*memkv.Store
	// losesBefore, if set, reports whether the entry is lost right before an append.
	losesBefore func(topic string, records []sardinerock.StoreRecord) bool
	// lost is closed when the entry is lost. The store rejects all its calls from then on.
	lost chan struct{}
	once sync.Once
}

func (s *losingStore) lose() { s.once.Do(func() { close(s.lost) }) }

func (s *losingStore) isLost() bool {
	select {
	case <-s.lost:
		return true
	default:
		return false
	}
}

func (s *losingStore) Append(ctx context.Context, topic string, records []sardinerock.StoreRecord) (int64, error) {
	if s.losesBefore != nil && s.losesBefore(topic, records) {
		s.lose()
	}
	if s.isLost() {
		return 0, sardinerock.ErrStoreRefused
	}
	return s.Store.Append(ctx, topic, records)
}

func (s *losingStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	if s.isLost() {
		return sardinerock.StorePage{}, sardinerock.ErrStoreRefused
	}
	return s.Store.Read(ctx, topic, from, wait)
}

// startLosing starts an entry that stops when its store says that it is lost.
func (f *fleet) startLosing(name string, s *losingStore) *entry {
	s.Store, s.lost = f.store, make(chan struct{})
	e := f.startWith(name, s)
	go func() {
		select {
		case <-s.lost:
			e.stop()
		case <-f.t.Context().Done():
		}
	}()
	return e
}

// recordsOutcome reports whether an append records a failed run or a result.
func recordsOutcome(topic string, records []sardinerock.StoreRecord) bool {
	for _, r := range records {
		if topic == "work" && (strings.HasPrefix(r.Key, "f/") || strings.HasPrefix(r.Key, "r/")) {
			return true
		}
	}
	return false
}

// configureBatch stores a configuration with one batch route, and waits until all entries have it.
func (f *fleet) configureBatch(attempts int, retention time.Duration) {
	f.put(configTopic, "config", fmt.Sprintf(`{"version":9,"routes":[{"name":"b","host":"h","path_prefix":"/batch/","kind":"batch",
		"service":"s","max_attempts":%d,"completion_target_ms":18000,"retention_s":%d,"max_count":100}]}`, attempts, int(retention.Seconds())))
	for _, e := range f.entries {
		f.g.Eventually(func() int { return f.get("http://" + e.settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
		f.g.Eventually(func() int { status, _ := f.call(e, http.MethodPost, "/letters/x", "r", ""); return status }, timeout).Should(Equal(http.StatusNotFound))
	}
}

// expectListed waits until a new entry lists the only item of a job in a state.
func (f *fleet) expectListed(job, state string) {
	reader := f.start("reader")
	f.g.Eventually(func() int { return f.get("http://" + reader.settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
	f.g.Eventually(func() string {
		_, body := f.call(reader, http.MethodGet, "/v1/lots/"+job+"?after=0", "", "")
		return body
	}, timeout).Should(ContainSubstring(state))
}

// TestItemOfLostOwnersReachesFewBackendServers guards against an item that fails at each run, or is
// rejected for good, being sent to one more backend server by each entry that takes it over from an
// owner lost before it recorded the run.
func TestItemOfLostOwnersReachesFewBackendServers(t *testing.T) {
	const attempts, entries = 1, 5
	for name, tt := range map[string]struct{ status, bound int }{
		"server error":    {http.StatusInternalServerError, 3 * attempts},
		"invalid request": {http.StatusUnprocessableEntity, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			f.status.Store(int32(tt.status))
			for i := range entries {
				f.entries = append(f.entries, f.startLosing(fmt.Sprint("lost-", i), &losingStore{losesBefore: recordsOutcome}))
			}
			f.configureBatch(attempts, 9*time.Second)
			status, body := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(1, 1))
			f.g.Expect(status).To(Equal(http.StatusAccepted), body)
			runs := func() int { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["item0"] }
			f.g.Consistently(runs, 20*time.Second).Should(BeNumerically("<=", tt.bound))
			f.expectListed("job1", "dead_letter")
			f.g.Expect(runs()).To(BeNumerically("<=", tt.bound))
		})
	}
}

// TestItemIsRunAgainAfterAnyNumberOfLostOwners guards against an item that would succeed being withheld because its
// owners were lost during its runs, before its first output.
func TestItemIsRunAgainAfterAnyNumberOfLostOwners(t *testing.T) {
	// finishTime is the time within which open items have to be done once all is calm.
	const finishTime = 18 * time.Second
	for _, losses := range []int{3, 5, 10} {
		t.Run(strconv.Itoa(losses), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			var owner atomic.Pointer[losingStore]
			f.onRun = func(_ http.ResponseWriter, r *http.Request) bool {
				if s := owner.Load(); s != nil {
					s.lose()
					f.hang(r)
				}
				return false
			}
			runs := func() int { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["item0"] }
			for n := range losses {
				s := &losingStore{}
				owner.Store(s)
				e := f.startLosing("front", s)
				f.entries = []*entry{e}
				if n == 0 {
					f.configureBatch(1, time.Hour)
					status, body := f.call(e, http.MethodPost, "/batch/j", "job1", jobBody(1, 1))
					f.g.Expect(status).To(Equal(http.StatusAccepted), body)
				}
				f.g.Eventually(runs, finishTime).Should(Equal(n+1), "the item is run again")
				f.g.Eventually(s.isLost, timeout).Should(BeTrue())
			}
			owner.Store(nil)
			f.entries = []*entry{f.start("front")}
			f.g.Eventually(func() int { return f.get("http://" + f.entries[0].settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
			f.g.Eventually(func() int { return len(f.results(f.entries[0], "job1", 0).Results) }, finishTime).Should(Equal(1))
			f.expectDone("job1", 1)
		})
	}
}

// TestFirstOutputAfterALossIsSaved guards against an item that would succeed being withheld because
// several of its owners were lost in the middle of a run: its first output shows that it isn't one
// that fails at each run.
func TestFirstOutputAfterALossIsSaved(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.events, f.interval = 400, 50*time.Millisecond
	s := &losingStore{}
	f.entries = append(f.entries, f.startLosing("lost", s))
	f.configureBatch(1, time.Minute)
	status, body := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(1, 1))
	f.g.Expect(status).To(Equal(http.StatusAccepted), body)
	f.g.Eventually(func() int { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["item0"] }, timeout).Should(Equal(1))
	s.lose()
	f.start("successor")
	f.g.Eventually(func() int { return f.savedProgress("job1/0/0") }, timeout).Should(And(BeNumerically(">", 0), BeNumerically("<", 100)))
}

// savedProgress returns the size of the saved progress of an item, in bytes.
func (f *fleet) savedProgress(key string) int {
	for n := range f.entries[0].settings.Partitions {
		page, err := f.store.Newest(context.Background(), sardinerock.PartitionName("progress", n), "")
		f.g.Expect(err).NotTo(HaveOccurred())
		for _, r := range page.Records {
			if r.Key == key {
				return len(r.Value)
			}
		}
	}
	return 0
}

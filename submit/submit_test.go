package submit

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/memkv"
	"github.com/sardinerock/sardinerock/platform"
	"github.com/sardinerock/sardinerock/watch"
)

const (
	jobsTopic = "jobs"
	workTopic = "work"
)

// newHandler returns a handler that reads the topics only when the test calls readAll or a request needs them.
func newHandler(store *memkv.Store) *Handler {
	events := &event.Logger{}
	l := &ledger.Ledger{Events: events}
	l.Prepare()
	follow := func(topic string, apply func([]sardinerock.StoreRecord, bool)) *watch.Follower {
		f := &watch.Follower{Store: store, Topic: topic, Apply: apply, Events: events}
		f.Prepare()
		return f
	}
	return &Handler{
		Owner: func(string) (string, int64) { return "a", 1 }, NotifyOwner: func(*ledger.Accepted) {},
		Blobs: &blobs.Client{
			Store: store, Topics: blobs.Topics{Bodies: "bodies", Results: "results", Progress: "progress"}, Partitions: 3,
			RecordBytes: 1000, AppendBytes: 50_000, Events: events, Metrics: metrics.NewRegistry(),
		},
		Dialect: platform.Dialect{}, Batch: platform.Dialect{}, Ledger: l, Events: events, Metrics: metrics.NewRegistry(),
		JobFollower: follow(jobsTopic, l.ApplyJobs), WorkFollower: follow(workTopic, l.ApplyWork),
	}
}

// readAll reads both topics up to their ends.
func (h *Handler) readAll(g *WithT) {
	g.Expect(h.JobFollower.Sync(context.Background())).To(Succeed())
	g.Expect(h.WorkFollower.Sync(context.Background())).To(Succeed())
}

// appendChanges writes changes to the store as another entry would.
func appendChanges(g *WithT, store *memkv.Store, topic string, change func(p *ledger.Plan)) {
	other := newHandler(store)
	other.readAll(g)
	p := other.Ledger.NewPlan(1 << 20)
	p.Change = ledger.ChangeName("other", 1, 0)
	change(p)
	_, err := store.Append(context.Background(), topic, p.Records)
	g.Expect(err).NotTo(HaveOccurred())
}

func acceptJob(g *WithT, store *memkv.Store, id string) {
	appendChanges(g, store, jobsTopic, func(p *ledger.Plan) {
		v, err := p.Accept(&ledger.Accepted{ID: id, Route: "r", Tokens: []int64{1}}, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v).To(Equal(ledger.Applied))
	})
}

func finishJob(g *WithT, store *memkv.Store, id string) {
	text, err := newHandler(store).Blobs.WriteResult(context.Background(), id, 0, "text")
	g.Expect(err).NotTo(HaveOccurred())
	appendChanges(g, store, workTopic, func(p *ledger.Plan) {
		v, err := p.Finish(id, 0, &ledger.Outcome{Item: "item", Succeeded: true, Text: text})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v).To(Equal(ledger.Applied))
	})
}

func readResults(h *Handler, id string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.Call(w, httptest.NewRequest(http.MethodGet, "/", nil), sardinerock.BatchCall{Kind: sardinerock.BatchRead, Job: id})
	return w
}

// A caller has read a result at one entry and asks another one, whose view is seconds old.
// Answering that there is no result would make it disappear for the caller. The entry must
// answer 503 while the store rejects its reads, and show the result once its view is as
// recent as the request.
func TestOutdatedEntryHidesNoResult(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	acceptJob(g, store, "job")
	h := newHandler(store)
	h.SettleTime = 20 * time.Millisecond
	h.readAll(g)
	finishJob(g, store, "job")
	time.Sleep(2 * h.SettleTime)

	store.Fault = func(string, string) memkv.Fault { return memkv.Reject }
	w := readResults(h, "job")
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())

	store.Fault = nil
	w = readResults(h, "job")
	g.Expect(w.Code).To(Equal(http.StatusOK))
	g.Expect(w.Body.String()).To(ContainSubstring("succeeded"))
}

// A job was just accepted elsewhere and is preceded by more records than one read of the
// store returns. An entry that takes the first page for the whole topic would answer that the
// job does not exist.
func TestJobBehindManyRecordsIsFound(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{ReadSize: 2}
	h := newHandler(store)
	h.readAll(g)
	for _, id := range []string{"a", "b", "c", "d", "job"} {
		acceptJob(g, store, id)
	}
	g.Expect(h.checkExists(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil), sardinerock.BatchCall{Job: "job"})).To(BeTrue())
	g.Expect(h.checkExists(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil), sardinerock.BatchCall{Job: "none"})).To(BeFalse())
}

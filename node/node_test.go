package node_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/memkv"
	"github.com/sardinerock/sardinerock/node"
	"github.com/sardinerock/sardinerock/owner"
	"github.com/sardinerock/sardinerock/platform"
)

// timeout bounds every wait in these tests. It is long because the machine may be busy.
const timeout = 30 * time.Second

// fleet is a few entries in this process, with a store in memory and backend servers
// that stream events.
type fleet struct {
	// adjust, if set, changes the settings of entries before they start.
	adjust  func(s *conf.Node)
	t       *testing.T
	g       *WithT
	store   *memkv.Store
	entries []*entry
	// events is how many events a backend server sends for a request, one per interval.
	events   int
	interval time.Duration
	// runs counts the runs of each request, and resumed holds the event ids after which it was
	// resumed; mu guards both.
	mu      sync.Mutex
	runs    map[string]int
	resumed map[string][]string
	status  atomic.Int32
	// endsAfter is after how many events of a response a backend server ends the connection; 0 for never.
	endsAfter int
	// onRun, if set, is called when a run has reached a backend server, before it writes. It returns true if it
	// has written the response.
	onRun func(w http.ResponseWriter, r *http.Request) bool
}

type entry struct {
	settings *conf.Node
	stop     context.CancelFunc
	done     chan error
}

const (
	configTopic  = "operator"
	serversTopic = "servers"
)

func newFleet(t *testing.T, entries int) *fleet {
	f := prepareFleet(t)
	f.configure(1, "/letters/")
	for i := range 2 {
		f.startBackend(fmt.Sprint("i-", i))
	}
	f.startEntries(entries)
	return f
}

// prepareFleet returns a fleet without a configuration, backend servers and entries.
func prepareFleet(t *testing.T) *fleet {
	f := &fleet{t: t, g: NewWithT(t), store: &memkv.Store{PageSize: 50}, events: 5, interval: time.Millisecond, runs: map[string]int{}, resumed: map[string][]string{}}
	f.status.Store(http.StatusOK)
	return f
}

// startEntries starts entries and waits until they are ready.
func (f *fleet) startEntries(count int) {
	for i := range count {
		f.entries = append(f.entries, f.start(fmt.Sprint("front-", i)))
	}
	for _, e := range f.entries {
		f.g.Eventually(func() int { return f.get("http://" + e.settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
	}
}

func (f *fleet) put(topic, key, value string) {
	_, err := f.store.Append(context.Background(), topic, []sardinerock.StoreRecord{{Key: key, Value: []byte(value)}})
	f.g.Expect(err).NotTo(HaveOccurred())
}

// configure stores a configuration with a batch route and an online route of the given path prefix.
func (f *fleet) configure(version int, prefix string) {
	f.put(configTopic, "config", fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"b","host":"h","path_prefix":"/batch/","kind":"batch","service":"s","max_attempts":2,"completion_target_ms":18000,"retention_s":60,"max_count":100},
		{"name":"l","host":"h","path_prefix":%q,"kind":"streaming","resumable":true,"service":"s","max_attempts":2,"timeout_ms":5000,"target_latency_ms":300}],
		"limits":{"max_body_bytes":100000,"idle_timeout_ms":15000}}`, version, prefix))
}

// startBackend registers a backend server that streams the events of a request, starting after the last
// event id that the request names.
func (f *fleet) startBackend(id string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Request-Id")
		f.mu.Lock()
		onRun := f.onRun
		f.runs[request]++
		if after := r.Header.Get("Last-Event-Id"); after != "" {
			f.resumed[request] = append(f.resumed[request], after)
		}
		f.mu.Unlock()
		w.Header().Set("Request-Id", request)
		w.Header().Set("Response-Signature", "sig")
		if onRun != nil && onRun(w, r) {
			return
		}
		if r.Header.Get("Expect-Instance") != id {
			f.t.Errorf("%s expects instance %q at %s", request, r.Header.Get("Expect-Instance"), id)
		}
		if status := int(f.status.Load()); status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := first + 1; i <= f.events; i++ {
			if f.endsAfter > 0 && i > first+f.endsAfter {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, request, i)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(f.interval):
			}
		}
	}))
	f.t.Cleanup(s.Close)
	f.put(serversTopic, id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":4,"state":"ready","sequence":1,"born":1767225600001}`, s.Listener.Addr()))
}

// hang keeps a run from writing until its request is cancelled, or the test ends.
func (f *fleet) hang(r *http.Request) {
	// The server notices that a connection was closed once it has read the request.
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-r.Context().Done():
	case <-f.t.Context().Done():
	}
}

// addresses counts the loopback addresses that tests have used.
var addresses atomic.Int32

// freeAddress returns a free port on a loopback address that nothing else uses. A port on
// 127.0.0.1 may be taken by an outgoing connection before it is used.
func freeAddress(g *WithT) string {
	pid, n := os.Getpid(), addresses.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, 1+n/250, 1+n%250))
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// revokeTimeout is the time within which revoked keys must be rejected.
const revokeTimeout = 4 * time.Second

func (f *fleet) start(name string) *entry { return f.startWith(name, f.store) }

func (f *fleet) startWith(name string, store sardinerock.Store) *entry {
	e := &entry{done: make(chan error, 1), settings: &conf.Node{
		ID: name, Zone: "z", CallerAddress: freeAddress(f.g), ReadyAddress: freeAddress(f.g), PeerAddress: freeAddress(f.g),
		MetricsAddress: freeAddress(f.g), RecordBytes: 1000, AppendBytes: 50_000, Partitions: 4, ShutdownTimeout: 5 * time.Second, KeepResults: time.Hour,
		StrictRevoke: true, RevokeTimeout: revokeTimeout,
	}}
	if f.adjust != nil {
		f.adjust(e.settings)
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	n := &node.Node{
		Settings: e.settings, Store: store, Dialect: platform.Dialect{}, Batch: platform.Dialect{}, Events: &event.Logger{}, Metrics: metrics.NewRegistry(),
		Topics: node.Topics{Configuration: configTopic, ConfigurationKey: "config", Servers: serversTopic, Members: "members", Jobs: "jobs", Work: "work", Versions: "versions", Streams: "streams", Verdicts: "verdicts",
			Blobs: blobs.Topics{Bodies: "bodies", Results: "results", Progress: "progress"}},
		ParseTable: platform.ParseConfiguration, ParseServer: platform.ParseServer,
	}
	go func() { e.done <- n.Run(ctx) }()
	f.t.Cleanup(func() {
		stop()
		select {
		case err := <-e.done:
			f.g.Expect(err).NotTo(HaveOccurred())
		case <-time.After(timeout):
			f.t.Error("entry did not stop in time")
		}
	})
	return e
}

func (f *fleet) get(url string) int {
	answer, err := http.Get(url)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// call sends a request to an entry and returns the status and the body.
func (f *fleet) call(e *entry, method, path, id, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+e.settings.CallerAddress+path, strings.NewReader(body))
	f.g.Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	answer, err := http.DefaultClient.Do(r)
	f.g.Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	f.g.Expect(err).NotTo(HaveOccurred())
	return answer.StatusCode, string(raw)
}

func jobBody(items, tokens int) string {
	var list []string
	for i := range items {
		list = append(list, fmt.Sprintf(`{"id":"item%d","path":"/batch/x/%d","headers":{"Model":"m"},"body":%q,"tokens":%d}`,
			i, i, base64.StdEncoding.EncodeToString([]byte(fmt.Sprint("body ", i))), tokens))
	}
	return `{"items":[` + strings.Join(list, ",") + `]}`
}

type results struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct{ ID, State, Text string }
}

func (f *fleet) results(e *entry, job string, after int) results {
	status, body := f.call(e, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", job, after), "", "")
	f.g.Expect(status).To(Equal(http.StatusOK), body)
	var r results
	f.g.Expect(json.Unmarshal([]byte(body), &r)).To(Succeed())
	return r
}

// expectDone waits until all items of a job have succeeded. Each must be listed once, with its complete
// text, and at the same position at every entry.
func (f *fleet) expectDone(job string, items int) {
	f.g.Eventually(func() int { return len(f.results(f.entries[0], job, 0).Results) }, timeout).Should(Equal(items))
	first := f.results(f.entries[0], job, 0)
	seen := map[string]bool{}
	for _, r := range first.Results {
		f.g.Expect(seen[r.ID]).To(BeFalse(), "item listed twice")
		seen[r.ID] = true
		f.g.Expect(r.State).To(Equal("succeeded"))
		var lines []string
		for i := 1; i <= f.events; i++ {
			lines = append(lines, fmt.Sprintf("%s %d", r.ID, i))
		}
		f.g.Expect(r.Text).To(Equal(strings.Join(lines, "\n")))
	}
	for _, e := range f.entries[1:] {
		f.g.Eventually(func() results { return f.results(e, job, 0) }, timeout).Should(Equal(first))
	}
}

// One fleet serves an online request and a batch job, whose body and results can be read at
// another entry than the one that accepted it.
func TestOnlineAndBatch(t *testing.T) {
	f := newFleet(t, 2)
	status, body := f.call(f.entries[0], http.MethodPost, "/letters/x", "r1", "")
	f.g.Expect(status).To(Equal(http.StatusOK))
	f.g.Expect(body).To(HavePrefix("id: 1\ndata: r1 1\n\n"))
	f.g.Expect(strings.Count(body, "id:")).To(Equal(5))

	status, body = f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(6, 1))
	f.g.Expect(status).To(Equal(http.StatusAccepted), body)
	// The caller sends the job again right away, and another entry receives it.
	status, _ = f.call(f.entries[1], http.MethodPost, "/batch/j", "job1", jobBody(6, 1))
	f.g.Expect(status).To(Equal(http.StatusAccepted))
	status, body = f.call(f.entries[1], http.MethodGet, "/v1/items/job1?id=item3", "", "")
	f.g.Expect(status).To(Equal(http.StatusOK))
	f.g.Expect(body).To(Equal("body 3"))
	f.expectDone("job1", 6)
	f.g.Expect(f.results(f.entries[1], "job1", 4).Next).To(Equal(6))
	f.g.Expect(f.get("http://" + f.entries[0].settings.MetricsAddress + "/metrics")).To(Equal(http.StatusOK))
}

// Each kind of invalid request has its own status, so that callers know which ones to retry.
func TestStatusOfInvalidBatchRequests(t *testing.T) {
	f := newFleet(t, 1)
	e := f.entries[0]
	for name, tt := range map[string]struct {
		method, path, id, body string
		status                 int
	}{
		"unknown job":     {http.MethodGet, "/v1/lots/none", "", "", 404},
		"unknown item":    {http.MethodGet, "/v1/items/none?id=a", "", "", 404},
		"end unknown job": {http.MethodDelete, "/v1/lots/none", "", "", 404},
		"invalid JSON":    {http.MethodPost, "/batch/j", "j", "{", 400},
		"missing id":      {http.MethodPost, "/batch/j", "", jobBody(1, 1), 400},
		"id with a slash": {http.MethodPost, "/batch/j", "a/b", jobBody(1, 1), 400},
		"over the quota":  {http.MethodPost, "/batch/j", "big", jobBody(2, 60), 429},
		"invalid method":  {http.MethodPut, "/batch/j", "j", jobBody(1, 1), 405},
		"unknown path":    {http.MethodPost, "/none/", "r", "", 404},
	} {
		t.Run(name, func(t *testing.T) {
			status, body := f.call(e, tt.method, tt.path, tt.id, tt.body)
			NewWithT(t).Expect(status).To(Equal(tt.status), body)
		})
	}
}

// When a caller ends its job, running items are aborted and no more start. Ending it again at
// another entry succeeds too.
func TestEndedJobStops(t *testing.T) {
	f := newFleet(t, 2)
	f.events, f.interval = 1000, 10*time.Millisecond
	status, _ := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(3, 1))
	f.g.Expect(status).To(Equal(http.StatusAccepted))
	f.g.Eventually(func() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.runs) }, timeout).Should(Equal(3))
	for _, e := range f.entries {
		status, _ = f.call(e, http.MethodDelete, "/v1/lots/job1", "", "")
		f.g.Expect(status).To(Equal(http.StatusOK))
	}
	time.Sleep(time.Second)
	f.mu.Lock()
	before := fmt.Sprint(f.runs)
	f.mu.Unlock()
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.g.Expect(fmt.Sprint(f.runs)).To(Equal(before))
}

// An item that fails in each run is given up after the route's number of attempts, one that a
// backend server rejects as invalid after the first.
func TestItemsThatFailAreGivenUp(t *testing.T) {
	for name, tt := range map[string]struct{ status, runs int }{"server error": {500, 2}, "invalid request": {422, 1}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.status.Store(int32(tt.status))
			f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(1, 1))
			f.g.Eventually(func() int { return len(f.results(f.entries[0], "job1", 0).Results) }, timeout).Should(Equal(1))
			f.g.Expect(f.results(f.entries[0], "job1", 0).Results[0].State).To(Equal("dead_letter"))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.g.Expect(f.runs["item0"]).To(Equal(tt.runs))
		})
	}
}

// An item fails in each run while the owners of its job are stopped one after the other. The
// attempts of earlier owners count: each new owner must not start again from zero.
func TestAttemptsCountAcrossOwners(t *testing.T) {
	const attempts = 6
	f := newFleet(t, 4)
	f.status.Store(http.StatusInternalServerError)
	f.put(configTopic, "config", fmt.Sprintf(`{"version":9,"routes":[{"name":"b","host":"h","path_prefix":"/batch/","kind":"batch",
		"service":"s","max_attempts":%d,"completion_target_ms":18000,"retention_s":60,"max_count":100}]}`, attempts))
	f.g.Eventually(func() int { status, _ := f.call(f.entries[0], http.MethodPost, "/letters/x", "r", ""); return status }, timeout).Should(Equal(404))
	f.g.Eventually(func() int { status, _ := f.call(f.entries[3], http.MethodPost, "/letters/x", "r", ""); return status }, timeout).Should(Equal(404))
	status, _ := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(1, 1))
	f.g.Expect(status).To(Equal(http.StatusAccepted))
	runs := func() int { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["item0"] }
	live := []string{"front-0", "front-1", "front-2", "front-3"}
	for stopped := 0; stopped < 2; stopped++ {
		before := runs()
		f.g.Eventually(runs, timeout).Should(BeNumerically(">", before))
		owner := owner.Of("job1", live)
		for i, e := range f.entries {
			if e.settings.ID == owner {
				e.stop()
				live = slices.DeleteFunc(live, func(name string) bool { return name == owner })
				f.entries = slices.Delete(f.entries, i, i+1)
				break
			}
		}
	}
	f.g.Eventually(func() int { return len(f.results(f.entries[0], "job1", 0).Results) }, timeout).Should(Equal(1))
	f.g.Expect(f.results(f.entries[0], "job1", 0).Results[0].State).To(Equal("dead_letter"))
	f.g.Expect(runs()).To(BeNumerically("~", attempts, 1))
}

// Entries stop while they run items. Another entry takes over their jobs and resumes from the
// progress in the store, so that the caller gets each event once.
func TestItemsResumeAtAnotherEntry(t *testing.T) {
	f := newFleet(t, 3)
	f.events, f.interval = 300, 12*time.Millisecond
	status, _ := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(4, 1))
	f.g.Expect(status).To(Equal(http.StatusAccepted))
	f.g.Eventually(func() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.runs) }, timeout).Should(Equal(4))
	time.Sleep(2 * time.Second)
	f.entries[2].stop()
	f.entries = f.entries[:2]
	f.entries[1].stop()
	f.entries = f.entries[:1]
	f.expectDone("job1", 4)
}

// The store is unavailable to all entries. Online requests are still served, new jobs are rejected with
// 503, and a job accepted before completes once the store is back.
func TestStoreUnavailable(t *testing.T) {
	f := newFleet(t, 2)
	f.events, f.interval = 100, 10*time.Millisecond
	status, _ := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(2, 1))
	f.g.Expect(status).To(Equal(http.StatusAccepted))
	var storeDown atomic.Bool
	f.store.SetFault(func(string, string) memkv.Fault {
		if storeDown.Load() {
			return memkv.Reject
		}
		return memkv.NoFault
	})
	storeDown.Store(true)
	status, _ = f.call(f.entries[0], http.MethodPost, "/letters/x", "r1", "")
	f.g.Expect(status).To(Equal(http.StatusOK))
	status, _ = f.call(f.entries[1], http.MethodPost, "/batch/j", "job2", jobBody(2, 1))
	f.g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	status, _ = f.call(f.entries[1], http.MethodGet, "/v1/lots/job2", "", "")
	f.g.Expect(status).To(Equal(http.StatusServiceUnavailable), "without the store it is unknown whether the job exists")
	f.g.Expect(f.get("http://" + f.entries[0].settings.ReadyAddress)).To(Equal(http.StatusOK))
	time.Sleep(2 * time.Second)
	storeDown.Store(false)
	f.expectDone("job1", 2)
}

// A new configuration takes effect without a restart, and one with a lower version is ignored.
func TestConfigurationChanges(t *testing.T) {
	f := newFleet(t, 1)
	e := f.entries[0]
	f.configure(7, "/notes/")
	f.g.Eventually(func() int { status, _ := f.call(e, http.MethodPost, "/notes/x", "r1", ""); return status }, timeout).Should(Equal(http.StatusOK))
	f.configure(3, "/letters/")
	time.Sleep(500 * time.Millisecond)
	status, _ := f.call(e, http.MethodPost, "/notes/x", "r2", "")
	f.g.Expect(status).To(Equal(http.StatusOK))
	status, _ = f.call(e, http.MethodPost, "/letters/x", "r3", "")
	f.g.Expect(status).To(Equal(http.StatusNotFound))
}

// An entry is stopped during a request. The readiness check fails at once, so that the load balancer
// takes the entry out of rotation; the answer is completed, and new requests are served meanwhile.
func TestShutdownCompletesRequests(t *testing.T) {
	f := newFleet(t, 2)
	f.events, f.interval = 100, 20*time.Millisecond
	type answer struct {
		status int
		body   string
	}
	got := make(chan answer, 1)
	go func() {
		status, body := f.call(f.entries[0], http.MethodPost, "/letters/x", "r1", "")
		got <- answer{status, body}
	}()
	time.Sleep(300 * time.Millisecond)
	f.entries[0].stop()
	f.g.Eventually(func() int { return f.get("http://" + f.entries[0].settings.ReadyAddress) }, timeout).Should(Equal(http.StatusServiceUnavailable))
	status, body := f.call(f.entries[0], http.MethodPost, "/letters/x", "r2", "")
	f.g.Expect(status).To(Equal(http.StatusOK))
	f.g.Expect(strings.Count(body, "id:")).To(Equal(100))
	a := <-got
	f.g.Expect(a.status).To(Equal(http.StatusOK))
	f.g.Expect(strings.Count(a.body, "id:")).To(Equal(100))
}

// The other entries removed an entry from the list of members after a long network partition. It must
// register again once it reads this, or no messages would be exchanged with it.
func TestRemovedMemberJoinsAgain(t *testing.T) {
	f := newFleet(t, 2)
	listed := func() []string {
		page, err := f.store.Newest(context.Background(), "members", "")
		f.g.Expect(err).NotTo(HaveOccurred())
		var names []string
		for _, r := range page.Records {
			names = append(names, r.Key)
		}
		return names
	}
	f.g.Eventually(listed, timeout).Should(Equal([]string{"front-0", "front-1"}))
	_, err := f.store.Append(context.Background(), "members", []sardinerock.StoreRecord{{Key: "front-0"}})
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(listed()).To(Equal([]string{"front-1"}))
	f.g.Eventually(listed, timeout).Should(Equal([]string{"front-0", "front-1"}))
}

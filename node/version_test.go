package node_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

// serverSlots is the number of requests that a backend server runs at once.
const serverSlots = 4

// versions is a fleet whose backend servers name their service and their software version in each event.
type versions struct {
	*fleet
	// cutAfter is after how many events a backend server ends the first run of a request; 0 for never.
	cutAfter int

	mu      sync.Mutex
	started map[string]int
}

// newVersions starts entries, and a backend server of service s for each version.
func newVersions(t *testing.T, entries int, list ...string) *versions {
	f := &versions{fleet: prepareFleet(t), started: map[string]int{}}
	f.events, f.interval = 10, 10*time.Millisecond
	f.configure(1, "/letters/")
	for i, version := range list {
		f.startVersion(fmt.Sprint("i-", i), "s", version)
	}
	f.startEntries(entries)
	for _, e := range f.entries {
		f.g.Eventually(func() string { return f.page("http://" + e.settings.MetricsAddress) }, timeout).Should(ContainSubstring(fmt.Sprintf("sardinerock_peers_live %d\n", entries)))
	}
	return f
}

// startVersion registers a backend server that runs as many requests as it has slots, queues half as many, and
// rejects all others.
func (f *versions) startVersion(id, service, version string) {
	slots := make(chan struct{}, serverSlots)
	var accepted atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Request-Id")
		defer accepted.Add(-1)
		if accepted.Add(1) > serverSlots*3/2 {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
		f.started[request]++
		cut := f.started[request] == 1 && f.cutAfter > 0
		f.mu.Unlock()
		w.Header().Set("Request-Id", request)
		w.Header().Set("Response-Signature", "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := first + 1; i <= f.events; i++ {
			if cut && i > first+f.cutAfter {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "id: %d\ndata: %s-%s %d\n\n", i, service, version, i)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(f.interval):
			}
		}
	}))
	f.t.Cleanup(s.Close)
	f.put(serversTopic, id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":%q,"slots":%d,"state":"ready","sequence":1}`, service, s.Listener.Addr(), version, serverSlots))
}

// deregister removes a backend server from the list and waits until all entries send it nothing.
func (f *versions) deregister(id string) {
	_, err := f.store.Append(context.Background(), serversTopic, []sardinerock.StoreRecord{{Key: id}})
	f.g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(2 * time.Second)
}

func (f *versions) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[id]
}

// part is what a caller has of a stream.
type part struct {
	status int
	events []string
	// writers are the services and versions that the events name.
	writers map[string]bool
}

var eventData = regexp.MustCompile(`^data: (\S+) (\d+)$`)

// send sends a request. An entry that is overloaded closes new connections unread; callers then send the request again on a
// new one, within its time.
func (f *versions) send(r *http.Request) *http.Response {
	for until := time.Now().Add(callerTime); ; {
		answer, err := http.DefaultClient.Do(r)
		if err == nil || time.Now().After(until) {
			f.g.Expect(err).NotTo(HaveOccurred())
			return answer
		}
		time.Sleep(retryTime)
	}
}

const (
	// callerTime is how long a caller waits, and retryTime the time between two tries on new connections.
	callerTime = 5 * time.Second
	retryTime  = 100 * time.Millisecond
)

// read requests a stream, or what follows the events that the caller has, and disconnects after a number of events.
func (f *versions) read(e *entry, id, resumes string, has, limit int) part {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.settings.CallerAddress+"/letters/"+id, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	if has > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(has))
	}
	if resumes != "" {
		r.Header.Set("Resumes", resumes)
	}
	answer := f.send(r)
	defer answer.Body.Close()
	p := part{status: answer.StatusCode, writers: map[string]bool{}}
	for lines := bufio.NewScanner(answer.Body); len(p.events) < limit && lines.Scan(); {
		if m := eventData.FindStringSubmatch(lines.Text()); m != nil {
			p.writers[m[1]] = true
			p.events = append(p.events, m[2])
		}
	}
	return p
}

// TestResumedStreamGoesOnAtItsVersion guards against a stream that its caller resumes, at the same entry or another
// one, being continued by another software version or service, and against its rejection although it can go on.
func TestResumedStreamGoesOnAtItsVersion(t *testing.T) {
	const streams = 20
	for name, tt := range map[string]struct {
		versions []string
		// path holds the entries of the attempts.
		path []int
	}{
		"at the same entry":            {[]string{"v1", "v2", "v1", "v2"}, []int{0, 0}},
		"at another entry":             {[]string{"v1", "v2", "v1", "v2"}, []int{0, 1}},
		"at another entry, two of six": {[]string{"v1", "v2", "v1", "v2", "v2", "v2", "v2", "v2"}, []int{0, 1}},
		"twice":                        {[]string{"v1", "v2", "v1", "v2"}, []int{0, 1, 2}},
		"three versions":               {[]string{"v1", "v2", "v3", "v1", "v2", "v3"}, []int{0, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersions(t, 3, tt.versions...)
			f.expectContinued(streams, tt.path)
		})
	}
	t.Run("began before the second version", func(t *testing.T) {
		t.Parallel()
		f := newVersions(t, 3, "v1", "v1")
		f.events, f.interval = 30, 100*time.Millisecond
		var begun sync.WaitGroup
		for n := range 6 {
			begun.Go(func() { f.read(f.entries[0], fmt.Sprint("early-", n), "", 0, 25) })
		}
		for n := range 6 {
			f.g.Eventually(func() int { return f.runsOf(fmt.Sprint("early-", n)) }, timeout).Should(Equal(1))
		}
		for i := range 4 {
			f.startVersion(fmt.Sprint("new-", i), "s", "v2")
		}
		begun.Wait()
		for n := range 6 {
			rest := f.read(f.entries[1], fmt.Sprint("late-", n), fmt.Sprint("early-", n), 25, 30)
			f.g.Expect(rest.status).To(Equal(http.StatusOK))
			f.g.Expect(rest.writers).To(Equal(map[string]bool{"s-v1": true}))
		}
	})
	t.Run("services of one route", func(t *testing.T) {
		t.Parallel()
		f := newVersions(t, 2, "v1", "v1")
		f.startVersion("u-0", "u", "v1")
		f.startVersion("u-1", "u", "v1")
		f.put(configTopic, "config", `{"version":2,"routes":[{"name":"l","host":"h","path_prefix":"/letters/","kind":"streaming","resumable":true,
			"traffic_split":[{"service":"s","weight":1},{"service":"u","weight":1}],"max_attempts":2,"timeout_ms":5000,"target_latency_ms":300}]}`)
		f.g.Eventually(func() map[string]bool { return f.read(f.entries[0], "probe", "", 0, 10).writers }, timeout).Should(HaveKey("u-v1"))
		f.g.Eventually(func() map[string]bool { return f.read(f.entries[1], "probe", "", 0, 10).writers }, timeout).Should(HaveKey("u-v1"))
		f.expectContinued(streams, []int{0, 1})
	})
}

// expectContinued begins streams at the first entry of a path and resumes each at the others after three events.
// No stream may hold events of two writers, and at least half of them have to go on.
func (f *versions) expectContinued(streams int, path []int) {
	f.t.Helper()
	mixed, whole := 0, 0
	for n := range streams {
		first := fmt.Sprint("begins-", n)
		writers, has := map[string]bool{}, 0
		for attempt, entry := range path {
			id, resumes, limit := first, "", f.events
			if attempt > 0 {
				id, resumes = fmt.Sprint(first, "-", attempt), first
			}
			if attempt < len(path)-1 {
				limit = 3
			}
			p := f.read(f.entries[entry], id, resumes, has, limit)
			has += len(p.events)
			for w := range p.writers {
				writers[w] = true
			}
		}
		if len(writers) > 1 {
			mixed++
		}
		if has == f.events {
			whole++
		}
	}
	f.g.Expect(mixed).To(BeZero(), "streams with events of two writers")
	f.g.Expect(whole).To(BeNumerically(">=", streams/2), "streams that went on")
}

// TestResumedStreamsFindRoomUnderLoad guards against streams that only two of ten backend servers can continue
// losing against new ones, which any may begin, while there are more requests than slots.
func TestResumedStreamsFindRoomUnderLoad(t *testing.T) {
	t.Parallel()
	f := newVersions(t, 2, "v1", "v2", "v2", "v2", "v2", "v1", "v2", "v2", "v2", "v2")
	f.interval = 50 * time.Millisecond
	var sent, begun, resumed, wentOn, mixed atomic.Int32
	stop := time.Now().Add(6 * time.Second)
	var callers sync.WaitGroup
	for n := range 60 {
		callers.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				id := fmt.Sprintf("load-%d-%d", n, i)
				p := f.read(f.entries[n%2], id, "", 0, 1+n%f.events)
				sent.Add(1)
				if len(p.events) == 0 {
					continue
				}
				begun.Add(1)
				if !p.writers["s-v1"] || len(p.events) == f.events {
					continue
				}
				rest := f.read(f.entries[(n+1)%2], id+"-2", id, len(p.events), f.events)
				resumed.Add(1)
				if len(rest.events) > 0 {
					wentOn.Add(1)
				}
				if len(rest.writers) > 0 && !rest.writers["s-v1"] {
					mixed.Add(1)
				}
			}
		})
	}
	callers.Wait()
	t.Logf("%d of %d streams began, %d of %d resumed ones went on", begun.Load(), sent.Load(), wentOn.Load(), resumed.Load())
	f.g.Expect(mixed.Load()).To(BeZero())
	f.g.Expect(resumed.Load()).To(BeNumerically(">=", 12))
	f.g.Expect(2 * wentOn.Load() * sent.Load()).To(BeNumerically(">=", begun.Load()*resumed.Load()))
}

// TestResumptionThatCannotGoOnIsRejected guards against a stream being continued although it isn't known which
// software version began it, or none of that version serves, and against its caller waiting for that.
func TestResumptionThatCannotGoOnIsRejected(t *testing.T) {
	for name, resumes := range map[string]string{
		"unknown":      "r-unknown",
		"none named":   "",
		"names itself": "late",
		"too long":     strings.Repeat("x", 5000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersions(t, 2, "v1", "v2", "v1", "v2")
			f.expectRejected("late", resumes)
		})
	}
	t.Run("version has left", func(t *testing.T) {
		t.Parallel()
		f := newVersions(t, 2, "v1", "v2", "v2")
		var begun part
		id := ""
		for n := 0; !begun.writers["s-v1"]; n++ {
			id = fmt.Sprint("begins-", n)
			begun = f.read(f.entries[0], id, "", 0, 3)
		}
		f.deregister("i-0")
		f.expectRejected("late", id)
	})
}

// expectRejected resumes a stream, which has to be rejected as not run at once.
func (f *versions) expectRejected(id, resumes string) {
	f.t.Helper()
	sent := time.Now()
	for _, e := range f.entries {
		f.g.Expect(f.read(e, id, resumes, 3, 10).status).To(Equal(http.StatusServiceUnavailable))
	}
	f.g.Expect(f.runsOf(id)).To(BeZero())
	f.g.Expect(time.Since(sent)).To(BeNumerically("<", 2*time.Second))
}

// TestOnlyVersionServesResumedStreams guards against resumed streams being rejected while all backend servers run
// one software version, also at entries that have just started and don't know who began them.
func TestOnlyVersionServesResumedStreams(t *testing.T) {
	t.Parallel()
	f := newVersions(t, 1, "v1", "v1")
	for _, id := range []string{"r1", "r2"} {
		rest := f.read(f.entries[0], id, "begun-elsewhere", 3, 10)
		f.g.Expect(rest.status).To(Equal(http.StatusOK))
		f.g.Expect(rest.events).To(HaveLen(7))
	}
}

// TestItemGoesOnAtItsVersion guards against the text of an item being joined from the events of two software
// versions: after a broken run, after the loss of its owner, and once its version has left.
func TestItemGoesOnAtItsVersion(t *testing.T) {
	for name, tt := range map[string]struct {
		cutAfter int
		// disturb is called once the job is accepted.
		disturb func(f *versions)
	}{
		"broken run": {100, func(*versions) {}},
		"lost owner": {0, func(f *versions) {
			f.g.Eventually(func() int { return f.runsOf("item0") }, timeout).Should(BeNumerically(">", 0))
			time.Sleep(2 * time.Second)
			owners := f.entries
			f.entries = []*entry{f.start("successor")}
			f.g.Eventually(func() int { return f.get("http://" + f.entries[0].settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
			for _, e := range owners {
				e.stop()
			}
		}},
		"version leaves": {100, func(f *versions) {
			f.g.Eventually(func() int { return f.runsOf("item0") }, timeout).Should(BeNumerically(">", 0))
			_, err := f.store.Append(context.Background(), serversTopic, []sardinerock.StoreRecord{{Key: "i-0"}, {Key: "i-2"}})
			f.g.Expect(err).NotTo(HaveOccurred())
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const items = 8
			f := newVersions(t, 3, "v1", "v2", "v1", "v2")
			f.events, f.interval, f.cutAfter = 700, 12*time.Millisecond, tt.cutAfter
			status, body := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(items, 1))
			f.g.Expect(status).To(Equal(http.StatusAccepted), body)
			tt.disturb(f)
			f.g.Eventually(func() int { return len(f.results(f.entries[0], "job1", 0).Results) }, timeout).Should(Equal(items))
			mixed := 0
			for _, r := range f.results(f.entries[0], "job1", 0).Results {
				f.g.Expect(r.State).To(Equal("succeeded"))
				lines := strings.Split(r.Text, "\n")
				f.g.Expect(lines).To(HaveLen(f.events))
				writers := map[string]bool{}
				for i, line := range lines {
					writer, number, _ := strings.Cut(line, " ")
					f.g.Expect(number).To(Equal(strconv.Itoa(i + 1)))
					writers[writer] = true
				}
				if len(writers) > 1 {
					mixed++
				}
			}
			f.g.Expect(mixed).To(BeZero(), "texts with events of two versions")
		})
	}
}

package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/access"
	"github.com/sardinerock/sardinerock/blame"
	"github.com/sardinerock/sardinerock/clock"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/crash"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/memkv"
	"github.com/sardinerock/sardinerock/origin"
	"github.com/sardinerock/sardinerock/platform"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/relay"
)

// script answers one request on a raw connection.
type script func(c net.Conn, r *http.Request)

// testbed is a relay with three backend servers of one service.
type testbed struct {
	g     *WithT
	table *sardinerock.RouteTable
	pool  *pool.Pool
	front *httptest.Server
	relay *relay.Relay
	// access receives the requests and passes those that it admits to the relay.
	access *access.Access
	// servers holds the backend servers.
	servers []sardinerock.BackendServer

	// tokens is the token usage that callers announce, wait how long they wait for the
	// response, in ms.
	tokens, wait string
	// key is the callers' key, age the age of the configuration.
	key string
	age time.Duration
	// next is a table that replaces the present one while a request is checked, or nil.
	next *sardinerock.RouteTable

	mu      sync.Mutex
	scripts []script
	// fallback is run when no scripts are left.
	fallback script
	requests []*http.Request
	// listeners holds the listeners of the backend servers by their addresses.
	listeners map[string]net.Listener
	// names holds the names of the backend servers by their addresses, and restarted those addresses at which
	// another instance has started since.
	names     map[string]string
	restarted map[string]bool
	// health answers health checks, given the name of the backend server; nil to answer as one that works. checks
	// counts them.
	health func(c net.Conn, name string)
	checks int
}

const service = "models"

func newTestbed(t *testing.T, scripts ...script) *testbed {
	s := &testbed{g: NewWithT(t), scripts: scripts, tokens: "200,50", wait: "900"}
	s.table = &sardinerock.RouteTable{
		Version: 3,
		Limits:  sardinerock.CallerLimits{MaxBodyBytes: 1000},
		Routes: []sardinerock.Route{
			route("/resumable/", sardinerock.RouteStream, 3, true),
			route("/stream/", sardinerock.RouteStream, 3, false),
			route("/safe/", sardinerock.RouteIdempotent, 3, false),
			route("/once/", sardinerock.RouteOnce, 3, false),
			route("/safe/deep/", sardinerock.RouteOnce, 1, false),
		},
		Services: map[string]sardinerock.ServiceInfo{service: {HealthPath: healthPath}},
	}
	s.pool = &pool.Pool{Random: rand.New(rand.NewPCG(1, 1))}
	var list []sardinerock.BackendServer
	for i := range 3 {
		list = append(list, sardinerock.BackendServer{ID: fmt.Sprint("i-", i), Name: fmt.Sprint("i-", i), Service: service, Address: s.listen(t), Slots: 2})
	}
	s.pool.SetServers(list)
	s.servers = list
	s.names, s.restarted = map[string]string{}, map[string]bool{}
	for _, b := range list {
		s.names[b.Address] = b.Name
	}
	l := &relay.Relay{
		Dialect: platform.Dialect{}, Pool: s.pool, Conns: &conns.Conns{Dialect: platform.Dialect{}}, Preempt: func(string) {},
		Crashes: &crash.Counter{}, Blame: &blame.Tracker{}, ViewAge: func() time.Duration { return 0 }, Entries: func() int { return 1 },
		Events: &event.Logger{}, Metrics: metrics.NewRegistry(),
	}
	l.Crashes.Prepare()
	l.Blame.Prepare()
	l.Origins = newLocator()
	l.Origins.SetTable(s.table)
	l.Origins.SetServers(list)
	s.relay = l
	s.access = &access.Access{
		Dialect: platform.Dialect{}, BatchDialect: platform.Dialect{}, Table: s.current, Online: l, Started: s.started(), JobKnown: func(string) bool { return false }, JobsLoaded: func() bool { return true },
		ConfigurationAge: s.configurationAge, Lease: func() time.Duration { return lease }, StoreLostByAll: func() bool { return false }, StoreLost: func() bool { return false },
		Quota: s.quota(), Entries: l.Entries, Events: l.Events, Metrics: l.Metrics,
	}
	s.front = httptest.NewUnstartedServer(s.access)
	s.front.Config.ConnContext = sardinerock.ConnContext
	s.front.Start()
	t.Cleanup(s.front.Close)
	return s
}

// newLocator returns the locator of an entry without peers.
func newLocator() *origin.Locator {
	store := &memkv.Store{PageSize: 1}
	return &origin.Locator{
		Peers: func(uint64) []string { return nil }, AwaitPeers: func(context.Context) {}, Current: func() bool { return true },
		StoreLostByAll: func() bool { return false }, ReadList: func(context.Context, time.Time) bool { return true }, Versions: &origin.Versions{Store: store, Topic: "versions"},
		Streams: &origin.Streams{Store: store, Topic: "streams", Process: "front", RecordBytes: 1000}, Metrics: metrics.NewRegistry(),
	}
}

// lease is the age up to which a configuration admits callers with keys.
const lease = 4500 * time.Millisecond

// current returns the table in force, configurationAge its age. If next is set, it is
// in force after the first of the two reads.
func (s *testbed) current() *sardinerock.RouteTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.applyNext()
	return s.table
}

func (s *testbed) configurationAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.applyNext()
	return s.age
}

func (s *testbed) applyNext() {
	if s.next != nil {
		s.table, s.age, s.next = s.next, 0, nil
	}
}

// quota returns the quotas of one entry.
func (s *testbed) quota() *quota.Teams {
	q := &quota.Teams{
		Bounds: func() quota.Bounds { return quota.Bounds{Window: 5 * time.Second} }, ViewAge: func() time.Duration { return 0 },
		Entries: func() (int, int) { return 1, 1 }, Random: rand.New(rand.NewPCG(1, 1)),
	}
	// The entry runs for a while before it receives these teams.
	q.SetTeams(nil, clock.BootClock().Add(-time.Minute))
	q.SetTeams(s.table.Teams.Teams(), clock.BootClock())
	return q
}

// started returns a closed channel, since the entry has already started.
func (s *testbed) started() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func route(prefix string, kind sardinerock.RouteKind, attempts int, resumable bool) sardinerock.Route {
	return sardinerock.Route{
		Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Resumable: resumable, MaxAttempts: attempts,
		Timeout: time.Second, Shares: []sardinerock.ServiceShare{{Service: service, Weight: 1}},
	}
}

// listen starts a backend server that runs the next script for each request.
func (s *testbed) listen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listeners == nil {
		s.listeners = map[string]net.Listener{}
	}
	s.listeners[l.Addr().String()] = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

// closeListener makes the backend server at an address refuse new connections.
func (s *testbed) closeListener(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners[address].Close()
}

func (s *testbed) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.URL.Path == healthPath {
		s.serveHealth(c)
		return
	}
	s.mu.Lock()
	if s.restarted[c.LocalAddr().String()] {
		s.mu.Unlock()
		misdirected(c, r)
		return
	}
	s.requests = append(s.requests, r)
	play := s.fallback
	if len(s.scripts) > 0 {
		play, s.scripts = s.scripts[0], s.scripts[1:]
	}
	s.mu.Unlock()
	if play != nil {
		play(c, r)
	}
}

func (s *testbed) seen() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.requests...)
}

// post sends a request and returns the response and its body. The error is set if
// there is no complete response.
func (s *testbed) post(path string) (*http.Response, string, error) {
	r, err := http.NewRequest(http.MethodPost, s.front.URL+path, strings.NewReader("body"))
	s.g.Expect(err).NotTo(HaveOccurred())
	r.Host = "h.example"
	r.Header.Set("Request-Id", "r1")
	r.Header.Set("Deadline-Ms", s.wait)
	if s.tokens != "" {
		r.Header.Set("Token-Usage", s.tokens)
	}
	if s.key != "" {
		r.Header.Set("X-Api-Key", s.key)
	}
	resp, err := s.front.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (s *testbed) expectRejection(path string, status int, runs int) {
	resp, _, err := s.post(path)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(status))
	s.g.Expect(resp.Header).NotTo(HaveKey("Response-Signature"))
	s.g.Expect(s.seen()).To(HaveLen(runs))
	if status == http.StatusServiceUnavailable {
		s.g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	}
}

func completeResponse(status int, body string) script {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Request-Id"), len(body), body)
	}
}

// events streams the events from first to last; only complete streams end with the
// last chunk.
func events(first, last int, complete bool) script {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
		for i := first; i <= last; i++ {
			text := eventText(i)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		if complete {
			fmt.Fprint(c, "0\r\n\r\n")
		}
	}
}

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

func allEvents(last int) string {
	var b strings.Builder
	for i := 1; i <= last; i++ {
		b.WriteString(eventText(i))
	}
	return b.String()
}

func notExecuted(c net.Conn, _ *http.Request) {
	fmt.Fprint(c, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

func closeConn(net.Conn, *http.Request) {}

func noResponse(net.Conn, *http.Request) { time.Sleep(3 * time.Second) }

func TestResponseIsForwardedUnchanged(t *testing.T) {
	for name, status := range map[string]int{"success": 200, "failure": 500, "not found on the backend server": 404} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t, completeResponse(status, "the bytes"))
			resp, body, err := s.post("/once/x%20y?z=1")
			s.g.Expect(err).NotTo(HaveOccurred())
			s.g.Expect(resp.StatusCode).To(Equal(status))
			s.g.Expect(body).To(Equal("the bytes"))
			s.g.Expect(resp.Header.Get("Response-Signature")).To(Equal("sig"))
			s.g.Expect(s.seen()[0].RequestURI).To(Equal("/once/x%20y?z=1"))
		})
	}
}

func TestLongestPrefixAndHostDecide(t *testing.T) {
	s := newTestbed(t)
	s.g.Expect(s.table.Match("h.example", "/safe/deep/x").Name).To(Equal("/safe/deep/"))
	s.g.Expect(s.table.Match("h.example", "/safe/x").Name).To(Equal("/safe/"))
	s.g.Expect(s.table.Match("other.example", "/safe/x")).To(BeNil())
	s.expectRejection("/nowhere/", http.StatusNotFound, 0)
}

// If a backend server did not run a request that may run only once, another one
// must get it, and the caller must not notice.
func TestNotRunIsRetriedElsewhere(t *testing.T) {
	s := newTestbed(t, notExecuted, completeResponse(200, "ok"))
	resp, body, err := s.post("/once/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(200))
	s.g.Expect(body).To(Equal("ok"))
	s.g.Expect(s.seen()).To(HaveLen(2))
}

// If all backend servers reject a request, it has not run, and the caller must
// receive a retry delay.
func TestNotRunAnywhereIsRejectedAsNotRun(t *testing.T) {
	s := newTestbed(t, notExecuted, notExecuted, notExecuted)
	s.expectRejection("/once/x", http.StatusServiceUnavailable, 3)
}

// If the connection breaks after a request that may run only once was sent, it may
// have run. It must not be sent again or be reported as not run.
func TestAbortedRunOnceIsNeitherRepeatedNorReportedNotRun(t *testing.T) {
	s := newTestbed(t, closeConn, completeResponse(200, "ok"))
	s.expectRejection("/once/x", http.StatusBadGateway, 1)
}

func TestBrokenIdempotentIsRepeated(t *testing.T) {
	for name, first := range map[string]script{
		"no answer":    closeConn,
		"server error": completeResponse(500, "bad"),
		"no signature": func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nno", r.Header.Get("Request-Id"))
		},
		"cut": func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\nno", r.Header.Get("Request-Id"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t, first, completeResponse(200, "ok"))
			resp, body, err := s.post("/safe/x")
			s.g.Expect(err).NotTo(HaveOccurred())
			s.g.Expect(resp.StatusCode).To(Equal(200))
			s.g.Expect(body).To(Equal("ok"))
		})
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	s := newTestbed(t, closeConn, closeConn, closeConn, completeResponse(200, "one too many"))
	s.expectRejection("/safe/x", http.StatusBadGateway, 3)
}

// A stream breaks after two events. If the route allows it, the rest must come from
// another backend server, and the caller must receive one complete response.
func TestBrokenStreamResumesElsewhere(t *testing.T) {
	s := newTestbed(t, events(1, 2, false), events(3, 5, true))
	resp, body, err := s.post("/resumable/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(200))
	s.g.Expect(body).To(Equal(allEvents(5)))
	s.g.Expect(s.seen()[1].Header.Get("Last-Event-Id")).To(Equal("2"))
}

// If the second backend server starts from the first event instead of resuming, its
// events must not be appended to those that the caller has.
func TestEventsAreNeverSentTwice(t *testing.T) {
	s := newTestbed(t, events(1, 2, false), events(1, 5, true), events(3, 4, true))
	_, body, err := s.post("/resumable/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(body).To(Equal(allEvents(4)))
}

// If a stream that must not be resumed breaks, the caller's response must not look complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	s := newTestbed(t, events(1, 2, false), events(3, 5, true))
	_, body, err := s.post("/stream/x")
	s.g.Expect(err).To(HaveOccurred())
	s.g.Expect(allEvents(2)).To(HavePrefix(body))
	s.g.Expect(s.seen()).To(HaveLen(1))
}

// If a backend server stops in the middle of an event, that part must not reach the
// caller, or the caller would receive one and a half copies of the event.
func TestPartialEventIsNotForwarded(t *testing.T) {
	half := func(c net.Conn, r *http.Request) {
		events(1, 1, false)(c, r)
		fmt.Fprintf(c, "%x\r\n%s\r\n", 5, "id: 2")
	}
	s := newTestbed(t, half, events(2, 3, true))
	_, body, err := s.post("/resumable/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(body).To(Equal(allEvents(3)))
}

// A backend server sends nothing and closes nothing. A request that may be repeated
// must be retried elsewhere in time.
func TestUnresponsiveBackendIsAbandoned(t *testing.T) {
	s := newTestbed(t, noResponse, events(1, 2, true))
	s.table.Routes[0].Timeout = 5 * time.Second
	r, err := http.NewRequest(http.MethodPost, s.front.URL+"/resumable/x", nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	r.Host = "h.example"
	r.Header.Set("Request-Id", "r1")
	resp, err := s.front.Client().Do(r)
	s.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(string(body)).To(Equal(allEvents(2)))
}

// If the route's timeout expires while a backend server works, the final response must
// come then, not later.
func TestFinalResponseAtTheTimeout(t *testing.T) {
	s := newTestbed(t, noResponse)
	s.table.Routes[3].Timeout = 300 * time.Millisecond
	start := time.Now()
	s.expectRejection("/once/x", http.StatusGatewayTimeout, 1)
	s.g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	s.g.Expect(s.seen()[0].Header.Get("Deadline-Ms")).To(MatchRegexp(`^(300|2\d\d)$`))
}

// If a caller disconnects, the connection to the backend server must be closed soon
// after, so that its slot is freed.
func TestCallerDisconnectFreesItsSlot(t *testing.T) {
	var disconnected atomic.Bool
	s := newTestbed(t, func(c net.Conn, r *http.Request) {
		events(1, 1, false)(c, r)
		_, _ = c.Read(make([]byte, 1))
		disconnected.Store(true)
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.front.URL+"/resumable/x", nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	r.Host = "h.example"
	r.Header.Set("Request-Id", "r1")
	resp, err := s.front.Client().Do(r)
	s.g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	cancel()
	s.g.Eventually(disconnected.Load, 5*time.Second).Should(BeTrue())
	s.g.Eventually(func() []pool.Load { return s.pool.OwnLoads() }, 5*time.Second).Should(BeEmpty())
}

// A request crashes each backend server that starts it. After three of them it must
// be rejected and not reach a fourth one.
func TestCrashingRequestIsContained(t *testing.T) {
	scripts := []script{closeConn, closeConn, closeConn}
	s := newTestbed(t, scripts...)
	for range 3 {
		_, _, err := s.post("/once/crash")
		s.g.Expect(err).NotTo(HaveOccurred())
	}
	s.expectRejection("/once/crash", http.StatusUnprocessableEntity, 3)
}

// Guards against a request that many callers send being rejected for good after a few unrelated
// failures of backend servers, however long ago: a response shows that the request crashes none.
func TestRequestThatSucceedsIsNotBlocked(t *testing.T) {
	answer := completeResponse(http.StatusOK, "ok")
	s := newTestbed(t, closeConn, answer, closeConn, answer, closeConn, answer, answer)
	for range 4 {
		resp, body, err := s.post("/safe/popular")
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.StatusCode).To(Equal(http.StatusOK), body)
	}
}

func TestLimitsOfTheConfiguration(t *testing.T) {
	s := newTestbed(t)
	r, err := http.NewRequest(http.MethodPost, s.front.URL+"/safe/x", strings.NewReader(strings.Repeat("x", 1001)))
	s.g.Expect(err).NotTo(HaveOccurred())
	r.Host = "h.example"
	resp, err := s.front.Client().Do(r)
	s.g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	s.g.Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	s.g.Expect(s.seen()).To(BeEmpty())
}

func TestNoConfigurationIsNotRun(t *testing.T) {
	s := newTestbed(t)
	s.table = nil
	s.expectRejection("/safe/x", http.StatusServiceUnavailable, 0)
}

// If all slots and all queue places are taken, the caller must be rejected at once.
func TestFullIsRejectedAtOnce(t *testing.T) {
	s := newTestbed(t)
	for range 12 {
		_, ok := s.pool.ChooseOnline(service, &pool.Request{}, time.Now())
		s.g.Expect(ok).To(BeTrue())
	}
	start := time.Now()
	s.expectRejection("/safe/x", http.StatusServiceUnavailable, 0)
	s.g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
}

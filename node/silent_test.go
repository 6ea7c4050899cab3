package node_test

import (
	"cmp"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/fakes"
	"github.com/sardinerock/sardinerock/platform"
	"github.com/sardinerock/sardinerock/platform/stand"
)

// silentFleet is a fleet of which each entry reaches the store through a forwarder.
type silentFleet struct {
	*fleet
	forwarders []*fakes.Forwarder
	// server serves the store, which rejects all calls while rejects is set.
	server  *httptest.Server
	rejects atomic.Bool
	mu      sync.Mutex
	// sent holds when each request was sent, and lastSent when the latest one was that reached a backend server, by server.
	sent     map[string]time.Time
	lastSent map[string]time.Time
}

func newSilentFleet(t *testing.T, entries, servers int) *silentFleet {
	f := &silentFleet{fleet: prepareFleet(t), sent: map[string]time.Time{}, lastSent: map[string]time.Time{}}
	s := &stand.Server{}
	s.PageSize = f.store.PageSize
	f.store = &s.Store
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.rejects.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.ServeHTTP(w, r)
	}))
	t.Cleanup(f.server.CloseClientConnections)
	f.adjust = func(s *conf.Node) { s.DrainTimeout = 2 * time.Second }
	f.onRun = func(_ http.ResponseWriter, r *http.Request) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		id := r.Header.Get("Expect-Instance")
		if at := f.sent[r.Header.Get("Request-Id")]; at.After(f.lastSent[id]) {
			f.lastSent[id] = at
		}
		return false
	}
	f.configure(1, "/letters/")
	for n := range servers {
		f.startBackend(fmt.Sprint("i-", n))
	}
	for n := range entries {
		p := &fakes.Forwarder{Target: f.server.Listener.Addr().String()}
		f.g.Expect(p.Start()).To(Succeed())
		t.Cleanup(p.Stop)
		f.forwarders = append(f.forwarders, p)
		f.entries = append(f.entries, f.startWith(fmt.Sprint("front-", n), platform.NewStore(p.Address())))
	}
	for _, e := range f.entries {
		f.g.Eventually(func() int { return f.get("http://" + e.settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
	}
	return f
}

// load sends requests to all entries in turn for as long as given, and returns how many weren't answered with status 200.
func (f *silentFleet) load(d time.Duration) (failed int) {
	const interval = 20 * time.Millisecond
	var group sync.WaitGroup
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		group.Go(func() {
			id := fmt.Sprintf("r-%d-%d", end.UnixNano(), n)
			f.mu.Lock()
			f.sent[id] = time.Now()
			f.mu.Unlock()
			if status, _ := f.call(f.entries[n%len(f.entries)], http.MethodPost, "/letters/x", id, ""); status != http.StatusOK {
				f.mu.Lock()
				failed++
				f.mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return failed
}

// register adds the registration of a backend server again, as it was when the server started.
func (f *silentFleet) register(id string) {
	page, err := f.store.Read(f.t.Context(), serversTopic, 0, 0)
	f.g.Expect(err).NotTo(HaveOccurred())
	for _, r := range page.Records {
		if r.Key == id && len(r.Value) > 0 {
			f.put(serversTopic, id, string(r.Value))
			return
		}
	}
	f.t.Errorf("%s was never registered", id)
}

// TestRemovalIsLearnedAfterSilence guards against requests at a backend server that was removed, or drains, long after connections to
// the store went silent: each read waits on another silent connection, the first answer on a new one comes late, and the removal
// counts as an effect of an outage.
func TestRemovalIsLearnedAfterSilence(t *testing.T) {
	const contactTime = 3 * time.Second
	drain := func(f *silentFleet) {
		f.put(serversTopic, "i-0", `{"service":"s","address":"127.0.0.1:1","zone":"z","slots":4,"state":"draining","sequence":2,"born":1767225600001}`)
	}
	remove := func(f *silentFleet) { f.put(serversTopic, "i-0", "") }
	for name, tt := range map[string]struct {
		// servers is the number of backend servers; 0 for three.
		servers int
		// silent is the number of entries whose connections go silent, and delay that of new connections from then on.
		silent int
		delay  time.Duration
		// before makes the change come right before the silence.
		before bool
		// again is when they do so once more; 0 for never.
		again  time.Duration
		change func(f *silentFleet)
	}{
		"all, removed":                                {silent: 3, change: remove},
		"all, drains":                                 {silent: 3, change: drain},
		"one, removed":                                {silent: 1, change: remove},
		"all twice, removed":                          {silent: 3, again: 1800 * time.Millisecond, change: remove},
		"all twice, drains":                           {silent: 3, again: time.Second, change: drain},
		"all, removed, connections take 0.2 s":        {silent: 3, delay: 200 * time.Millisecond, change: remove},
		"all, removed, connections take 0.5 s":        {silent: 3, delay: 500 * time.Millisecond, change: remove},
		"all, drains, connections take 0.5 s":         {silent: 3, delay: 500 * time.Millisecond, change: drain},
		"all, removed before, connections take 0.5 s": {silent: 3, delay: 500 * time.Millisecond, before: true, change: remove},
		"all, the only one, connections take 0.5 s":   {servers: 1, silent: 3, delay: 500 * time.Millisecond, change: remove},
		"all, the only one":                           {servers: 1, silent: 3, change: remove},
		"all, removed, connections take 1 s":          {silent: 3, delay: time.Second, change: remove},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSilentFleet(t, 3, cmp.Or(tt.servers, 3))
			f.load(2 * time.Second)
			silence := func() time.Time {
				for _, p := range f.forwarders[:tt.silent] {
					p.SetDelay(tt.delay)
					p.Silence()
				}
				return time.Now()
			}
			if tt.before {
				tt.change(f)
			}
			silentAt := silence()
			time.Sleep(contactTime / 30)
			if !tt.before {
				tt.change(f)
			}
			if tt.again > 0 {
				f.load(tt.again)
				silentAt = silence()
			}
			f.load(2 * contactTime)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.g.Expect(f.lastSent["i-0"]).NotTo(BeZero())
			f.g.Expect(f.lastSent["i-0"].Sub(silentAt)).To(BeNumerically("<", contactTime))
			if tt.servers != 1 {
				f.g.Expect(f.lastSent["i-1"].Sub(silentAt)).To(BeNumerically(">", contactTime), "others are still used")
			}
		})
	}
}

// TestServersAreUsedAfterAnOutage guards against an outage of the store that leaves no backend server to send to, since all
// registrations expired in it, and against a server that left in it being used for long afterwards.
func TestServersAreUsedAfterAnOutage(t *testing.T) {
	const (
		outage      = 5 * time.Second
		reregister  = 1200 * time.Millisecond
		contactTime = 3 * time.Second
	)
	for name, tt := range map[string]struct {
		begin, end func(f *silentFleet)
		// servers is the number of backend servers; the first one of several leaves in the outage.
		servers int
	}{
		"doesn't answer": {func(f *silentFleet) {
			for _, p := range f.forwarders {
				p.SetDown(true)
				p.Silence()
			}
		}, func(f *silentFleet) {
			for _, p := range f.forwarders {
				p.SetDown(false)
			}
		}, 3},
		"rejects":             {func(f *silentFleet) { f.rejects.Store(true); f.server.CloseClientConnections() }, func(f *silentFleet) { f.rejects.Store(false) }, 3},
		"rejects, one server": {func(f *silentFleet) { f.rejects.Store(true); f.server.CloseClientConnections() }, func(f *silentFleet) { f.rejects.Store(false) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSilentFleet(t, 3, tt.servers)
			f.g.Expect(f.load(time.Second)).To(BeZero())
			tt.begin(f)
			f.g.Expect(f.load(outage)).To(BeZero())
			for n := range tt.servers {
				f.put(serversTopic, fmt.Sprint("i-", n), "")
			}
			tt.end(f)
			end := time.Now()
			f.g.Expect(f.load(reregister)).To(BeZero())
			for n := range tt.servers {
				if n > 0 || tt.servers == 1 {
					f.register(fmt.Sprint("i-", n))
				}
			}
			f.g.Expect(f.load(2 * contactTime)).To(BeZero())
			f.mu.Lock()
			defer f.mu.Unlock()
			if tt.servers > 1 {
				f.g.Expect(f.lastSent["i-0"].Sub(end)).To(And(BeNumerically(">", reregister/2), BeNumerically("<", contactTime)))
			}
		})
	}
}

package node_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
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
	mu         sync.Mutex
	// sent holds when each request was sent, and lastSent when the latest one was that reached a backend server, by server.
	sent     map[string]time.Time
	lastSent map[string]time.Time
}

func newSilentFleet(t *testing.T, entries, servers int) *silentFleet {
	f := &silentFleet{fleet: prepareFleet(t), sent: map[string]time.Time{}, lastSent: map[string]time.Time{}}
	s := &stand.Server{}
	s.PageSize = f.store.PageSize
	f.store = &s.Store
	server := httptest.NewServer(s)
	t.Cleanup(server.CloseClientConnections)
	f.adjust = func(s *conf.Node) { s.DrainTimeout, s.Heartbeat = 2*time.Second, 1200*time.Millisecond }
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
		p := &fakes.Forwarder{Target: server.Listener.Addr().String()}
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

// load sends requests to all entries in turn for as long as given.
func (f *silentFleet) load(d time.Duration) {
	const interval = 20 * time.Millisecond
	var group sync.WaitGroup
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		group.Go(func() {
			id := fmt.Sprintf("r-%d-%d", end.UnixNano(), n)
			f.mu.Lock()
			f.sent[id] = time.Now()
			f.mu.Unlock()
			f.call(f.entries[n%len(f.entries)], http.MethodPost, "/letters/x", id, "")
		})
		time.Sleep(interval)
	}
	group.Wait()
}

// TestRemovalIsLearnedAfterSilence guards against requests at a backend server that was removed, or drains, long after connections to
// the store went silent: each read waits on another silent connection, and the removal counts as an effect of an outage.
func TestRemovalIsLearnedAfterSilence(t *testing.T) {
	const contactTime = 3 * time.Second
	drain := func(f *silentFleet) {
		f.put(serversTopic, "i-0", `{"service":"s","address":"127.0.0.1:1","zone":"z","slots":4,"state":"draining","sequence":2,"born":1767225600001}`)
	}
	remove := func(f *silentFleet) { f.put(serversTopic, "i-0", "") }
	for name, tt := range map[string]struct {
		// silent is the number of entries whose connections go silent.
		silent int
		// again is when they do so once more; 0 for never.
		again  time.Duration
		change func(f *silentFleet)
	}{
		"all, removed":       {silent: 3, change: remove},
		"all, drains":        {silent: 3, change: drain},
		"one, removed":       {silent: 1, change: remove},
		"all twice, removed": {silent: 3, again: 1800 * time.Millisecond, change: remove},
		"all twice, drains":  {silent: 3, again: time.Second, change: drain},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSilentFleet(t, 3, 3)
			f.load(2 * time.Second)
			silence := func() time.Time {
				for _, p := range f.forwarders[:tt.silent] {
					p.Silence()
				}
				return time.Now()
			}
			silentAt := silence()
			time.Sleep(contactTime / 30)
			tt.change(f)
			if tt.again > 0 {
				f.load(tt.again)
				silentAt = silence()
			}
			f.load(2 * contactTime)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.g.Expect(f.lastSent["i-0"]).NotTo(BeZero())
			f.g.Expect(f.lastSent["i-0"].Sub(silentAt)).To(BeNumerically("<", contactTime))
			f.g.Expect(f.lastSent["i-1"].Sub(silentAt)).To(BeNumerically(">", contactTime), "others are still used")
		})
	}
}

package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/memkv"
	"github.com/sardinerock/sardinerock/owner"
)

// heldStore is the store as seen by an entry whose reads of the configuration can be held.
type heldStore struct {
	*memkv.Store
	// held is closed to let the reads go on.
	held chan struct{}
	hold atomic.Bool
}

func (s *heldStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	page, err := s.Store.Read(ctx, topic, from, wait)
	if topic == configTopic && s.hold.Load() {
		select {
		case <-s.held:
		case <-ctx.Done():
			return sardinerock.StorePage{}, ctx.Err()
		}
	}
	return page, err
}

// holdTime is how long the configuration is held at an entry.
const holdTime = time.Second

// TestEntryWithOlderConfigurationWaits guards against an entry whose configuration is older than that under which a job was
// accepted giving its items up, or running them at a service that the route has left.
func TestEntryWithOlderConfigurationWaits(t *testing.T) {
	const route = `{"name":"b","host":"h","path_prefix":"/batch/","kind":"batch","service":%q,"max_attempts":2,"completion_target_ms":18000,"retention_s":600,"max_count":1000}`
	for name, before := range map[string]string{
		"route added":                     otherRoute,
		"route moved":                     fmt.Sprintf(route, "former"),
		"host added":                      otherHost,
		"route added, another has a part": rootRoute,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := prepareFleet(t)
			f.put(configTopic, "config", fmt.Sprintf(`{"version":1,"routes":[%s]}`, before))
			f.startBackend("i-0")
			f.startFormer("i-1")
			s := &heldStore{Store: f.store, held: make(chan struct{})}
			f.entries = []*entry{f.start("front-0"), f.startWith("front-1", s)}
			for _, e := range f.entries {
				f.g.Eventually(func() int { return f.get("http://" + e.settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
				f.g.Eventually(func() string { return f.page("http://" + e.settings.MetricsAddress + "/metrics") }, timeout).Should(ContainSubstring("sardinerock_peers_live 2\n"))
			}
			s.hold.Store(true)
			f.configureRoutes(3, fmt.Sprintf(route, "s"), f.entries[0])
			jobs := 0
			for n := 0; jobs < 3; n++ {
				job := fmt.Sprint("job", n)
				if owner.Of(job, []string{"front-0", "front-1"}) != "front-1" {
					continue
				}
				jobs++
				status, body := f.call(f.entries[0], http.MethodPost, "/batch/j", job, jobBody(2, 1))
				f.g.Expect(status).To(Equal(http.StatusAccepted), body)
			}
			// Without the configuration from the store, the entry gets it from the other one, or waits.
			time.Sleep(holdTime)
			s.hold.Store(false)
			close(s.held)
			for n := 0; jobs > 0; n++ {
				if job := fmt.Sprint("job", n); owner.Of(job, []string{"front-0", "front-1"}) == "front-1" {
					jobs--
					f.expectDone(job, 2)
				}
			}
		})
	}
}

// startFormer starts a backend server of a service that must get no items.
func (f *fleet) startFormer(id string) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		f.t.Errorf("%s reached the former service", r.Header.Get("Request-Id"))
	}))
	f.t.Cleanup(s.Close)
	f.put(serversTopic, id, fmt.Sprintf(`{"service":"former","address":%q,"zone":"z","slots":4,"state":"ready","sequence":1,"born":1767225600001}`, s.Listener.Addr()))
}

package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

// configureStreams stores a configuration with a route of resumable streams to a service.
func (f *versions) configureStreams(version int, service string, timeoutMillis int) {
	f.put(configTopic, "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"l","host":"h","path_prefix":"/letters/","kind":"streaming","resumable":true,"service":%q,"max_attempts":2,"timeout_ms":%d,"target_latency_ms":300}]}`, version, service, timeoutMillis))
}

// TestIsolatedEntryDoesNotKnowTheOnlyVersion guards against an entry that was cut off from the store before it had read the
// other entries taking the last version that it has seen for the only one, since it knows none that could read the store.
func TestIsolatedEntryDoesNotKnowTheOnlyVersion(t *testing.T) {
	t.Parallel()
	f := newVersions(t, 1, "v1")
	// A shorter timeout shortens the time after which an entry that has seen no other version relies on that.
	f.configureStreams(9, "s", 500)
	members := &pendingStore{Store: f.store, topics: map[string]bool{"members": true}}
	members.pending.Store(true)
	s := &cutOffStore{pendingStore: members}
	isolated := f.startWith("isolated", s)
	f.g.Eventually(func() int { return f.get("http://" + isolated.settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
	f.g.Expect(f.read(isolated, "first", "", 0, 10).events).To(HaveLen(10))
	s.cut.Store(true)
	f.startVersion("new", "s", "v2")
	// That time is the longest timeout of a route and 10 s.
	time.Sleep(11 * time.Second)
	id, begun := "", part{}
	for n := 0; !begun.writers["s-v2"]; n++ {
		id = fmt.Sprint("begins-", n)
		begun = f.read(f.entries[0], id, "", 0, 3)
	}
	rest := f.read(isolated, "late", id, 3, 10)
	f.g.Expect(rest.writers).NotTo(HaveKey("s-v1"), "the stream goes on at another version")
	f.g.Expect(rest.status).To(Equal(http.StatusServiceUnavailable))
}

// TestEntryOutOfStepDoesNotKnowTheOnlyVersion guards against an entry that was cut off from the store and the other entries less than
// the age of an old list ago taking the version on that list for the only one, while another one has joined and begun streams.
func TestEntryOutOfStepDoesNotKnowTheOnlyVersion(t *testing.T) {
	t.Parallel()
	f := newVersions(t, 1, "v1")
	// A shorter timeout shortens the time after which an entry that has seen no other version relies on that.
	f.configureStreams(9, "s", 500)
	s := &unknownMember{cutOffStore: &cutOffStore{pendingStore: &pendingStore{Store: f.store, topics: map[string]bool{"members": true}}}}
	s.pending.Store(true)
	outOfStep := f.startWith("outOfStep", s)
	f.g.Eventually(func() int { return f.get("http://" + outOfStep.settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
	f.g.Expect(f.read(outOfStep, "first", "", 0, 10).events).To(HaveLen(10))
	time.Sleep(11 * time.Second)
	s.cut.Store(true)
	f.startVersion("new", "s", "v2")
	id, begun := "", part{}
	for n := 0; !begun.writers["s-v2"]; n++ {
		id = fmt.Sprint("begins-", n)
		begun = f.read(f.entries[0], id, "", 0, 3)
	}
	rest := f.read(outOfStep, "late", id, 3, 10)
	f.g.Expect(rest.writers).NotTo(HaveKey("s-v1"), "the stream goes on at another version")
	f.g.Expect(rest.status).To(Equal(http.StatusServiceUnavailable))
	s.cut.Store(false)
	f.g.Eventually(func() map[string]bool { return f.read(outOfStep, "later", id, 3, 10).writers }, timeout, 100*time.Millisecond).Should(Equal(map[string]bool{"s-v2": true}))
}

// unknownMember is the store of an entry that is in no list of members, so that no other entry sends it messages.
type unknownMember struct{ *cutOffStore }

func (s *unknownMember) Append(ctx context.Context, topic string, records []sardinerock.StoreRecord) (int64, error) {
	if s.topics[topic] {
		return 0, sardinerock.ErrStoreRefused
	}
	return s.cutOffStore.Append(ctx, topic, records)
}

func (s *unknownMember) AppendAt(ctx context.Context, topic string, at int64, records []sardinerock.StoreRecord) (int64, error) {
	if s.topics[topic] {
		return 0, sardinerock.ErrStoreRefused
	}
	return s.cutOffStore.AppendAt(ctx, topic, at, records)
}

// TestOnlyEntryServesWithoutTheStore guards against the only entry of a fleet rejecting resumable streams once the store has been
// unreachable for longer than an entry that is out of touch may begin them.
func TestOnlyEntryServesWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := newVersions(t, 0, "v1")
	f.configureStreams(9, "s", 500)
	s := &cutOffStore{pendingStore: &pendingStore{Store: f.store}}
	only := f.startWith("only", s)
	f.g.Eventually(func() int { return f.get("http://" + only.settings.ReadyAddress) }, timeout).Should(Equal(http.StatusOK))
	f.g.Expect(f.read(only, "first", "", 0, 10).events).To(HaveLen(10))
	s.cut.Store(true)
	time.Sleep(13 * time.Second)
	f.g.Expect(f.read(only, "second", "", 0, 10).events).To(HaveLen(10))
}

// cutOffStore rejects all reads once the entry is cut off.
type cutOffStore struct {
	*pendingStore
	cut atomic.Bool
}

func (s *cutOffStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	page, err := s.pendingStore.Read(ctx, topic, from, wait)
	if s.cut.Load() {
		return sardinerock.StorePage{}, sardinerock.ErrStoreRefused
	}
	return page, err
}

func (s *cutOffStore) Newest(ctx context.Context, topic, after string) (sardinerock.StorePage, error) {
	page, err := s.pendingStore.Newest(ctx, topic, after)
	if s.cut.Load() {
		return sardinerock.StorePage{}, sardinerock.ErrStoreRefused
	}
	return page, err
}

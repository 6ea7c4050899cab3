package watch

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/memkv"
)

// view holds the newest value of each key that a follower applied.
type view struct {
	mu     sync.Mutex
	values map[string]string
	resets int
}

func (v *view) apply(records []sardinerock.StoreRecord, reset bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if reset || v.values == nil {
		v.values = map[string]string{}
	}
	if reset {
		v.resets++
	}
	for _, r := range records {
		v.values[r.Key] = string(r.Value)
	}
}

func (v *view) get(key string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.values[key]
}

func newFollower(store *memkv.Store) (*Follower, *view) {
	v := &view{}
	f := &Follower{Store: store, Topic: "t", Apply: v.apply, Events: &event.Logger{}}
	f.Prepare()
	return f, v
}

func put(g *WithT, store *memkv.Store, key, value string) {
	_, err := store.Append(context.Background(), "t", []sardinerock.StoreRecord{{Key: key, Value: []byte(value)}})
	g.Expect(err).NotTo(HaveOccurred())
}

func TestFollowsChangesAndGaps(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{PageSize: 2}
	for n := range 5 {
		put(g, store, fmt.Sprint("k", n), "old")
	}
	f, v := newFollower(store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	g.Eventually(func() string { return v.get("k4") }, 5*time.Second).Should(Equal("old"))
	put(g, store, "k4", "new")
	g.Eventually(func() string { return v.get("k4") }, 5*time.Second).Should(Equal("new"))
	g.Expect(f.Next()).To(BeEquivalentTo(6))
	store.Compact("t")
	put(g, store, "k0", "after the gap")
	g.Eventually(func() string { return v.get("k0") }, 5*time.Second).Should(Equal("after the gap"))
	g.Expect(v.get("k4")).To(Equal("new"))
}

// After a restart of all entries they load a large topic at the same time, and some pages fail. A load that
// started over after each failure would never complete.
func TestLoadKeepsItsPages(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{PageSize: 1}
	for n := range 9 {
		put(g, store, strconv.Itoa(n), "x")
	}
	calls := 0
	store.Fault = func(call, _ string) memkv.Fault {
		if calls++; calls%2 == 0 {
			return memkv.Reject
		}
		return memkv.NoFault
	}
	f, v := newFollower(store)
	for tries := 0; !f.Loaded(); tries++ {
		g.Expect(tries).To(BeNumerically("<", 20))
		_ = f.Sync(context.Background())
	}
	g.Expect(v.values).To(HaveLen(9))
	g.Expect(v.resets).To(Equal(1))
}

// staleStore returns an old page of newest records if page is set.
type staleStore struct {
	*memkv.Store
	page *sardinerock.StorePage
}

func (s *staleStore) Newest(ctx context.Context, topic, after string) (sardinerock.StorePage, error) {
	if s.page != nil {
		return *s.page, nil
	}
	return s.Store.Newest(ctx, topic, after)
}

// The store has deleted its history, and its answer to the reload is seconds old. The answer must not undo
// records that are already applied.
func TestStaleAnswerUndoesNothing(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	put(g, store, "k", "old")
	stale, err := store.Newest(context.Background(), "t", "")
	g.Expect(err).NotTo(HaveOccurred())
	put(g, store, "k", "new")
	behind := &staleStore{Store: store}
	f, v := newFollower(store)
	f.Store = behind
	g.Expect(f.Sync(context.Background())).To(Succeed())
	behind.page = &stale
	store.Compact("t")
	put(g, store, "k", "newest")
	store.Compact("t")
	g.Expect(errors.Is(f.Sync(context.Background()), errStale)).To(BeTrue())
	g.Expect(v.get("k")).To(Equal("new"))
	behind.page = nil
	g.Expect(f.Sync(context.Background())).To(Succeed())
	g.Expect(v.get("k")).To(Equal("newest"))
}

func TestOwnAppendsAreAppliedOnce(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	f, _ := newFollower(store)
	applied := 0
	f.Apply = func(records []sardinerock.StoreRecord, _ bool) { applied += len(records) }
	g.Expect(f.Sync(context.Background())).To(Succeed())
	records := []sardinerock.StoreRecord{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}
	_, err := store.AppendAt(context.Background(), "t", 0, records)
	g.Expect(err).NotTo(HaveOccurred())
	f.ApplyOwn(records, 0)
	g.Expect(f.Sync(context.Background())).To(Succeed())
	f.ApplyOwn(records, 0)
	g.Expect(applied).To(Equal(2))
}

func newTable() *Table {
	return &Table{Key: "config", Events: &event.Logger{}, Parse: func(raw []byte) (*sardinerock.RouteTable, error) {
		version, err := strconv.ParseInt(string(raw), 10, 64)
		return &sardinerock.RouteTable{Version: version}, err
	}}
}

func record(key, value string) []sardinerock.StoreRecord {
	r := sardinerock.StoreRecord{Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	return []sardinerock.StoreRecord{r}
}

// A store that lost its history returns an older configuration. Neither that one nor a malformed one
// may replace the one in force.
func TestVersionNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	g.Expect(table.Current()).To(BeNil())
	for _, step := range []struct {
		value string
		want  int64
	}{{"7", 7}, {"3", 7}, {"broken", 7}, {"", 7}, {"12", 12}} {
		table.Apply(record("config", step.value), true)
		g.Expect(table.Current().Version).To(Equal(step.want), step.value)
	}
	table.Apply(record("other", "99"), false)
	g.Expect(table.Current().Version).To(BeEquivalentTo(12))
}

// list records the backend servers that Servers publishes.
type list struct {
	*Servers
	servers map[string]sardinerock.BackendServer
}

func newList() *list {
	l := &list{}
	l.Servers = &Servers{
		Events: &event.Logger{},
		Parse: func(id string, raw []byte) (sardinerock.BackendServer, error) {
			// A start time may follow the sequence: r1@5.
			first, started, stated := strings.Cut(string(raw[1:]), "@")
			sequence, err := strconv.ParseInt(first, 10, 64)
			b := sardinerock.BackendServer{ID: id, Name: id, Draining: raw[0] == 'd', Sequence: sequence}
			if stated && err == nil {
				b.ID = id + "@" + started
				b.Started, err = strconv.ParseInt(started, 10, 64)
			}
			return b, err
		},
		Changed: func(all []sardinerock.BackendServer) {
			l.servers = map[string]sardinerock.BackendServer{}
			for _, b := range all {
				l.servers[b.ID] = b
			}
		},
	}
	return l
}

func TestServersRegisterDrainAndDeregister(t *testing.T) {
	g := NewWithT(t)
	l := newList()
	l.Apply(append(record("i-1", "r1"), record("i-2", "r1")...), true)
	g.Expect(l.servers).To(HaveLen(2))
	l.Apply(record("i-1", "d2"), false)
	g.Expect(l.servers["i-1"].Draining).To(BeTrue())
	l.Apply(record("i-1", "r1"), false)
	g.Expect(l.servers["i-1"].Draining).To(BeTrue(), "an older registration must not reactivate it")
	l.Apply(record("i-1", ""), false)
	g.Expect(l.servers).NotTo(HaveKey("i-1"))
	l.Apply(record("i-3", "r1"), true)
	g.Expect(l.servers).To(HaveLen(1))
	l.Apply(record("i-4", "x"), false)
	g.Expect(l.servers).To(HaveLen(1), "a malformed registration must be ignored")
}

// All registrations expired during an outage of the store, though the backend servers are live. Removing them
// at once would leave no server to send to. Those that aren't registered again in time must be removed.
func TestLapsedServersAreKeptUntilReregisterTime(t *testing.T) {
	g := NewWithT(t)
	l := newList()
	l.Apply(append(record("i-1", "r1"), record("i-2", "r1")...), true)
	l.StoreRecovered()
	l.Apply(append(record("i-1", ""), record("i-2", "")...), false)
	g.Expect(l.servers).To(HaveLen(2))
	l.Apply(record("i-1", "r2"), false)
	l.Expire(time.Now().Add(reregisterTime + time.Second))
	g.Expect(l.servers).To(HaveLen(1))
	g.Expect(l.servers).To(HaveKey("i-1"))
}

// appendingStore calls append before each page but the first is read.
type appendingStore struct {
	*memkv.Store
	append func()
}

func (s *appendingStore) Newest(ctx context.Context, topic, after string) (sardinerock.StorePage, error) {
	if after != "" {
		s.append()
	}
	return s.Store.Newest(ctx, topic, after)
}

// Others append while an entry loads the topic page by page. A later page may hold a record of which the
// predecessor belongs to a page that was read before. If it were applied first, a result would miss the
// beginning of its text.
func TestLoadAppliesNothingOutOfOrder(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{PageSize: 2}
	for _, key := range []string{"a", "b", "y"} {
		put(g, store, key, "old")
	}
	f, _ := newFollower(store)
	f.Store = &appendingStore{Store: store, append: func() {
		put(g, store, "aa", "part")
		put(g, store, "z", "result")
	}}
	var order []string
	f.Apply = func(records []sardinerock.StoreRecord, _ bool) {
		for _, r := range records {
			order = append(order, r.Key)
		}
	}
	g.Expect(f.Sync(context.Background())).To(Succeed())
	g.Expect(f.Sync(context.Background())).To(Succeed())
	g.Expect(order).To(Equal([]string{"a", "b", "y", "aa", "z"}))
}

// A topic that is written once is loaded from its first record on, in several reads, one of which fails. No
// record may be missing, and no part of the load may be applied before the rest.
func TestWriteOnceTopicIsReadFromItsStart(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{ReadSize: 2}
	for n := range 7 {
		put(g, store, fmt.Sprint("k", n), strconv.Itoa(n))
	}
	f, v := newFollower(store)
	f.WriteOnce = true
	calls := 0
	store.SetFault(func(string, string) memkv.Fault {
		if calls++; calls == 3 {
			return memkv.Reject
		}
		return memkv.NoFault
	})
	g.Expect(f.Sync(context.Background())).NotTo(Succeed())
	g.Expect(v.get("k0")).To(BeEmpty())
	g.Expect(f.Sync(context.Background())).To(Succeed())
	for n := range 7 {
		g.Expect(v.get(fmt.Sprint("k", n))).To(Equal(strconv.Itoa(n)))
	}
	g.Expect(store.Calls("newest")).To(BeZero())
	g.Expect(f.Next()).To(BeEquivalentTo(7))
}

// The first records of a topic that is written once are deleted: the newest of each key are loaded instead.
func TestWriteOnceTopicWithoutItsStart(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{PageSize: 2}
	for n := range 5 {
		put(g, store, fmt.Sprint("k", n), "x")
	}
	store.Compact("t")
	f, v := newFollower(store)
	f.WriteOnce = true
	g.Expect(f.Sync(context.Background())).To(Succeed())
	g.Expect(v.get("k0")).To(Equal("x"))
	g.Expect(f.Next()).To(BeEquivalentTo(5))
}

// The first load of several slow pages fails after the first page. That page must be usable at once, and the
// complete list must replace it later.
func TestFirstPagesAreUsableBeforeTheRest(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{PageSize: 2}
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		_, err := store.Append(context.Background(), "t", []sardinerock.StoreRecord{{Key: key, Value: []byte("v")}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	pages := 0
	store.SetFault(func(call, _ string) memkv.Fault {
		if call == "newest" {
			if pages++; pages == 2 {
				return memkv.Reject
			}
		}
		return memkv.NoFault
	})
	var partial, complete []string
	keys := func(to *[]string, records []sardinerock.StoreRecord) {
		for _, r := range records {
			*to = append(*to, r.Key)
		}
	}
	f := &Follower{
		Store: store, Topic: "t", Events: &event.Logger{},
		ApplyPartial: func(records []sardinerock.StoreRecord) { keys(&partial, records) },
		Apply:        func(records []sardinerock.StoreRecord, _ bool) { keys(&complete, records) },
	}
	f.Prepare()
	g.Expect(f.Usable()).To(BeFalse())
	g.Expect(f.Sync(context.Background())).NotTo(Succeed())
	g.Expect(f.Usable()).To(BeTrue())
	g.Expect(f.Loaded()).To(BeFalse())
	g.Expect(partial).To(Equal([]string{"a", "b"}))
	g.Expect(f.Sync(context.Background())).To(Succeed())
	g.Expect(complete).To(Equal([]string{"a", "b", "c", "d", "e"}))
}

// The topic is loaded from another entry that has read it, and newer records from the store. If that entry
// fails, the store must be read completely.
func TestTopicIsLoadedFromALoader(t *testing.T) {
	for name, fails := range map[string]bool{"works": false, "fails": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &memkv.Store{}
			put(g, store, "k", "old")
			put(g, store, "k", "new")
			f, v := newFollower(store)
			f.Loader = func(context.Context) (sardinerock.StorePage, error) {
				if fails {
					return sardinerock.StorePage{}, errStale
				}
				return sardinerock.StorePage{End: 1, Age: time.Second, Records: record("k", "old")}, nil
			}
			g.Expect(f.Sync(context.Background())).To(Succeed())
			g.Expect(v.get("k")).To(Equal("new"))
		})
	}
}

package origin

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/memkv"
)

const testLifetime = 5 * time.Second

// fleet is a few entries whose messages arrive at once.
type fleet struct {
	g       *WithT
	store   *memkv.Store
	mu      sync.Mutex
	entries map[string]*entry
}

type entry struct {
	*Locator
	fleet *fleet
	name  string
	// cut is set while no message from or to the entry arrives, stale while its list of backend servers is old, and unread
	// while that can't be read any more, though it isn't old.
	cut, stale, unread bool
	// onRead, if set, is called when the list is read again.
	onRead func()
}

var route = sardinerock.Route{Host: "h", Prefix: "/x/", Kind: sardinerock.RouteStream, Resumable: true, Timeout: testLifetime, Shares: []sardinerock.ServiceShare{{Service: "s", Weight: 1}}}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{g: NewWithT(t), store: &memkv.Store{PageSize: 1}, entries: map[string]*entry{}}
	for _, name := range names {
		f.start(name)
	}
	return f
}

// start starts an entry, or starts it again.
func (f *fleet) start(name string) *entry {
	e := &entry{fleet: f, name: name}
	e.Locator = &Locator{
		Peers: e.peers, Notify: e.send, AwaitPeers: func(context.Context) {}, Current: func() bool { return !e.stale }, ReadList: e.readList, StoreLostByAll: func() bool { return false },
		Query:    func(_ context.Context, peer string, raw []byte) ([]byte, error) { return e.exchange(peer, raw) },
		Versions: &Versions{Store: f.store, Topic: "versions", Writes: func(string) bool { return true }},
		Streams:  &Streams{Store: f.store, Topic: "streams", Process: name, RecordBytes: 1000}, Metrics: metrics.NewRegistry(),
	}
	e.SetTable(&sardinerock.RouteTable{Routes: []sardinerock.Route{route}})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[name] = e
	return e
}

func (e *entry) readList(context.Context, time.Time) bool {
	if e.onRead != nil {
		e.onRead()
	}
	return !e.stale && !e.unread
}

func (e *entry) peers(uint64) []string {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	var names []string
	for name := range e.fleet.entries {
		if name != e.name {
			names = append(names, name)
		}
	}
	return names
}

func (e *entry) send(peer string, raw []byte) { _, _ = e.exchange(peer, raw) }

func (e *entry) exchange(peer string, raw []byte) ([]byte, error) {
	e.fleet.mu.Lock()
	to := e.fleet.entries[peer]
	e.fleet.mu.Unlock()
	if to == nil || to.cut || e.cut {
		return nil, errors.New("no answer")
	}
	return to.Answer(raw)
}

// run has an entry keep the records for a time.
func (f *fleet) run(d time.Duration, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f.entries[name].Versions.Run(ctx, f.entries[name].Locator)
}

// restart replaces all entries by new ones, which see a list.
func (f *fleet) restart(versions string) {
	for _, name := range []string{"a", "b", "c"} {
		f.start(name)
	}
	f.list(versions)
}

func (f *fleet) record(key, value string) {
	_, err := f.store.Append(context.Background(), "versions", []sardinerock.StoreRecord{{Key: key, Value: []byte(value)}})
	f.g.Expect(err).NotTo(HaveOccurred())
}

// list makes a list of backend servers of service s known at some entries, or at all.
func (f *fleet) list(versions string, names ...string) {
	var list []sardinerock.BackendServer
	for i, version := range strings.Fields(versions) {
		list = append(list, sardinerock.BackendServer{ID: fmt.Sprint(i), Service: "s", Version: version})
	}
	for name, e := range f.entries {
		if len(names) == 0 || strings.Contains(strings.Join(names, " "), name) {
			e.SetServers(list)
		}
	}
}

func (e *entry) begin(request, version string) {
	e.fleet.g.Expect(e.tryBegin(request, version)).To(Succeed())
}

func (e *entry) tryBegin(request, version string) error {
	return e.Begin(context.Background(), Stream("", "h", request), sardinerock.Origin{Service: "s", Version: version}, &route, time.Now().Add(testLifetime))
}

func (e *entry) locate(request string) string {
	found := e.Locate(context.Background(), Stream("", "h", request), &route)
	return strings.TrimSpace(fmt.Sprint(found.Source, " ", found.Origin.Version))
}

// TestOriginIsFoundOrUnknown guards against a stream being continued at a guessed version, and against one that can
// go on being rejected, over changes of versions and losses of entries.
func TestOriginIsFoundOrUnknown(t *testing.T) {
	settled := testLifetime + outOfTouchTime
	for name, tt := range map[string]struct {
		play func(f *fleet) string
		want string
	}{
		"at the entry that began it": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["a"].begin("r", "v2")
			return f.entries["a"].locate("r")
		}, "own v2"},
		"at an entry that was notified": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["a"].begin("r", "v2")
			delete(f.entries, "a")
			return f.entries["b"].locate("r")
		}, "own v2"},
		"at an entry that starts later": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["a"].begin("r", "v2")
			delete(f.entries, "a")
			e := f.start("d")
			f.list("v1 v2", "d")
			return e.locate("r")
		}, "peer v2"},
		"at an entry that was cut off meanwhile": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["b"].cut = true
			f.entries["a"].begin("r", "v2")
			f.entries["b"].cut = false
			return f.entries["b"].locate("r")
		}, "peer v2"},
		"at an entry that is cut off from the others": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["b"].cut = true
			f.entries["a"].begin("r", "v2")
			time.Sleep(time.Second)
			return f.entries["b"].locate("r")
		}, "record v2"},
		"at an entry that is cut off from the others and the store": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["b"].cut = true
			f.entries["a"].begin("r", "v2")
			time.Sleep(time.Second)
			f.store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
			return f.entries["b"].locate("r")
		}, "none"},
		"begun before the second version": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			f.entries["a"].begin("r", "v1")
			f.list("v1 v2")
			delete(f.entries, "a")
			return f.entries["b"].locate("r")
		}, "own v1"},
		"one version, not known": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			return f.entries["b"].locate("r")
		}, "only v1"},
		"one version, none named": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			return f.entries["b"].locate("")
		}, "only v1"},
		"two versions, none named": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["b"].begin("r", "v1")
			return f.entries["b"].locate("")
		}, "none"},
		"the other version has just left": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			f.list("v1 v2")
			f.list("v2")
			time.Sleep(settled - time.Second)
			return f.entries["b"].locate("r")
		}, "none"},
		"the other version has just left, as recorded": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			f.list("v1 v2")
			f.list("v2")
			ctx, cancel := context.WithTimeout(context.Background(), settled-time.Second)
			defer cancel()
			for _, e := range f.entries {
				go e.Versions.Run(ctx, e.Locator)
			}
			<-ctx.Done()
			return f.entries["b"].locate("r")
		}, "none"},
		"the other version has left long ago": {func(f *fleet) string {
			f.list("v1 v2")
			f.list("v2")
			time.Sleep(settled)
			return f.entries["b"].locate("r")
		}, "only v2"},
		"one version, old list, peers see a second": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			f.list("v1 v2", "a", "c")
			f.entries["b"].stale = true
			return f.entries["b"].locate("r")
		}, "none"},
		"one version, old list, peers confirm it": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			f.entries["b"].stale = true
			return f.entries["b"].locate("r")
		}, "only v1"},
		"one version, old list, cut off": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			f.entries["b"].stale, f.entries["b"].cut = true, true
			return f.entries["b"].locate("r")
		}, "none"},
		"a new fleet of one version": {func(f *fleet) string {
			f.list("v1")
			return f.entries["b"].locate("r")
		}, "only v1"},
		"all entries start again, the other version has left": {func(f *fleet) string {
			f.list("v1 v2")
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			f.entries["a"].Versions.Run(ctx, f.entries["a"].Locator)
			for _, name := range []string{"a", "b", "c"} {
				f.start(name)
			}
			f.list("v2")
			return f.entries["b"].locate("r")
		}, "none"},
		"all entries start again long after, no entry has seen the other version leave": {func(f *fleet) string {
			f.list("v1 v2")
			f.run(time.Second, "a")
			time.Sleep(settled + mixedInterval + clockSkew)
			f.restart("v2")
			return f.entries["b"].locate("r")
		}, "none"},
		"all entries start again long after, the other version has left as recorded": {func(f *fleet) string {
			f.list("v1 v2")
			f.run(time.Second, "a")
			f.restart("v2")
			f.run(settled+clockSkew+leaveDelay+time.Second, "a")
			f.restart("v2")
			return f.entries["b"].locate("r")
		}, "only v2"},
		"all entries start again too early after the other version has left as recorded": {func(f *fleet) string {
			f.list("v1 v2")
			f.run(time.Second, "a")
			f.restart("v2")
			f.run(settled+clockSkew+leaveDelay-time.Second, "a")
			f.restart("v2")
			return f.entries["b"].locate("r")
		}, "none"},
		"all entries start again, begun at the first version": {func(f *fleet) string {
			f.list("v1")
			f.run(time.Second, "a")
			f.entries["a"].begin("r", "v1")
			f.list("v1 v2")
			f.run(time.Second, "a")
			f.restart("v1 v2")
			return f.entries["b"].locate("r")
		}, "base v1"},
		"all entries start again, begun at the second version": {func(f *fleet) string {
			f.list("v1")
			f.run(time.Second, "a")
			f.list("v1 v2")
			f.entries["a"].begin("r", "v2")
			f.restart("v1 v2")
			return f.entries["b"].locate("r")
		}, "record v2"},
		"all entries start again, two versions from the outset": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["a"].begin("r", "v2")
			time.Sleep(time.Second)
			f.restart("v1 v2")
			return f.entries["b"].locate("r") + ", " + f.entries["b"].locate("other")
		}, "record v2, none"},
		"all entries start again, none named": {func(f *fleet) string {
			f.list("v1")
			f.run(time.Second, "a")
			f.list("v1 v2")
			f.run(time.Second, "a")
			f.restart("v1 v2")
			return f.entries["b"].locate("")
		}, "none"},
		"all entries start again, versions have changed meanwhile": {func(f *fleet) string {
			f.list("v1")
			f.run(time.Second, "a")
			f.restart("v2")
			return f.entries["b"].locate("r")
		}, "only v1"},
		"all entries start again, rollback meanwhile": {func(f *fleet) string {
			f.list("v1")
			f.run(time.Second, "a")
			f.list("v2")
			f.run(leaveDelay+time.Second, "a")
			f.restart("v1")
			return f.entries["b"].locate("r")
		}, "none"},
		"all entries start again, the route has moved meanwhile": {func(f *fleet) string {
			f.list("v1")
			f.run(time.Second, "a")
			for _, name := range []string{"a", "b", "c"} {
				e := f.start(name)
				moved := route
				moved.Shares = []sardinerock.ServiceShare{{Service: "u", Weight: 1}}
				e.SetTable(&sardinerock.RouteTable{Version: 2, Routes: []sardinerock.Route{moved}})
				e.SetServers([]sardinerock.BackendServer{{ID: "0", Service: "u", Version: "v1"}})
				found := e.Locate(context.Background(), Stream("", "h", "r"), &moved)
				f.g.Expect(found.Source).To(Equal(SourceNone))
			}
			return f.entries["b"].locate("r")
		}, "none"},
		"an entry of an earlier build has recorded several versions": {func(f *fleet) string {
			f.record("s", fmt.Sprintf("\xa1\x01\x1b%s", binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixMilli()))))
			f.list("v2")
			f.run(settled-time.Second, "a")
			f.restart("v2")
			return f.entries["b"].locate("r")
		}, "none"},
		"an entry of an earlier build recorded several versions long ago": {func(f *fleet) string {
			f.record("s", fmt.Sprintf("\xa1\x01\x1b%s", binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixMilli()))))
			f.list("v2")
			f.run(settled+mixedInterval+clockSkew+time.Second, "a")
			f.restart("v2")
			return f.entries["b"].locate("r")
		}, "only v2"},
		"an entry of an earlier build overwrites the record": {func(f *fleet) string {
			f.list("v1")
			f.run(time.Second, "a")
			f.list("v1 v2")
			f.run(time.Second, "a")
			f.record("s", fmt.Sprintf("\xa1\x01\x1b%s", binary.BigEndian.AppendUint64(nil, uint64(time.Now().UnixMilli()))))
			f.run(time.Second, "a")
			f.restart("v1 v2")
			return f.entries["b"].locate("r")
		}, "none"},
		"a record that can't be decoded": {func(f *fleet) string {
			f.record("s", "\x82")
			f.list("v1")
			return f.entries["b"].locate("r")
		}, "none"},
		"a new entry, the store fails": {func(f *fleet) string {
			f.list("v1")
			f.store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
			return f.entries["b"].locate("r")
		}, "none"},
		"one version, the store fails": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			f.store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
			f.entries["b"].cut = true
			return f.entries["b"].locate("r")
		}, "only v1"},
		"one version, old list, the store fails": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			f.store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
			f.entries["b"].cut, f.entries["b"].stale = true, true
			return f.entries["b"].locate("r")
		}, "none"},
		"one version, old list, no entry can read the store": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			f.store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
			f.entries["b"].cut, f.entries["b"].stale = true, true
			f.entries["b"].StoreLostByAll = func() bool { return true }
			return f.entries["b"].locate("r")
		}, "only v1"},
		"a second version joins, cut off for less than the age of an old list": {func(f *fleet) string {
			f.list("v1")
			f.run(time.Second, "a")
			time.Sleep(settled)
			f.entries["b"].cut, f.entries["b"].unread = true, true
			f.list("v1 v2", "a", "c")
			f.entries["a"].begin("r", "v2")
			time.Sleep(100 * time.Millisecond)
			f.store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
			return f.entries["b"].locate("r")
		}, "none"},
		"a second version joins, the list is read once more": {func(f *fleet) string {
			f.list("v1")
			f.run(time.Second, "a")
			time.Sleep(settled)
			b := f.entries["b"]
			b.cut = true
			b.onRead = func() { f.list("v1 v2", "b") }
			f.list("v1 v2", "a", "c")
			f.entries["a"].begin("r", "v2")
			time.Sleep(100 * time.Millisecond)
			f.store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
			return b.locate("r")
		}, "none"},
		"the route has moved to the service": {func(f *fleet) string {
			f.list("v1")
			time.Sleep(settled)
			moved := route
			moved.Shares = []sardinerock.ServiceShare{{Service: "before", Weight: 1}}
			f.entries["b"].SetTable(&sardinerock.RouteTable{Routes: []sardinerock.Route{moved}})
			f.entries["b"].SetTable(&sardinerock.RouteTable{Routes: []sardinerock.Route{route}})
			return f.entries["b"].locate("r")
		}, "none"},
		"expired": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["a"].begin("r", "v2")
			time.Sleep(testLifetime + resumeMargin)
			recorded := f.entries["a"].locate("r")
			time.Sleep(clockSkew + time.Second)
			return recorded + ", " + f.entries["a"].locate("r")
		}, "record v2, none"},
		"the first origin of a stream stays": {func(f *fleet) string {
			f.list("v1 v2")
			f.entries["a"].begin("r", "v2")
			f.entries["b"].begin("r", "v1")
			return f.entries["b"].locate("r") + ", " + f.entries["a"].locate("r")
		}, "own v2, own v2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "b", "c")
				f.g.Expect(tt.play(f)).To(Equal(tt.want))
			})
		})
	}
}

// TestOneVersionCostsNothing guards against messages between entries, or calls to the store, for streams of services
// with one version: the records are written once for all entries, and read once by each.
func TestOneVersionCostsNothing(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.list("v1 v1 v1")
	for _, name := range []string{"a", "b", "c"} {
		f.run(2*checkInterval, name)
	}
	calls := func() []int {
		return []int{f.store.Calls("newest"), f.store.Calls("appendAt"), f.store.Calls("append"), f.store.Calls("read"), f.store.Calls("fetch")}
	}
	before := calls()
	f.g.Expect(before[1:]).To(Equal([]int{1, 0, 0, 0}))
	for n := range 100 {
		f.entries["a"].begin(fmt.Sprint(n), "v1")
	}
	f.g.Expect(f.entries["a"].Metrics.Get("origins.notified")).To(BeNil())
	f.run(3*checkInterval, "a")
	f.g.Expect(calls()).To(Equal(before))
	page, err := f.store.Newest(context.Background(), "streams", "")
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(page.Records).To(BeEmpty())
}

// TestFullTableKeepsStreams guards against a flood of streams replacing those that others resume, and against a
// table that grows without bound.
func TestFullTableKeepsStreams(t *testing.T) {
	g := NewWithT(t)
	var s table
	now := time.Now()
	for n := range uint64(maxStreams + 100) {
		g.Expect(s.put(n+1, known{origin: sardinerock.Origin{Service: "s"}, until: now.Add(time.Second)}, now)).To(Equal(n < maxStreams))
	}
	_, ok := s.get(1, now)
	g.Expect(ok).To(BeTrue())
	later := now.Add(2 * time.Second)
	g.Expect(s.put(7, known{until: later.Add(time.Second)}, later)).To(BeTrue())
	g.Expect(s.streams).To(HaveLen(1))
}

// TestUnknownMessages guards against messages of other builds being taken for notifications or queries.
func TestUnknownMessages(t *testing.T) {
	f := newFleet(t, "a")
	for name, raw := range map[string]string{"array": "\x82\xf6\x60", "empty map": "\xa0", "cut off": "\xa1\x01"} {
		t.Run(name, func(t *testing.T) {
			_, err := f.entries["a"].Answer([]byte(raw))
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
	f.g.Expect(IsMessage([]byte("\x82\xf6\x60"))).To(BeFalse())
	f.g.Expect(IsMessage(nil)).To(BeFalse())
}

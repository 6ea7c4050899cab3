package pool

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/rights"
)

const testViewAge = 100 * ms

// scarcePool returns the pool of one of thirty entries. The peers run online requests in all slots
// of its backend servers but the given number on each.
func scarcePool(servers, free int, started bool) *Pool {
	p := &Pool{Name: "a", Zone: "z0", Random: newPool("a", 0, 0).Random}
	p.setServers(servers, started)
	for n := range 29 {
		var loads []Load
		for id := range p.servers {
			if n < fleetSlots-free {
				loads = append(loads, Load{Server: Hash(id), Online: 1})
			}
		}
		p.SetPeer(fmt.Sprint("peer-", n), loads, testStart.Add(-time.Second))
	}
	return p
}

// setServers lists backend servers, in an order that doesn't depend on the iteration of a map.
func (p *Pool) setServers(n int, started bool) {
	list := servers(n, fleetSlots)
	for i := range list {
		if started {
			list[i].Started = 1
		}
	}
	p.SetServers(list)
	slices.SortFunc(p.byService["s"], func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
}

func (p *Pool) expectReserving(g *WithT, waited time.Duration, now time.Time) Choice {
	c, ok := p.ChooseReserving("s", &Request{Request: rights.Request{Waited: waited, Target: fleetTarget}, ViewAge: testViewAge}, now)
	g.Expect(ok).To(BeTrue())
	return c
}

// Where start times aren't stated, or while slots are ample, the choices must be those without rights
// for the same random source, request for request, also after refusals.
func TestChoicesWithoutScarcityAreUnchanged(t *testing.T) {
	for name, test := range map[string]struct {
		free    int
		started bool
	}{"not stated": {1, false}, "ample": {6, true}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			present, rights := scarcePool(38, test.free, false), scarcePool(38, test.free, test.started)
			for n := range 60 {
				now := testStart.Add(time.Duration(n) * 10 * ms)
				want, ok := present.ChooseOnline("s", &Request{}, now)
				g.Expect(ok).To(BeTrue())
				got := rights.expectReserving(g, 0, now)
				g.Expect(got.ID).To(Equal(want.ID))
				g.Expect(got.Right).To(Equal(RightUnneeded))
				if n%5 == 0 {
					present.Done(want.ID, false, false, now)
					rights.Done(got.ID, false, false, now)
				}
			}
			g.Expect(rights.FreeSlots("s", 0, testStart)).To(Equal(present.FreeSlots("s", 0, testStart)))
		})
	}
}

// Thirty entries know of one free slot on each of three backend servers. A request must wait where its
// entry has no right, and reach a slot at any entry once half of its target has passed. Otherwise the
// slots of entries that are lost or paused would stay idle.
func TestRequestWithoutRightWaitsAndThenReachesASlot(t *testing.T) {
	g := NewWithT(t)
	waiting := 0
	for n := range 30 {
		now := testStart.Add(time.Duration(n) * testViewAge)
		p := scarcePool(3, 1, true)
		c := p.expectReserving(g, 0, now)
		p.CancelOnline(c.ID)
		if c.Right == RightNone {
			waiting++
		} else {
			g.Expect(c.Right).To(Equal(RightHeld))
		}
		c = p.expectReserving(g, fleetTarget/2, now.Add(30*ms))
		g.Expect(c.Right).To(BeElementOf(RightHeld, RightGrown))
		g.Expect(c.Full()).To(BeFalse())
	}
	g.Expect(waiting).To(And(BeNumerically(">", 15), BeNumerically("<", 30)))
}

// A request that may run only once must wait for a right rather than go to a backend server that has
// recently aborted requests, where it would be lost. Where all are ejected, nothing is gained by waiting.
func TestRightsDontLeadToFailingServers(t *testing.T) {
	g := NewWithT(t)
	p := scarcePool(3, 1, true)
	p.RecordAbort("i-0", testStart)
	p.SetPeer("peer-0", []Load{{Server: Hash("i-1"), Online: 1}, {Server: Hash("i-2"), Online: 1}}, testStart)
	p.servers["i-0"].reported = 2 * fleetSlots // The slots of i-0 belong to this entry.
	once := &Request{Request: rights.Request{Target: fleetTarget}, Once: true, ViewAge: testViewAge}
	c, _ := p.ChooseReserving("s", once, testStart)
	g.Expect(c.Right).To(Equal(RightNone))
	for id := range p.servers {
		p.Done(id, false, true, testStart)
	}
	g.Expect(p.expectReserving(g, 0, testStart).Ejected).To(BeTrue())
}

// An entry that has received nothing from any other must not wait for rights of entries that may not exist.
func TestEntryAloneUsesEverySlot(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 0, 0)
	p.setServers(2, true)
	for range 2 * fleetSlots {
		c := p.expectReserving(g, 0, testStart)
		g.Expect(c.Full()).To(BeFalse())
		g.Expect(c.Right).NotTo(Equal(RightNone))
	}
}

// The other entries don't know yet that a request of this one has ended. Its slot must be free for the
// next request here at once, and no longer only for it once the end has been reported.
func TestFreedSlotBelongsToTheEntryUntilItsReport(t *testing.T) {
	g := NewWithT(t)
	p := scarcePool(1, 1, true)
	s := p.servers["i-0"]
	g.Expect(p.expectReserving(g, fleetTarget, testStart).ID).To(Equal("i-0"))
	p.OwnLoads()
	p.Done("i-0", false, false, testStart)
	g.Expect(p.expectReserving(g, 0, testStart).Right).To(Equal(RightFreed))
	g.Expect(s.right(p.scarcities["s"], 0, testStart)).To(Equal(RightUnneeded), "its slots are taken")
	p.Done("i-0", false, false, testStart)
	p.OwnLoads()
	g.Expect(p.expectReserving(g, 0, testStart).Right).NotTo(Equal(RightFreed))
}

// A backend server that has refused must not be asked again before the reports that this entry
// lacked have come. Otherwise each of its waiting requests would be refused in turn. The end of a
// run of this entry there frees a slot, which must be used at once.
func TestRefusalHoldsUntilTheViewIsRenewed(t *testing.T) {
	g := NewWithT(t)
	p := scarcePool(1, 1, true)
	own := p.expectReserving(g, fleetTarget, testStart)
	p.SetPeer("peer-0", nil, testStart)
	refused := p.expectReserving(g, fleetTarget, testStart)
	p.CancelOnline(refused.ID)
	p.RecordFull(refused.ID, testStart)
	renewed := testStart.Add(updatesPerReuse * testViewAge)
	g.Expect(p.FreeSlots("s", 0, renewed.Add(-ms))).To(BeZero())
	c := p.expectReserving(g, fleetTarget, renewed.Add(-ms))
	g.Expect(c.Full()).To(BeTrue())
	p.CancelOnline(c.ID)
	p.Done(own.ID, false, false, renewed.Add(-ms))
	c = p.expectReserving(g, fleetTarget, renewed.Add(-ms))
	g.Expect(c.Full()).To(BeFalse())
}

// All slots hold online work or one batch item each. Entries that preempted on the same backend server
// would interrupt several items for one slot, so they must choose different ones, of which each has
// rights to a few.
func TestPreemptionsAreSpread(t *testing.T) {
	g := NewWithT(t)
	chosen := map[string]int{}
	for n := range 29 {
		p := scarcePool(38, 1, true)
		p.Name, p.Random = fmt.Sprint("peer-", n), newPool(fmt.Sprint(n), 0, 0).Random
		// The runs are assigned by the names of all entries, so that all pools need the same entries.
		p.peers["peer-29"] = p.peers[p.Name]
		delete(p.peers, p.Name)
		var loads []Load
		for id := range p.servers {
			loads = append(loads, Load{Server: Hash(id), Online: 1, Batch: 1})
		}
		p.SetPeer("peer-29", loads, testStart)
		if c := p.expectReserving(g, 0, testStart); c.Right != RightNone {
			g.Expect(c.Full()).To(BeTrue())
			chosen[c.ID]++
		}
	}
	g.Expect(len(chosen)).To(BeNumerically(">=", 8))
	for _, n := range chosen {
		g.Expect(n).To(BeNumerically("<=", 4))
	}
}

// Runs to preempt are assigned to entries. With a further draw by server, a request would skip the run
// that is assigned to its entry in most cases, and interrupt an older one for which it drew a right.
func TestRequestPreemptsTheAssignedRun(t *testing.T) {
	g := NewWithT(t)
	p := scarcePool(38, 1, true)
	for range 30 {
		p.RecordServed("i-0", Sample{Timing: Timing{Run: fleetRun, FirstByte: fleetFirst}})
	}
	assigned := 0
	for n := range 20 {
		now := testStart.Add(time.Duration(n) * time.Second)
		for id := range 29 {
			var loads []Load
			if id < fleetSlots-1 {
				loads = p.fullLoads(1, 0)
			} else if id == fleetSlots+n {
				loads = p.fullLoads(0, 1)
			}
			p.SetPeer(fmt.Sprint("peer-", id), loads, now)
		}
		c := p.expectReserving(g, 0, now)
		best := p.servers[c.ID].preempt
		p.CancelOnline(c.ID)
		if c.Right == RightHeld {
			g.Expect(best.rank).To(BeNumerically("<", preferYoung))
			assigned++
			continue
		}
		g.Expect(c.Right).To(Equal(RightNone))
		for _, s := range p.servers {
			g.Expect(s.preempt == nil || s.preempt.rank >= preferYoung).To(BeTrue(), "a run that is assigned to this entry")
		}
	}
	g.Expect(assigned).To(BeNumerically(">=", 5))
}

// While the load doesn't grow, the free slots suffice for the requests that arrive as others end. A request
// without a right to one must wait for a moment; if it preempted, all items would be interrupted one by one. At
// the beginning of a burst it must preempt at once, or it is late.
func TestRequestWaitsForAFreeSlotBeforeItPreempts(t *testing.T) {
	g := NewWithT(t)
	waiting, preempting := 0, 0
	for n := range 20 {
		// Which runs are assigned to this entry depends on the holder.
		now, holder := testStart.Add(time.Duration(n)*time.Second), fmt.Sprint("peer-", fleetSlots+n)
		p := scarcePool(38, 1, true)
		loads := p.fullLoads(0, 1)
		loads[n].Batch = 0
		p.SetPeer(holder, loads, now)
		c := p.expectReserving(g, 0, now)
		p.CancelOnline(c.ID)
		g.Expect(c.Full()).To(BeFalse())
		if c.Right != RightNone {
			continue
		}
		waiting++
		// Online requests take the slots of half of the items.
		for i := range loads {
			if i != n && i%2 == 0 {
				loads[i].Online, loads[i].Batch = 1, 0
			}
		}
		now = now.Add(testViewAge)
		p.SetPeer(holder, loads, now)
		c = p.expectReserving(g, 0, now)
		p.CancelOnline(c.ID)
		if c.Full() {
			g.Expect(c.Right).To(Equal(RightHeld))
			preempting++
		}
	}
	g.Expect(waiting).To(BeNumerically(">=", 10))
	g.Expect(preempting).To(BeNumerically(">=", waiting/4), "entries to which a run is assigned")
}

// In a small fleet each entry starts ten requests within the age of a view, but only one run is assigned to it
// on average. They must not wait for their rights to grow, or most would be late at the beginning of a burst.
func TestFewEntriesPreemptManyRuns(t *testing.T) {
	for _, peers := range []int{0, 1, 2} {
		g := NewWithT(t)
		p := &Pool{Name: "a", Zone: "z0", Random: newPool("a", 0, 0).Random}
		p.setServers(38, true)
		for n := range peers {
			p.SetPeer(fmt.Sprint("peer-", n), p.fullLoads((fleetSlots-1)/peers, 0), testStart)
		}
		for _, s := range p.byService["s"] {
			p.addLoad(s, 0, fleetSlots-s.online-s.peerLoad.Online)
		}
		p.OwnLoads()
		preempting := 0
		for range 10 {
			if c := p.expectReserving(g, 0, testStart); c.Right != RightNone {
				p.PreemptHolder(c.ID, testStart)
				preempting++
			}
		}
		g.Expect(preempting).To(BeNumerically(">=", 8), "with %d others", peers)
	}
}

// A service that no longer states starts, and does again later, must not keep the runs of before.
func TestRunsEndWithTheStatedStarts(t *testing.T) {
	g := NewWithT(t)
	p := startingPool("a", 2, 1)
	p.report("b", testStart, 0, 1)
	p.expectReserving(g, 0, testStart)
	g.Expect(p.servers["i-0"].preempt).NotTo(BeNil())
	p.SetServers(servers(2, 1))
	g.Expect(p.servers["i-0"].preempt).To(BeNil())
}

// fullLoads returns equal loads on all backend servers.
func (p *Pool) fullLoads(online, batch int) []Load {
	var loads []Load
	for _, s := range p.byService["s"] {
		loads = append(loads, Load{Server: s.hash, Online: online, Batch: batch})
	}
	return loads
}

// A slot that has just become visible as free is taken by an online request in a moment. An item that
// started there would be preempted again.
func TestItemsLeaveScarceSlotsToOnlineRequests(t *testing.T) {
	g := NewWithT(t)
	p := scarcePool(2, 0, true)
	p.CancelOnline(p.expectReserving(g, 0, testStart).ID)
	p.SetPeer("peer-0", nil, testStart)
	g.Expect(p.FreeSlots("s", 0, testStart)).To(BeZero())
	g.Expect(p.FreeSlots("s", 0, testStart.Add(rights.ItemDelay-ms))).To(BeZero())
	_, ok := p.ChooseBatch("s", BatchRequest{Reserve: 0}, testStart.Add(rights.ItemDelay-ms))
	g.Expect(ok).To(BeFalse())
	g.Expect(p.FreeSlots("s", 0, testStart.Add(rights.ItemDelay))).To(Equal(2))
	// Without online requests there is no request to leave the slots to.
	p.SetPeer("peer-1", nil, testStart)
	g.Expect(p.FreeSlots("s", 0, testStart.Add(scarcityTimeout+ms))).To(Equal(4))
}

// Under constant high load no slot is visible as free for as long as items wait. One that is about to miss
// its due time must take a slot at once, or it is late however long it has waited.
func TestItemsAtRiskTakeScarceSlots(t *testing.T) {
	g := NewWithT(t)
	p := scarcePool(2, 0, true)
	for n := range 100 {
		now := testStart.Add(time.Duration(n) * 50 * ms)
		// The slot that one request frees is taken by the next within 100 ms.
		p.CancelOnline(p.expectReserving(g, 0, now).ID)
		p.SetPeer("peer-0", p.fullLoads(n/2%2, 0), now)
		g.Expect(p.Scarce("s", now)).To(BeTrue())
		g.Expect(p.FreeSlots("s", 0, now)).To(BeZero())
		g.Expect(p.FreeSlotsAtRisk("s", 0, now)).To(Equal(2 - n/2%2*2))
		if c, ok := p.ChooseBatch("s", BatchRequest{Reserve: 0, AtRisk: true}, now); ok {
			p.Done(c.ID, true, false, now)
		}
	}
	g.Expect(p.Scarce("s", testStart.Add(10*time.Second))).To(BeFalse(), "no online requests")
}

// largeScarcePool returns a pool of 400 backend servers with one free slot each, and 500 entries.
func largeScarcePool() *Pool {
	p := scarcePool(400, 1, true)
	for n := range 470 {
		p.SetPeer(fmt.Sprint("more-", n), nil, testStart)
	}
	return p
}

// BenchmarkReserving measures a choice while slots are scarce, with a new division and a new check of
// the scarcity every tenth time.
func BenchmarkReserving(b *testing.B) {
	for name, waited := range map[string]time.Duration{"arrived": 0, "grown": fleetTarget} {
		b.Run(name, func(b *testing.B) {
			p, now := largeScarcePool(), testStart
			r := &Request{Request: rights.Request{Waited: waited, Target: fleetTarget}, ViewAge: testViewAge}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if n%10 == 0 {
					now = now.Add(testViewAge)
				}
				c, _ := p.ChooseReserving("s", r, now)
				p.CancelOnline(c.ID)
			}
		})
	}
}

// BenchmarkSetPeer measures the receipt of a report of an entry with 20 requests.
func BenchmarkSetPeer(b *testing.B) {
	p, loads := largeScarcePool(), []Load(nil)
	for n := range 20 {
		loads = append(loads, Load{Server: Hash(fmt.Sprint("i-", n)), Online: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		p.SetPeer("more-1", loads, testStart)
	}
}

package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

var testStart = time.Unix(1000, 0)

func servers(n, slots int) []sardinerock.BackendServer {
	var list []sardinerock.BackendServer
	for i := range n {
		list = append(list, sardinerock.BackendServer{ID: fmt.Sprint("i-", i), Service: "s", Slots: slots, Zone: fmt.Sprint("z", i%3)})
	}
	return list
}

func newPool(name string, n, slots int) *Pool {
	p := &Pool{Name: name, Zone: "z0", Random: rand.New(rand.NewPCG(uint64(Hash(name)), 1))}
	p.SetServers(servers(n, slots))
	return p
}

func (p *Pool) expectOnline(g *WithT, tried map[string]bool) Choice {
	c, ok := p.ChooseOnline("s", &Request{Tried: tried}, testStart)
	g.Expect(ok).To(BeTrue())
	return c
}

func TestOnlineTakesFreeSlotsFirst(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 3, 2)
	p.SetPeer("b", []Load{{Server: Hash("i-0"), Online: 2}, {Server: Hash("i-1"), Online: 1, Batch: 1}}, testStart)
	g.Expect(p.expectOnline(g, nil).ID).To(Equal("i-2"))
	g.Expect(p.expectOnline(g, nil).ID).To(Equal("i-2"))
	// All are full now; preempting a batch item is better than waiting for online work.
	c := p.expectOnline(g, nil)
	g.Expect(c.ID).To(Equal("i-1"))
	g.Expect(c.Full()).To(BeTrue())
}

func TestOwnZoneIsPreferredUpToALoad(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 3, 8)
	g.Expect(p.expectOnline(g, nil).Zone).To(Equal("z0"))
	p.SetPeer("b", []Load{{Server: Hash("i-0"), Online: 1}}, testStart)
	g.Expect(p.expectOnline(g, nil).Zone).NotTo(Equal("z0"))
}

func TestDrainingAndTriedAreSkipped(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 2, 2)
	list := servers(2, 2)
	list[0].Draining = true
	p.SetServers(list)
	g.Expect(p.expectOnline(g, nil).ID).To(Equal("i-1"))
	_, ok := p.ChooseOnline("s", &Request{Tried: map[string]bool{"i-1": true}}, testStart)
	g.Expect(ok).To(BeFalse())
}

// A backend server resets the connections of its requests. It must be skipped for a
// while, twice as long after each failure, and be chosen if there is no other.
func TestEjectionGrowsAndEnds(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 2, 4)
	p.Done(p.expectOnline(g, map[string]bool{"i-1": true}).ID, false, true, testStart)
	g.Expect(p.expectOnline(g, nil).ID).To(Equal("i-1"))
	c := p.expectOnline(g, map[string]bool{"i-1": true})
	g.Expect(c.Ejected).To(BeTrue())
	p.Done(c.ID, false, true, testStart)
	s := p.servers["i-0"]
	g.Expect(s.ejectedUntil).To(Equal(testStart.Add(2 * minEjection)))
	p.RecordServed("i-0", Sample{Timing: Timing{Run: time.Second}})
	g.Expect(s.ejectedUntil.IsZero()).To(BeTrue())
}

// If a backend server is removed from the list while it still answers, its count
// must be kept until the response ends.
func TestCountsAreKeptAfterRemovalFromTheList(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 1, 4)
	c := p.expectOnline(g, nil)
	p.SetServers(nil)
	g.Expect(p.OwnLoads()).To(HaveLen(1))
	_, ok := p.ChooseOnline("s", &Request{}, testStart)
	g.Expect(ok).To(BeFalse())
	p.Done(c.ID, false, false, testStart)
	g.Expect(p.OwnLoads()).To(BeEmpty())
	p.SetServers(nil)
	g.Expect(p.Known(c.ID)).To(BeFalse())
}

// After DropPeer the loads of an entry that stops or is unreachable must not count.
// Package gossip decides when that is.
func TestDroppedPeersAreNotCounted(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 1, 2)
	p.SetPeer("b", []Load{{Server: Hash("i-0"), Online: 2}}, testStart)
	g.Expect(p.FreeSlots("s", 0, testStart)).To(Equal(0))
	p.DropPeer("b")
	g.Expect(p.FreeSlots("s", 0, testStart)).To(Equal(2))
}

func TestBatchKeepsTheReserve(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 2, 3)
	for range 4 {
		_, ok := p.ChooseBatch("s", BatchRequest{Reserve: 1}, testStart)
		g.Expect(ok).To(BeTrue())
	}
	_, ok := p.ChooseBatch("s", BatchRequest{Reserve: 1}, testStart)
	g.Expect(ok).To(BeFalse())
	for _, l := range p.OwnLoads() {
		g.Expect(l.Batch).To(Equal(2))
	}
}

// Three entries run batch items on a backend server that online work has filled.
// Together they must preempt as many items as online work lacks slots, instead of
// each preempting as many.
func TestExcessIsDividedAmongEntries(t *testing.T) {
	g := NewWithT(t)
	load := map[string]int{"a": 2, "b": 2, "c": 1}
	const online, slots = 6, 8
	total := 0
	for name := range load {
		p := newPool(name, 1, slots)
		for range load[name] {
			_, ok := p.ChooseBatch("s", BatchRequest{Reserve: 0}, testStart)
			g.Expect(ok).To(BeTrue())
		}
		for peer, batch := range load {
			if peer != name {
				p.SetPeer(peer, []Load{{Server: Hash("i-0"), Batch: batch}}, testStart)
			}
		}
		p.SetPeer("d", []Load{{Server: Hash("i-0"), Online: online}}, testStart)
		total += p.Excess("i-0", testStart)
	}
	g.Expect(total).To(Equal(online + 5 - slots))
}

// A burst of nearly twice the mean load arrives within a tenth of a second, and each
// of eight entries knows the others' loads only as they were before it. No backend
// server may get more requests of the burst than it has slots, or its last ones
// would wait for more than one response.
func TestBurstSpreadsWithStaleViews(t *testing.T) {
	g := NewWithT(t)
	const entries, backends, slots, requests = 8, 18, 8, 60
	pools := make([]*Pool, entries)
	for i := range pools {
		pools[i] = newPool(fmt.Sprint("e", i), backends, slots)
		pools[i].Zone = fmt.Sprint("z", i%3)
		pools[i].SetServers(servers(backends, slots))
	}
	// All know the load from before the burst, which takes half of all slots.
	for i, p := range pools {
		for j := range pools {
			if i != j {
				var loads []Load
				for s := range backends {
					loads = append(loads, Load{Server: Hash(fmt.Sprint("i-", s)), Online: (s + j) % 2})
				}
				p.SetPeer(fmt.Sprint("e", j), loads, testStart)
			}
		}
	}
	got := map[string]int{}
	for n := range requests {
		c := pools[n%entries].expectOnline(g, nil)
		got[c.ID]++
	}
	for id, n := range got {
		g.Expect(n).To(BeNumerically("<=", slots), id)
	}
}

func BenchmarkOnline(b *testing.B) {
	for _, backends := range []int{40, 400} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			p := newPool("a", backends, 8)
			for j := range 28 {
				var loads []Load
				for s := range backends / 4 {
					loads = append(loads, Load{Server: Hash(fmt.Sprint("i-", s)), Online: 1})
				}
				p.SetPeer(fmt.Sprint("e", j), loads, testStart)
			}
			b.ReportAllocs()
			for b.Loop() {
				if c, ok := p.ChooseOnline("s", &Request{}, testStart); ok {
					p.Done(c.ID, false, false, testStart)
				}
			}
		})
	}
}

// With thousands of backend servers, all but a few full, a choice that compares some
// dozens of them must still find a free slot wherever it is.
func TestChoiceAmongThousandsFindsTheFreeSlot(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 3000, 7)
	var loads []Load
	for n := range 3000 {
		if n != 1234 {
			loads = append(loads, Load{Server: Hash(fmt.Sprint("i-", n)), Online: 7})
		}
	}
	p.SetPeer("b", loads, testStart)
	for range 7 {
		g.Expect(p.expectOnline(g, nil).ID).To(Equal("i-1234"))
	}
	c := p.expectOnline(g, nil)
	g.Expect(c.Full()).To(BeTrue())
	p.DropPeer("b")
	seen := map[string]bool{}
	for range 500 {
		c := p.expectOnline(g, nil)
		g.Expect(c.Online).To(BeNumerically("<=", 1), "nearly all are empty")
		seen[c.ID] = true
	}
	g.Expect(len(seen)).To(BeNumerically(">", 400))
}

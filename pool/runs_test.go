package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startingPool returns the pool of an entry whose backend servers state their starts.
func startingPool(name string, n, slots int) *Pool {
	p := newPool(name, n, slots)
	list := servers(n, slots)
	for i := range list {
		list[i].Started = 1
	}
	p.SetServers(list)
	return p
}

// report sets the loads of another entry, which runs one batch item on each of some backend servers.
func (p *Pool) report(name string, now time.Time, running ...int) {
	var loads []Load
	for _, n := range running {
		loads = append(loads, Load{Server: Hash(fmt.Sprint("i-", n)), Batch: 1})
	}
	p.SetPeer(name, loads, now)
}

// At the beginning of a burst thirty entries with the same view look for a run to preempt. If they
// chose the same one, all but one would find no slot; if they chose any, runs near their end would be
// interrupted.
func TestEntriesPreemptDifferentYoungRuns(t *testing.T) {
	g := NewWithT(t)
	const entries, backends = 30, 40
	asked := map[string]int{}
	old := 0
	for e := range entries {
		p := startingPool(fmt.Sprint("e", e), backends, 3)
		for o := range entries {
			// The first four runs of each entry are 5 s old, the last two 1 s.
			var running []int
			for n := range 4 {
				running = append(running, (4*o+n)%backends)
			}
			young := append(slices.Clone(running), (o+20)%backends, (o+25)%backends)
			if o == e {
				for _, n := range young {
					p.addLoad(p.servers[fmt.Sprint("i-", n)], 0, 1)
					p.servers[fmt.Sprint("i-", n)].batchStarted = testStart.Add(4 * time.Second)
				}
				continue
			}
			p.report(fmt.Sprint("e", o), testStart, running...)
			p.report(fmt.Sprint("e", o), testStart.Add(4*time.Second), young...)
		}
		now := testStart.Add(5 * time.Second)
		c, ok := p.ChooseOnline("s", &Request{}, now)
		g.Expect(ok).To(BeTrue())
		g.Expect(c.Full()).To(BeTrue())
		holder, ok := p.PreemptHolder(c.ID, now)
		if !ok {
			old++
			continue
		}
		asked[holder+" "+c.ID]++
	}
	g.Expect(old).To(BeZero(), "a run that isn't among the youngest")
	g.Expect(len(asked)).To(BeNumerically(">=", entries*2/3), "different runs")
}

// A run that this entry has asked to be preempted is still in the reports of its holder for a while. It
// must not be asked for again.
func TestRunIsAskedForOnce(t *testing.T) {
	g := NewWithT(t)
	p := startingPool("a", 1, 2)
	p.report("b", testStart, 0)
	p.report("c", testStart, 0)
	first, ok := p.PreemptHolder("i-0", testStart)
	g.Expect(ok).To(BeTrue())
	second, ok := p.PreemptHolder("i-0", testStart.Add(2*runsCacheTime))
	g.Expect(ok).To(BeTrue())
	g.Expect(second).NotTo(Equal(first))
	_, ok = p.PreemptHolder("i-0", testStart.Add(4*runsCacheTime))
	g.Expect(ok).To(BeFalse())
	p.report("b", testStart.Add(2*time.Second), 0)
	p.report("c", testStart.Add(2*time.Second), 0)
	_, ok = p.PreemptHolder("i-0", testStart.Add(2*time.Second))
	g.Expect(ok).To(BeTrue(), "the message may have been lost")
}

// The age of a run must survive the reports that follow, or each run of another entry looks new.
func TestReportsKeepTheStartOfARun(t *testing.T) {
	g := NewWithT(t)
	p := startingPool("a", 2, 2)
	p.report("b", testStart, 0)
	p.report("b", testStart.Add(time.Second), 0, 1)
	g.Expect(p.peers["b"].started).To(Equal(map[uint32]time.Time{Hash("i-0"): testStart, Hash("i-1"): testStart.Add(time.Second)}))
	p.report("b", testStart.Add(2*time.Second), 1)
	p.report("b", testStart.Add(3*time.Second), 0, 1)
	g.Expect(p.peers["b"].started[Hash("i-0")]).To(Equal(testStart.Add(3 * time.Second)))
}

// A deployment whose backend servers don't state their starts must be served as before.
func TestRunsDontCountWithoutStarts(t *testing.T) {
	g := NewWithT(t)
	all := make([]int, 20)
	for n := range all {
		all[n] = n
	}
	// old are the backend servers on which an entry's run is older than on the others.
	ranks := func(old ...int) map[string]float64 {
		p, now := newPool("a", len(all), 1), testStart.Add(6*time.Second)
		p.report("b", testStart, old...)
		p.report("b", testStart.Add(5*time.Second), all...)
		ranks := map[string]float64{}
		for id, s := range p.servers {
			ranks[id] = p.rankOnline(s, false, now)
			_, ok := p.PreemptHolder(id, now)
			g.Expect(ok).To(BeFalse())
		}
		return ranks
	}
	g.Expect(ranks(1, 2, 3)).To(Equal(ranks(7, 8, 9)))
	g.Expect(ranks()).To(HaveKeyWithValue("i-0", 11.0))
}

// The sum must follow reports within its cache time, and must not count what the rank assumes of full
// backend servers.
func TestOnlineSumsAllEntries(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 3, 4)
	p.expectOnline(g, nil)
	p.SetPeer("b", []Load{{Server: Hash("i-1"), Online: 3, Batch: 1}}, testStart)
	p.RecordFull("i-2", testStart)
	online, slots := p.Online("s", testStart)
	g.Expect([]int{online, slots}).To(Equal([]int{4, 12}))
	p.DropPeer("b")
	online, _ = p.Online("s", testStart.Add(onlineCacheTime))
	g.Expect(online).To(Equal(1))
}

// While a backend server without a start time is listed, runs aren't observed. Afterwards a run from before
// must not be asked for: its entry may be lost, and the request would wait for a slot in vain.
func TestRunsAreForgottenWhileStartsAreMissing(t *testing.T) {
	g := NewWithT(t)
	p := startingPool("a", 1, 1)
	p.report("b", testStart, 0)
	p.expectOnline(g, nil)
	g.Expect(p.servers["i-0"].preempt.holder).To(Equal("b"))
	p.CancelOnline("i-0")
	p.SetServers(servers(1, 1))
	p.DropPeer("b")
	p.report("c", testStart.Add(time.Second), 0)
	list := servers(1, 1)
	list[0].Started = 1
	p.SetServers(list)
	holder, ok := p.PreemptHolder("i-0", testStart.Add(2*time.Second))
	g.Expect(ok).To(BeTrue())
	g.Expect(holder).To(Equal("c"))
}

// The runs of a service without backend servers must not keep its ended servers in memory.
func TestRunsEndWithTheService(t *testing.T) {
	g := NewWithT(t)
	p := startingPool("a", 1, 1)
	p.SetServers(nil)
	g.Expect(p.runs).To(BeEmpty())
}

package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Another entry has seen an abort by a backend server that restarts repeatedly. A
// request that may run only once must avoid that server here as well, even if a
// batch item has to be preempted for it. Other requests are sent by load alone.
func TestRunOnceRequestsAvoidServersThatAbortedElsewhere(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 2, 2)
	p.ReceiveAborts([]Abort{{Server: Hash("i-0"), Age: 100 * time.Millisecond}}, testStart)
	p.SetPeer("b", []Load{{Server: Hash("i-1"), Batch: 2}}, testStart)

	c, ok := p.ChooseOnline("s", &Request{Once: true}, testStart)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.ID).To(Equal("i-1"))
	p.CancelOnline(c.ID)
	c, _ = p.ChooseOnline("s", &Request{}, testStart)
	g.Expect(c.ID).To(Equal("i-0"))
	p.CancelOnline(c.ID)

	c, _ = p.ChooseOnline("s", &Request{Once: true}, testStart.Add(minSuspicion))
	g.Expect(c.ID).To(Equal("i-0"), "after the suspicion of a single abort has ended")
}

// If all other backend servers are full of online work, a suspect one with a free
// slot must be chosen rather than a queue.
func TestSuspectWithFreeSlotBeatsQueueing(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 2, 2)
	p.RecordAbort("i-0", testStart)
	p.SetPeer("b", []Load{{Server: Hash("i-1"), Online: 2}}, testStart)
	c, ok := p.ChooseOnline("s", &Request{Once: true}, testStart)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.ID).To(Equal("i-0"))
}

// Each abort must make the suspicion longer. Reports of one abort by many entries
// count as one, and after a long time without aborts the suspicion starts anew.
func TestSuspicionGrowsWithAbortsAndEnds(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 1, 2)
	at := testStart
	for _, want := range []time.Duration{minSuspicion, 2 * minSuspicion, 4 * minSuspicion, maxSuspicion, maxSuspicion} {
		p.RecordAbort("i-0", at)
		for range 30 {
			p.ReceiveAborts([]Abort{{Server: Hash("i-0"), Age: 50 * time.Millisecond}}, at.Add(abortWindow/2))
		}
		last := at.Add(abortWindow/2 - 50*time.Millisecond)
		g.Expect(p.Suspect("i-0", last.Add(want-1))).To(BeTrue())
		g.Expect(p.Suspect("i-0", last.Add(want))).To(BeFalse())
		at = last.Add(want)
	}
	p.RecordAbort("i-0", at.Add(3*maxSuspicion))
	g.Expect(p.Suspect("i-0", at.Add(3*maxSuspicion+minSuspicion))).To(BeFalse())
}

// An entry must report only aborts that it has seen itself, and only recent ones.
func TestOnlyOwnRecentAbortsAreReported(t *testing.T) {
	g := NewWithT(t)
	p := newPool("a", 2, 2)
	p.RecordAbort("i-0", testStart)
	p.ReceiveAborts([]Abort{{Server: Hash("i-1")}}, testStart)
	later := testStart.Add(200 * time.Millisecond)
	g.Expect(p.Aborts(later, time.Second)).To(Equal([]Abort{{Server: Hash("i-0"), Age: 200 * time.Millisecond}}))
	g.Expect(p.Aborts(later, 100*time.Millisecond)).To(BeEmpty())
}

// 31 entries send 200 requests a second to 44 backend servers, five of which are
// down for 0.8 of every 1.6 seconds. If the entries share the aborts they see, they
// must run into less than half as many in total.
func TestSharedAbortsReduceFurtherOnes(t *testing.T) {
	g := NewWithT(t)
	separate, shared := simulateFlapping(0), simulateFlapping(1)
	t.Log("aborts seen, with separate and shared knowledge:", separate, shared)
	g.Expect(shared).To(BeNumerically("<", separate/2))
}

func simulateFlapping(share int) int {
	const entries, servers, flapping = 31, 44, 5
	var pools []*Pool
	for range entries {
		p := newPool("a", servers, 8)
		p.Random = rand.New(rand.NewPCG(7, 7))
		pools = append(pools, p)
	}
	random := rand.New(rand.NewPCG(1, 1))
	flappers := map[string]bool{}
	for n := range flapping {
		flappers[fmt.Sprint("i-", n)] = true
	}
	seen := 0
	for ms := range 6500 {
		now := testStart.Add(time.Duration(ms) * time.Millisecond)
		if ms%120 == 0 && share > 0 {
			for _, from := range pools {
				for _, to := range pools {
					to.ReceiveAborts(from.Aborts(now, 300*time.Millisecond), now)
				}
			}
		}
		if ms%5 != 0 {
			continue
		}
		p := pools[random.IntN(entries)]
		c, ok := p.ChooseOnline("s", &Request{Once: true}, now)
		if !ok {
			continue
		}
		down := ms%1600 < 800
		aborted := down && flappers[c.ID]
		if aborted {
			seen++
		}
		p.Done(c.ID, false, aborted, now)
	}
	return seen
}

package crash

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const request = 7

func newCounter() *Counter {
	c := &Counter{}
	c.Prepare()
	return c
}

func (c *Counter) blocked(request uint64, now time.Time) bool {
	return c.Blocked(request, now) > 0
}

// fail records a failure of a run that was sent knowing all earlier failures.
func (c *Counter) fail(request uint64, now time.Time) {
	known, _ := c.Send(request, now)
	c.RecordFailure(request, known, now)
}

// TestRequestThatCrashesIsContainedAcrossEntries guards against a request that crashes each backend
// server that runs it reaching one more of them through each entry that it comes to, or through
// entries whose peers forget what a lost one had reported.
func TestRequestThatCrashesIsContainedAcrossEntries(t *testing.T) {
	for name, tt := range map[string]struct {
		entries int
		// lose replaces each entry by a new process once it has reported a failure.
		lose bool
	}{
		"few entries":           {entries: 6},
		"many entries":          {entries: 501},
		"entries that are lost": {entries: 6, lose: true},
	} {
		t.Run(name, func(t *testing.T) {
			entries, starts := make([]*Counter, tt.entries), make([]int64, tt.entries)
			for i := range entries {
				entries[i] = newCounter()
			}
			now, runs := time.Now(), 0
			for n := range 3 * tt.entries {
				now = now.Add(firstBlockTime / time.Duration(4*tt.entries))
				i := n % tt.entries
				if entries[i].blocked(request, now) {
					deliver(entries, i, starts[i], now)
					continue
				}
				runs++
				entries[i].fail(request, now)
				deliver(entries, i, starts[i], now)
				if tt.lose {
					entries[i] = newCounter()
					starts[i]++
				}
			}
			NewWithT(t).Expect(runs).To(Equal(limit))
		})
	}
}

// deliver sends the reports of an entry to all others.
func deliver(entries []*Counter, from int, start int64, now time.Time) {
	reports := entries[from].Reports(now)
	for i, to := range entries {
		if i != from {
			to.Receive(fmt.Sprint("entry", from), start, reports, now)
		}
	}
}

// Guards against a request that works being rejected after unrelated failures: a response here
// clears what others reported before, not what they report later.
func TestResponseClearsFailures(t *testing.T) {
	g := NewWithT(t)
	c, now := newCounter(), time.Now()
	c.fail(request, now)
	c.Receive("a", 1, map[uint64]Report{request: {Failures: 2, Sequence: 3}}, now)
	g.Expect(c.blocked(request, now)).To(BeTrue())
	c.RecordResponse(request, now)
	c.Receive("a", 1, map[uint64]Report{request: {Failures: 2, Sequence: 3}}, now)
	g.Expect(c.blocked(request, now)).To(BeFalse(), "the same failures, reported again")
	now = now.Add(2 * graceTime)
	c.Receive("a", 1, map[uint64]Report{request: {Failures: 5, Sequence: 3}}, now)
	g.Expect(c.blocked(request, now)).To(BeTrue(), "three later ones")
}

// Guards against messages that grow with each failure of a backend server.
func TestSingleFailuresAreReportedForAWhile(t *testing.T) {
	g := NewWithT(t)
	c := newCounter()
	now := time.Now()
	c.fail(1, now)
	c.fail(2, now)
	c.fail(2, now)
	g.Expect(c.Reports(now)).To(Equal(map[uint64]Report{1: {Failures: 1, Sequence: 1}, 2: {Failures: 2, Sequence: 2}}))
	g.Expect(c.Reports(now.Add(time.Minute))).To(Equal(map[uint64]Report{2: {Failures: 2, Sequence: 2, Age: time.Minute}}))
}

// Guards against failures that lie hours apart, at entries of which none has served the request since,
// adding up to a rejection.
func TestOldFailuresDontAddUp(t *testing.T) {
	g := NewWithT(t)
	c, now := newCounter(), time.Now()
	for n := range 2 * limit {
		if n < limit {
			c.Receive(fmt.Sprint("entry", n), 1, map[uint64]Report{request: {Failures: 1, Sequence: 1}}, now)
		} else {
			c.fail(request, now)
		}
		g.Expect(c.blocked(request, now)).To(BeFalse())
		now = now.Add(time.Hour)
	}
}

// Guards against a rejection that entries keep alive for each other, for days, although the request isn't
// sent any more.
func TestRejectionEnds(t *testing.T) {
	g := NewWithT(t)
	entries, now := []*Counter{newCounter(), newCounter(), newCounter()}, time.Now()
	for range limit {
		entries[0].fail(request, now)
	}
	for range 120 {
		for n := range entries {
			deliver(entries, n, 1, now)
			entries[n].blocked(request, now)
		}
		now = now.Add(30 * time.Second)
	}
	for _, c := range entries {
		g.Expect(c.blocked(request, now)).To(BeFalse(), "an hour after the last failure")
	}
	g.Expect(entries[0].Reports(now)).To(BeEmpty())
}

// Guards against a request that many callers send being rejected for half an hour: many failures at the same
// moment and one more are no proof.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	g := NewWithT(t)
	c, now := newCounter(), time.Now()
	for n := range 20 {
		c.Receive(fmt.Sprint("entry", n), 1, map[uint64]Report{request: {Failures: 1, Sequence: 1}}, now)
	}
	g.Expect(c.blocked(request, now)).To(BeFalse())
	now = now.Add(2 * confirmTime)
	g.Expect(c.Blocked(request, now)).To(BeNumerically("<=", concurrentBlockTime))
	now = now.Add(concurrentBlockTime)
	g.Expect(c.blocked(request, now)).To(BeFalse())
	c.fail(request, now)
	g.Expect(c.Blocked(request, now)).To(BeNumerically("<=", blockTime))
	c.RecordResponse(request, now.Add(time.Second))
	g.Expect(c.blocked(request, now.Add(2*time.Second))).To(BeFalse())
}

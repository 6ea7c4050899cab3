package blame

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	bad   = Part("bad")
	sound = Part("sound")
)

func newTracker() *Tracker {
	t := &Tracker{}
	t.Prepare()
	return t
}

// fail sends a run with these causes, if it may be sent, which its backend server ends after a while, and returns the
// time after that.
func (t *Tracker) fail(causes []Cause, server uint32, now time.Time) time.Time {
	run, d := t.Send(causes, now)
	if d.Action != Allow {
		return now
	}
	now = now.Add(100 * time.Millisecond)
	t.Failed(run, server, now)
	return now.Add(time.Millisecond)
}

// begin sends a run with these causes, which writes to its end.
func (t *Tracker) begin(causes []Cause, now time.Time) {
	run, _ := t.Send(causes, now)
	t.Began(run, now, now.Add(SettleTime))
}

// Guards against a part that was only seen beside the guilty one being rejected when it comes without it, and against
// the guilty one being sent on with another companion.
func TestPartsThatCameTogetherAreDistinguished(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	tr := newTracker()
	for n := range uint32(limit) {
		now = tr.fail([]Cause{bad, sound}, n, now)
	}
	g.Expect(tr.Check([]Cause{sound, bad}, now).Action).To(Equal(Reject))
	g.Expect(tr.Check([]Cause{sound}, now).Action).To(Equal(Allow))
	run, _ := tr.Send([]Cause{sound}, now)
	g.Expect(tr.Check([]Cause{sound}, now).Action).To(Equal(Wait), "one at a time")
	tr.Began(run, now, now.Add(SettleTime))
	now = now.Add(SettleTime)
	g.Expect(tr.Check([]Cause{sound}, now).Action).To(Equal(Allow))
	g.Expect(tr.Check([]Cause{bad, Part("other")}, now).Action).To(Equal(Reject))
}

// Guards against a trial by each entry, and against trials that follow each other as fast as requests come.
func TestTrialsTakeTurns(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	first, second := newTracker(), newTracker()
	second.Rank = func(Cause) int { return 1 }
	for n := range uint32(limit) {
		now = first.fail([]Cause{bad}, n, now)
	}
	second.Receive("first", 1, first.Reports(now), now)
	now = now.Add(blockTimes[0])
	g.Expect(second.Check([]Cause{bad}, now).Action).To(Equal(Reject))
	run, d := first.Send([]Cause{bad}, now)
	g.Expect(d.Action).To(Equal(Allow))
	g.Expect(first.Check([]Cause{bad}, now).Action).To(Equal(Reject))
	first.Failed(run, limit, now)
	second.Receive("first", 1, first.Reports(now), now)
	d = second.Check([]Cause{bad}, now.Add(2*trialSlice))
	g.Expect(d.Action).To(Equal(Reject))
	g.Expect(d.Proven).To(BeTrue())
	g.Expect(d.RetryAfter).To(BeNumerically(">", blockTimes[0]))
}

// Guards against a verdict being cleared by a run that began to write before the part ended a backend server, once the
// age of the verdict is rounded.
func TestEarlierBeginDoesNotClearAVerdict(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	first, second := newTracker(), newTracker()
	second.begin([]Cause{bad}, now)
	now = now.Add(time.Second)
	for n := range uint32(limit) {
		now = first.fail([]Cause{bad}, n, now)
	}
	for range 20 {
		second.Receive("first", 1, first.Reports(now), now)
		first.Receive("second", 1, second.Reports(now), now)
		now = now.Add(time.Second)
	}
	g.Expect(first.Blamed()).To(Equal(1))
	g.Expect(second.Blamed()).To(Equal(1))
}

// Guards against a verdict that entries keep alive for each other although the part isn't sent any more.
func TestVerdictsExpire(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	first, second := newTracker(), newTracker()
	for n := range uint32(limit) {
		now = first.fail([]Cause{bad}, n, now)
	}
	for range 80 {
		second.Receive("first", 1, first.Reports(now), now)
		first.Receive("second", 1, second.Reports(now), now)
		first.Check([]Cause{bad}, now)
		now = now.Add(30 * time.Second)
		first.begin([]Cause{sound}, now)
		first.fail([]Cause{Part("unrelated")}, 99, now)
		second.fail([]Cause{Part("unrelated")}, 98, now)
	}
	for _, tr := range []*Tracker{first, second} {
		g.Expect(tr.Check([]Cause{bad}, now).Action).To(Equal(Allow))
	}
}

// Guards against a flood of requests whose parts are never sent again pushing out the part that ends backend servers.
func TestFloodOfPartsDoesNotHideTheGuiltyOne(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	tr := newTracker()
	number := uint64(0)
	for n := range uint32(limit) {
		for range 2 * maxBegun {
			number++
			tr.begin([]Cause{Cause(number)}, now)
		}
		now = tr.fail([]Cause{bad, Cause(number + 1<<40)}, n, now)
	}
	g.Expect(tr.Check([]Cause{bad}, now).Action).To(Equal(Reject))
	for range 3 * maxFailures {
		number++
		tr.fail([]Cause{Cause(number)}, uint32(number), now)
		now = now.Add(time.Millisecond)
		g.Expect(tr.Check([]Cause{bad}, now).Action).To(Equal(Reject))
	}
	g.Expect(tr.Blamed()).To(Equal(1))
}

// Guards against the price of a request's parts growing with what is kept. Requests without shared parts cost nothing.
func BenchmarkRunThatBegins(b *testing.B) {
	tr, now := newTracker(), time.Now()
	causes := Causes([]string{"a", "b"}, 1)
	for b.Loop() {
		run, _ := tr.Send(causes, now)
		tr.Began(run, now, now)
	}
}

// Guards against the loss of many backend servers at once making each further failure expensive.
func BenchmarkFailureInALossOfAll(b *testing.B) {
	tr, now := newTracker(), time.Now()
	lose := func(n uint64) {
		run := &Run{causes: []Cause{Cause(n % 8), Cause(100 + n%200), Cause(1000 + n)}, sent: now.Add(-time.Duration(n%200) * time.Millisecond)}
		tr.Failed(run, uint32(n%40), now.Add(time.Duration(n%50)*time.Millisecond))
	}
	for n := range uint64(maxFailures) {
		lose(n)
	}
	n := uint64(maxFailures)
	for b.Loop() {
		n++
		lose(n)
		tr.evaluate(now)
	}
}

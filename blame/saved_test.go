package blame

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

// memory keeps verdicts for tests.
type memory struct {
	verdicts map[uint64]sardinerock.Verdict
	down     bool
}

func (m *memory) Put(v sardinerock.Verdict) { m.verdicts[v.Key] = v }

func (m *memory) Delete(v sardinerock.Verdict) { delete(m.verdicts, v.Key) }

func (m *memory) Charge(_ context.Context, v sardinerock.Verdict) error {
	if m.down {
		return errors.New("store down")
	}
	m.Put(v)
	return nil
}

// newProcess starts a tracker with what is kept, of which the latest failure was age ago.
func (m *memory) newProcess(now time.Time, age time.Duration) *Tracker {
	t := newTracker()
	t.Verdicts = m
	for _, v := range m.verdicts {
		v.Age = age
		t.Restore(v, now)
	}
	return t
}

// blamed returns a tracker that blames a part.
func blamed(g *WithT, m *memory, now time.Time) (*Tracker, time.Time) {
	t := m.newProcess(now, 0)
	for n := range uint32(limit) {
		now = t.fail([]Cause{bad}, n, now)
	}
	g.Expect(t.Check([]Cause{bad}, now).Action).To(Equal(Reject))
	g.Expect(m.verdicts).To(HaveLen(1))
	return t, now
}

// TestKillsGiveNoFurtherTrials guards against a part of a prompt that ends backend servers being sent again and again because all
// entries are killed, before or after a trial has failed.
func TestKillsGiveNoFurtherTrials(t *testing.T) {
	for name, kill := range map[string]func(tr *Tracker, r *Run, now time.Time){
		"before the failure": func(*Tracker, *Run, time.Time) {},
		"after the failure":  func(tr *Tracker, r *Run, now time.Time) { tr.Failed(r, 9, now) },
	} {
		t.Run(name, func(t *testing.T) {
			g, now := NewWithT(t), time.Now()
			m := &memory{verdicts: map[uint64]sardinerock.Verdict{}}
			tr, now := blamed(g, m, now)
			for n := range len(blockTimes) - 1 {
				now = now.Add(blockTimes[n])
				tr = m.newProcess(now, blockTimes[n])
				run, d := tr.Send([]Cause{bad}, now)
				g.Expect(d.Action).To(Equal(Allow))
				g.Expect(tr.ChargeTrial(t.Context(), run, now)).To(BeTrue())
				kill(tr, run, now)
				tr = m.newProcess(now, 0)
				g.Expect(tr.Check([]Cause{bad}, now.Add(blockTimes[n])).Action).To(Equal(Reject))
			}
			g.Expect(tr.Check([]Cause{bad}, now.Add(blockTimes[len(blockTimes)-1]-time.Second)).Action).To(Equal(Reject))
		})
	}
}

// TestTrialWaitsForItsRecord guards against a trial that is sent while the store doesn't record it.
func TestTrialWaitsForItsRecord(t *testing.T) {
	g, now := NewWithT(t), time.Now()
	m := &memory{verdicts: map[uint64]sardinerock.Verdict{}}
	tr, now := blamed(g, m, now)
	now, m.down = now.Add(blockTimes[0]), true
	run, d := tr.Send([]Cause{bad}, now)
	g.Expect(d.Action).To(Equal(Allow))
	g.Expect(tr.ChargeTrial(t.Context(), run, now)).To(BeFalse())
	g.Expect(tr.Check([]Cause{bad}, now).Action).To(Equal(Reject))
	now, m.down = now.Add(chargeRetryTime), false
	run, d = tr.Send([]Cause{bad}, now)
	g.Expect(d.Action).To(Equal(Allow))
	g.Expect(tr.ChargeTrial(t.Context(), run, now)).To(BeTrue())
}

// TestPartThatWorksAgainIsNotRestored guards against a part being rejected after a loss of all entries though a backend server has
// begun to write on it, or on the part that came with it each time.
func TestPartThatWorksAgainIsNotRestored(t *testing.T) {
	for name, restored := range map[string]bool{"the entry that blamed it": false, "an entry that restored it": true} {
		t.Run(name, func(t *testing.T) {
			g, now := NewWithT(t), time.Now()
			m := &memory{verdicts: map[uint64]sardinerock.Verdict{}}
			tr := m.newProcess(now, 0)
			for n := range uint32(limit) {
				now = tr.fail([]Cause{bad, sound}, n, now)
			}
			g.Expect(tr.Check([]Cause{bad, sound}, now).Action).To(Equal(Reject))
			if restored {
				tr = m.newProcess(now, time.Second)
			}
			tr.begin([]Cause{sound}, now)
			g.Expect(m.verdicts).To(HaveLen(1))
			now = now.Add(blockTimes[0])
			other := m.newProcess(now, time.Second)
			g.Expect(other.Check([]Cause{sound}, now).Action).To(Equal(Allow))
			g.Expect(other.Check([]Cause{bad}, now).Action).To(Equal(Reject))
			tr.begin([]Cause{bad}, now)
			g.Expect(m.verdicts).To(BeEmpty())
		})
	}
}

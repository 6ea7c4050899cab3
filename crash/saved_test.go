package crash

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

// memory keeps verdicts for tests.
type memory struct {
	verdicts map[uint64]sardinerock.Verdict
	at       map[uint64]time.Time
	now      time.Time
	down     bool
}

func (m *memory) Put(v sardinerock.Verdict) {
	m.verdicts[v.Key], m.at[v.Key] = v, m.now.Add(-v.Age)
}

func (m *memory) Delete(v sardinerock.Verdict) { delete(m.verdicts, v.Key) }

func (m *memory) Charge(_ context.Context, v sardinerock.Verdict) error {
	if m.down {
		return errors.New("store down")
	}
	m.Put(v)
	return nil
}

// newProcess starts a counter with what is kept.
func (m *memory) newProcess() *Counter {
	c := newCounter()
	c.Verdicts = m
	for key, v := range m.verdicts {
		v.Age = m.now.Sub(m.at[key])
		c.Restore(v, m.now)
	}
	return c
}

func newMemory() *memory {
	return &memory{verdicts: map[uint64]sardinerock.Verdict{}, at: map[uint64]time.Time{}, now: time.Now()}
}

// trySend sends a request that fails, unless it is blocked, and reports whether it was sent. If killed is set, the process ends
// before the failure is known.
func (m *memory) trySend(t *testing.T, c *Counter, killed bool) bool {
	known, blocked := c.Send(request, m.now)
	if blocked > 0 || c.ChargeTrial(t.Context(), request, m.now) > 0 {
		return false
	}
	if !killed {
		c.RecordFailure(request, known, m.now)
	}
	return true
}

// TestKillsGiveNoFurtherTrials guards against a request that ends backend servers being sent more than three times after the third
// failure, because all entries are killed before or after any of its runs has failed, once or each time.
func TestKillsGiveNoFurtherTrials(t *testing.T) {
	const runs, hours = limit + maxTrials, 20 * time.Minute
	for kill := limit; kill <= runs; kill++ {
		for _, before := range []bool{false, true} {
			for _, always := range []bool{false, true} {
				if before && kill == limit {
					// The third failure isn't known to anyone.
					continue
				}
				t.Run(fmt.Sprintf("kill %d, before the failure %v, always %v", kill, before, always), func(t *testing.T) {
					g := NewWithT(t)
					m := newMemory()
					c, sent := m.newProcess(), 0
					for end := m.now.Add(hours); m.now.Before(end); m.now = m.now.Add(time.Second) {
						hit := sent+1 == kill || always && sent+1 > kill
						if !m.trySend(t, c, hit && before) {
							continue
						}
						if sent++; hit {
							c = m.newProcess()
						}
					}
					g.Expect(sent).To(BeNumerically("<=", runs))
					g.Expect(sent).To(BeNumerically(">", limit), "a verdict has to be tried")
				})
			}
		}
	}
}

// TestTrialWaitsForItsRecord guards against a trial that is sent while the store doesn't record it, and against the request being
// rejected for longer than that.
func TestTrialWaitsForItsRecord(t *testing.T) {
	g := NewWithT(t)
	m := newMemory()
	c := m.newProcess()
	for range limit {
		g.Expect(m.trySend(t, c, false)).To(BeTrue())
	}
	m.now, m.down = m.now.Add(firstBlockTime+time.Second), true
	for range 5 {
		g.Expect(m.trySend(t, c, false)).To(BeFalse())
		m.now = m.now.Add(time.Second)
	}
	m.down = false
	g.Expect(m.trySend(t, c, false)).To(BeTrue())
	g.Expect(m.verdicts[request].Count).To(Equal(limit + 1))
}

// TestRequestThatWorksAgainIsNotRestored guards against a request being rejected after a loss of all entries though a backend server
// has responded to it, at the entry that wrote the verdict, at another one, or before the verdict was read.
func TestRequestThatWorksAgainIsNotRestored(t *testing.T) {
	for name, respond := range map[string]func(m *memory, c *Counter) *Counter{
		"same entry": func(m *memory, c *Counter) *Counter { c.RecordResponse(request, m.now); return c },
		"another entry": func(m *memory, c *Counter) *Counter {
			other := m.newProcess()
			other.RecordResponse(request, m.now)
			return other
		},
		"another entry, then the verdict is written": func(m *memory, c *Counter) *Counter {
			other := m.newProcess()
			other.RecordResponse(request, m.now)
			m.Put(sardinerock.Verdict{Key: request, Count: limit})
			c.Receive("other", 1, other.Reports(m.now), m.now)
			return c
		},
		"before the verdict was read": func(m *memory, _ *Counter) *Counter {
			started := newCounter()
			started.Verdicts = m
			started.RecordResponse(request, m.now)
			v := m.verdicts[request]
			v.Age = m.now.Sub(m.at[request])
			started.Restore(v, m.now)
			return started
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMemory()
			c := m.newProcess()
			for range limit {
				m.trySend(t, c, false)
			}
			g.Expect(m.verdicts).To(HaveLen(1))
			m.now = m.now.Add(firstBlockTime + time.Second)
			c = respond(m, c)
			g.Expect(c.blocked(request, m.now)).To(BeFalse())
			g.Expect(m.verdicts).To(BeEmpty())
			g.Expect(m.newProcess().blocked(request, m.now)).To(BeFalse())
		})
	}
}

package relay_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
)

// logBuffer keeps the lines of a logger.
type logBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *logBuffer) Write(raw []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(raw)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// makeScarce makes thousands of other entries report that they run work in all slots of each backend server
// but one. The entry's rights last for the whole test, and include none of these slots.
func (s *testbed) makeScarce() *logBuffer {
	s.relay.ViewAge = func() time.Duration { return 100 * 365 * 24 * time.Hour }
	for n := range s.servers {
		s.servers[n].Started = 1
	}
	s.pool.SetServers(s.servers)
	for n := range 5000 {
		s.pool.SetPeer(fmt.Sprint("peer-", n), nil, time.Now())
	}
	var loads []pool.Load
	for _, b := range s.servers {
		loads = append(loads, pool.Load{Server: pool.Hash(b.ID), Online: b.Slots - 1})
	}
	s.pool.SetPeer("other", loads, time.Now())
	out := &logBuffer{}
	s.relay.Events = &event.Logger{Sink: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}}}
	return out
}

// Thousands of entries know of three free slots. Without rights all would ask for them at once. A request whose
// entry has no right must wait, and still be on time and ask no more than it needs to.
func TestRequestWithoutRightWaits(t *testing.T) {
	const target = 400 * time.Millisecond
	s := newTestbed(t, slotReserved, completeResponse(200, "ok")).withReservations()
	s.table.Routes[3].LatencyTarget = target
	out := s.makeScarce()
	start := time.Now()
	resp, _, err := s.post("/once/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(200))
	s.g.Expect(time.Since(start)).To(And(BeNumerically(">", 15*time.Millisecond), BeNumerically("<", target)))
	s.expectPaths("/v1/hold-take", "/once/x")
	s.g.Expect(metrics.GetOrRegisterCounter("relay.withoutRight", s.relay.Metrics).Count()).To(BeNumerically(">", 0))
	s.g.Expect(out.String()).To(MatchRegexp(`"event":211,.*"service":"models","scarce":true`))
}

// A refusal's line must say by what right the slot was asked for. Otherwise it can't be determined whether rights
// overlap or grow too early.
func TestRefusalSaysTheRight(t *testing.T) {
	s := newTestbed(t, noSlot, slotReserved, completeResponse(200, "ok")).withReservations()
	s.table.Routes[3].LatencyTarget = 100 * time.Millisecond
	out := s.makeScarce()
	resp, _, err := s.post("/once/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(200))
	s.g.Expect(out.String()).To(ContainSubstring(`"right":"grown"`))
}

// A caller who waits for less than the route's target must get a slot before it disconnects.
func TestShortDeadlineGrowsRightsEarlier(t *testing.T) {
	s := newTestbed(t, slotReserved, completeResponse(200, "ok")).withReservations()
	s.table.Routes[3].LatencyTarget, s.wait = 10*time.Second, "600"
	s.makeScarce()
	resp, _, err := s.post("/once/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(200))
}

// Without start times a restart can't be recognized, so requests must be sent as before, without rights.
func TestNoRightsWithoutStartTimes(t *testing.T) {
	s := newTestbed(t, slotReserved, completeResponse(200, "ok")).withReservations()
	s.table.Routes[3].LatencyTarget = 400 * time.Millisecond
	out := s.makeScarce()
	s.servers[0].Started = 0
	s.pool.SetServers(s.servers)
	resp, _, err := s.post("/once/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(resp.StatusCode).To(Equal(200))
	s.g.Expect(out.String()).NotTo(ContainSubstring(`"event":211`))
	s.g.Expect(metrics.GetOrRegisterCounter("relay.withoutRight", s.relay.Metrics).Count()).To(BeZero())
}

package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/digest"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/grid"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/watch"
)

const (
	// latency is the time a datagram takes, and lossShare the share of datagrams that are lost.
	latency   = time.Millisecond
	lossShare = 0.01
	// simStep is the step of simulated time.
	simStep = time.Millisecond
)

// simulation is a fleet in simulated time. The load of each entry changes in each round, as in a burst.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	entries  []*simEntry
	byName   map[string]*simEntry
	inFlight []datagram
	sent     int
	bytes    int
	// crossZoneBytes counts the bytes sent between zones.
	crossZoneBytes int
	// lowLoad limits the changes to one entry in ten per round.
	lowLoad bool
	// cut reports whether datagrams between two entries are dropped.
	drops func(from, to *simEntry) bool
}

type simEntry struct {
	*Gossip
	address   netip.AddrPort
	nextRound time.Time
	dead      bool
	// builtAt is when each message was built, by sequence.
	builtAt map[uint64]time.Time
}

type datagram struct {
	at   time.Time
	from *simEntry
	to   *simEntry
	raw  []byte
}

func newSimulation(entries int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(uint64(entries), 5)), now: time.Unix(1000, 0), byName: map[string]*simEntry{}}
	s.drops = func(_, _ *simEntry) bool { return false }
	members := map[string]watch.Member{}
	for n := range entries {
		e := &simEntry{builtAt: map[uint64]time.Time{}}
		e.Gossip = &Gossip{Name: fmt.Sprintf("front-%03d", n), Start: 1, Events: &event.Logger{}, OnMessages: func([]*digest.Message, []uint32) {}, OnPeerDown: func(string) {}}
		e.Fill = func(m *digest.Message) {
			if s.lowLoad && s.random.IntN(10) > 0 {
				return
			}
			for range 5 {
				m.Loads = append(m.Loads, pool.Load{Server: s.random.Uint32(), Online: 1})
			}
			m.Items = []uint32{s.random.Uint32(), s.random.Uint32(), s.random.Uint32()}
		}
		e.Prepare()
		e.deliver = func(raw []byte, to *peer) { s.send(e, s.byName[to.name], raw) }
		e.nextRound = s.now.Add(time.Duration(s.random.IntN(100)) * time.Millisecond)
		s.entries = append(s.entries, e)
		s.byName[e.Name] = e
		e.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(n+1))
		members[e.Name] = watch.Member{Address: e.address.String(), Zone: fmt.Sprint("zone-", n%5)}
	}
	for _, e := range s.entries {
		e.SetPeers(members)
	}
	return s
}

func (s *simulation) send(from, to *simEntry, raw []byte) {
	s.sent++
	s.bytes += len(raw)
	if from.zone != to.zone {
		s.crossZoneBytes += len(raw)
	}
	if s.random.Float64() >= lossShare && !s.drops(from, to) {
		s.inFlight = append(s.inFlight, datagram{s.now.Add(latency), from, to, raw})
	}
}

// run simulates a time. It returns the median and the 99th percentile of the sampled ages of
// views, and how many samples showed a live peer as failed.
func (s *simulation) run(t time.Duration) (median, p99 time.Duration, failed int) {
	var ages []time.Duration
	for end := s.now.Add(t); s.now.Before(end); s.now = s.now.Add(simStep) {
		arrived := 0
		for arrived < len(s.inFlight) && !s.inFlight[arrived].at.After(s.now) {
			if d := s.inFlight[arrived]; !d.to.dead {
				d.to.handleDatagram(d.raw, d.from.address, s.now)
			}
			arrived++
		}
		s.inFlight = s.inFlight[arrived:]
		for _, e := range s.entries {
			if e.dead || e.nextRound.After(s.now) {
				continue
			}
			before := e.sequence
			e.sendRound(s.now)
			if e.sequence != before {
				e.builtAt[e.sequence] = s.now
			}
			e.nextRound = s.now.Add(e.interval())
		}
		if s.now.UnixMilli()%50 == 0 {
			sampled, missed := s.sample()
			ages, failed = append(ages, sampled...), failed+missed
		}
	}
	slices.Sort(ages)
	return ages[len(ages)/2], ages[len(ages)*99/100], failed
}

// sample returns the ages of a random entry's views of all others, and how many live ones
// it takes as failed.
func (s *simulation) sample() (ages []time.Duration, failed int) {
	e := s.entries[s.random.IntN(len(s.entries))]
	if e.dead {
		return nil, 0
	}
	for name, other := range e.peers {
		of := s.byName[name]
		switch {
		case of.dead:
		case !other.live(s.now):
			failed++
		default:
			ages = append(ages, s.now.Sub(of.builtAt[other.last.Sequence]))
		}
	}
	return ages, failed
}

// The load of all entries changes in each round, as in a burst, and one datagram in a hundred is lost.
// Views must not become much older at 371 entries than at 8, with about the same number of
// datagrams per entry, and no live peer may count as failed.
func TestViewsStayRecentAtAnySize(t *testing.T) {
	for name, c := range map[string]struct {
		entries     int
		median, p99 time.Duration
	}{
		"8 entries":   {8, 30 * time.Millisecond, 80 * time.Millisecond},
		"31 entries":  {31, 80 * time.Millisecond, 250 * time.Millisecond},
		"88 entries":  {88, 120 * time.Millisecond, 350 * time.Millisecond},
		"371 entries": {371, 350 * time.Millisecond, grid.MinTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSimulation(c.entries)
			s.run(time.Second)
			s.sent, s.bytes = 0, 0
			const span = 2 * time.Second
			median, p99, failed := s.run(span)
			perSecond := float64(s.sent) / float64(c.entries) / span.Seconds()
			t.Logf("median %v, p99 %v, %.0f datagrams and %.0f kB per second and entry", median, p99, perSecond,
				float64(s.bytes)/float64(c.entries)/span.Seconds()/1000)
			g.Expect(median).To(BeNumerically("<=", c.median))
			g.Expect(p99).To(BeNumerically("<=", c.p99))
			g.Expect(failed).To(BeZero(), "live peers taken as failed")
			g.Expect(perSecond).To(BeNumerically("<=", 270))
			g.Expect(s.bytes).To(BeNumerically("<=", 75_000*c.entries*int(span.Seconds())), "bytes between availability zones are billed")
		})
	}
}

// Bytes between zones are billed. Under low load in a large fleet, a zone sends its new messages to
// another one in a few datagrams, however many entries there are.
func TestFewBytesCrossZones(t *testing.T) {
	for name, c := range map[string]struct {
		entries int
		// crossZone and all are the limits in kilobytes per second and entry.
		crossZone, all float64
	}{
		"125 entries": {125, 1, 40},
		"250 entries": {250, 1, 40},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSimulation(c.entries)
			s.lowLoad = true
			s.run(2 * time.Second)
			s.sent, s.bytes, s.crossZoneBytes = 0, 0, 0
			const span = 2 * time.Second
			median, p99, failed := s.run(span)
			perEntry := func(n int) float64 { return float64(n) / float64(c.entries) / span.Seconds() }
			t.Logf("median %v, p99 %v, %.0f datagrams per second and entry, kB %.2f between zones, %.0f in all", median, p99,
				perEntry(s.sent), perEntry(s.crossZoneBytes)/1000, perEntry(s.bytes)/1000)
			g.Expect(failed).To(BeZero(), "live peers taken as failed")
			g.Expect(perEntry(s.crossZoneBytes) / 1000).To(BeNumerically("<=", c.crossZone))
			g.Expect(perEntry(s.bytes) / 1000).To(BeNumerically("<=", c.all))
		})
	}
}

// Three entries of each zone read the store for it, and all of its other entries ask these. When readers
// fail, others replace them. In small fleets each entry reads for itself.
func TestFewEntriesReadForAZone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	small := newSimulation(88)
	small.run(500 * time.Millisecond)
	g.Expect(small.entries[0].Readers(small.now)).To(BeEmpty())
	g.Expect(small.entries[0].ReadsForZone(small.now)).To(BeFalse())
	s := newSimulation(150)
	count := func() map[string]int {
		reading := map[string]int{}
		for _, e := range s.entries {
			switch {
			case e.dead:
			case e.ReadsForZone(s.now):
				reading[e.zone]++
				g.Expect(e.Readers(s.now)).To(BeEmpty())
			default:
				g.Expect(e.Readers(s.now)).To(HaveLen(zoneReaders))
			}
		}
		return reading
	}
	s.run(time.Second)
	before := count()
	g.Expect(before).To(HaveLen(5))
	for _, e := range s.entries {
		e.dead = e.ReadsForZone(s.now) && e.zone == "zone-1"
		for _, known := range e.peers {
			// Known for longer than any timeout.
			known.knownSince = s.now.Add(-time.Hour)
		}
	}
	s.run(3 * time.Second)
	g.Expect(count()).To(Equal(before))
}

// A sixth of all entries fails at once; or some receive nothing but still send heartbeats; or some can't
// reach half of the others. The unaffected entries must keep current views of each other, or they would
// take over each other's jobs.
func TestViewsStayCurrentThoughEntriesFail(t *testing.T) {
	for name, fail := range map[string]func(s *simulation){
		"failed entries": func(s *simulation) {
			for n := range s.entries {
				s.entries[n].dead = n%6 == 0
			}
		},
		"receive nothing": func(s *simulation) {
			s.drops = func(_, to *simEntry) bool { return pool.Hash(to.Name)%16 == 0 }
		},
		"can't reach half of the others": func(s *simulation) {
			s.drops = func(from, to *simEntry) bool {
				return pool.Hash(from.Name)%16 == 0 && pool.Hash(to.Name)%2 == 0
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSimulation(88)
			s.run(time.Second)
			fail(s)
			s.run(2 * time.Second)
			_, p99, _ := s.run(2 * time.Second)
			t.Logf("p99 %v", p99)
			g.Expect(p99).To(BeNumerically("<", grid.MinTimeout))
			s.expectKnown(g)
		})
	}
}

// expectKnown checks that all pairs of unaffected entries are live in each other's view.
func (s *simulation) expectKnown(g *WithT) {
	for _, e := range s.entries {
		for _, other := range s.entries {
			if e == other || e.dead || other.dead || s.drops(e, other) || s.drops(other, e) || s.drops(other, other) || s.drops(e, e) {
				continue
			}
			g.Expect(e.peers[other.Name].live(s.now)).To(BeTrue(), "%s takes %s as failed", e.Name, other.Name)
		}
	}
}

func BenchmarkRound(b *testing.B) {
	s := newSimulation(371)
	s.run(500 * time.Millisecond)
	e := s.entries[0]
	e.deliver = func([]byte, *peer) {}
	b.ReportAllocs()
	for b.Loop() {
		e.sendRound(s.now)
	}
}

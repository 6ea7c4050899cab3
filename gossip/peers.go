package gossip

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sardinerock/sardinerock/digest"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/owner"
)

// errNoPeer means that no peer of the name is among the known members.
var errNoPeer = errors.New("gossip: peer not among the known members")

// QueryTimeout is the time within which a peer has to answer a query: a few round trips.
const QueryTimeout = 300 * time.Millisecond

// peer is another entry.
type peer struct {
	name    string
	address *net.UDPAddr
	zone    string
	// cpuPercent is its CPU share in percent of a core.
	cpuPercent int
	// timeout is the time without a message after which it counts as failed.
	timeout time.Duration
	// knownSince is when its address was first read from the store, and receivedAt when its latest
	// message was received.
	knownSince time.Time
	receivedAt time.Time
	// startingSince is when its present incarnation was first seen with Starting set.
	startingSince time.Time
	// probedAt is the time of the last probe, and probeAnsweredAt of the last answer to one.
	probedAt, probeAnsweredAt time.Time
	sentAt                    time.Time
	last                      digest.Message
	// changedSequence is the sequence of the first message with the content of last, and path
	// the path on which last was received.
	changedSequence uint64
	path            path
	// up is set while the peer is reported as up, so that each change is reported once.
	up bool
}

// mayBeLive reports whether the peer is live, or known for less than its timeout and may
// not have sent yet.
func (p *peer) mayBeLive(now time.Time) bool {
	return p != nil && (p.live(now) || now.Sub(p.knownSince) < p.timeout)
}

func (p *peer) live(now time.Time) bool { return p != nil && now.Sub(p.receivedAt) < p.timeout }

// Live returns the names of the live entries that aren't leaving, this one included.
func (g *Gossip) Live(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	if !g.leaving {
		names = append(names, g.Name)
	}
	for name, p := range g.peers {
		if p.live(now) && !p.last.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// Entries returns how many entries are reachable and how many there are, this one
// included. A peer counts as unreachable after half its timeout already: until a network
// partition is detected, each side acts as if it could reach the other.
func (g *Gossip) Entries(now time.Time) (reachable, total int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	reachable = 1
	for _, p := range g.peers {
		if now.Sub(p.receivedAt) < p.timeout/2 {
			reachable++
		}
	}
	return reachable, len(g.peers) + 1
}

// peerName returns the name of a peer by the hash of the name.
func (g *Gossip) peerName(sender uint32) (name string, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peersByHash[sender]
	if p == nil {
		return "", false
	}
	return p.name, true
}

// Query sends a query to a peer and returns the answer. ctx bounds the wait for the answer.
func (g *Gossip) Query(ctx context.Context, name string, body []byte) ([]byte, error) {
	g.mu.Lock()
	p := g.peers[name]
	if p == nil {
		g.mu.Unlock()
		return nil, errNoPeer
	}
	address := p.address
	g.mu.Unlock()
	return g.queries.Query(ctx, address, body)
}

// Notify sends a message to a peer, which doesn't answer it. A message that can't be sent counts as lost.
func (g *Gossip) Notify(name string, body []byte) {
	g.mu.Lock()
	p := g.peers[name]
	g.mu.Unlock()
	if p != nil {
		_ = g.queries.Notify(p.address, body)
	}
}

// PeerState returns the state of another entry, from which a takeover of its jobs is decided.
func (g *Gossip) PeerState(name string, now time.Time) owner.PeerState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[name]; p != nil {
		return p.state(now)
	}
	// The entry may have been removed, or its address isn't read yet.
	since, known := g.unknownSince[name]
	if !known {
		since, g.unknownSince[name] = now, now
	}
	return owner.PeerState{SinceContact: now.Sub(since), ProbeUnanswered: true}
}

func (p *peer) state(now time.Time) owner.PeerState {
	last := p.knownSince
	for _, seen := range []time.Time{p.receivedAt, p.probeAnsweredAt} {
		if seen.After(last) {
			last = seen
		}
	}
	return owner.PeerState{
		SinceContact: now.Sub(last), NeverReceived: p.receivedAt.IsZero(), Leaving: p.last.Leaving, StoreLost: p.last.StoreLost,
		Starting: p.last.Starting, StartingFor: now.Sub(p.startingSince),
		ProcessStart: p.last.Start, ProbeUnanswered: p.probedAt.After(last) && now.Sub(p.probedAt) > QueryTimeout,
	}
}

// Members returns the names of all entries, live or not, this one included.
func (g *Gossip) Members() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := make([]string, 0, len(g.peers)+1)
	names = append(names, g.Name)
	for name := range g.peers {
		names = append(names, name)
	}
	return names
}

// Timeout returns the longest time without a message after which a peer counts as failed.
func (g *Gossip) Timeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.timeout()
}

// timeout is Timeout with the lock held.
func (g *Gossip) timeout() time.Duration {
	if g.zones != nil {
		return max(g.grid.Timeout(), g.zones.Timeout())
	}
	return g.grid.Timeout()
}

// Probe queries a peer directly and doesn't wait for the answer. Messages take two hops through other
// entries, so that a live peer may reach its timeout.
func (g *Gossip) Probe(ctx context.Context, name string, now time.Time) {
	g.mu.Lock()
	p := g.peers[name]
	if p == nil || now.Sub(p.probedAt) < QueryTimeout {
		g.mu.Unlock()
		return
	}
	p.probedAt = now
	g.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, QueryTimeout)
		defer cancel()
		if _, err := g.Query(ctx, name, nil); err != nil {
			g.Events.Info(event.PeerDown).Str("peer", name).Err(err).Msg("no answer from peer to a probe")
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		p.probeAnsweredAt = time.Now()
	}()
}

// Owners returns the names of the entries among which new jobs are distributed: the live ones
// that can read the store. An entry that can't would not see its new jobs, and they would wait
// until it can. If no live entry can read the store, all live entries are returned.
func (g *Gossip) Owners(now time.Time, storeLost bool) []string {
	g.mu.Lock()
	var names []string
	if !g.leaving && !storeLost {
		names = append(names, g.Name)
	}
	for name, p := range g.peers {
		if p.live(now) && !p.last.Leaving && !p.last.StoreLost {
			names = append(names, name)
		}
	}
	g.mu.Unlock()
	if len(names) == 0 {
		return g.Live(now)
	}
	return names
}

// Silent returns the names of the peers that have sent no message for at least d and have
// been known for at least d.
func (g *Gossip) Silent(now time.Time, d time.Duration) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for name, p := range g.peers {
		if now.Sub(p.knownSince) >= d && now.Sub(p.receivedAt) >= d {
			names = append(names, name)
		}
	}
	return names
}

// StoreReaders returns the addresses of the live peers that can read the store.
func (g *Gossip) StoreReaders(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, p := range g.peers {
		if p.live(now) && !p.last.Leaving && !p.last.StoreLost {
			addresses = append(addresses, p.address.String())
		}
	}
	return addresses
}

// RunningElsewhere returns the short hashes of the batch items that are running at live peers.
func (g *Gossip) RunningElsewhere(now time.Time) map[uint32]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := map[uint32]bool{}
	for _, p := range g.peers {
		if !p.live(now) {
			continue
		}
		for _, i := range p.last.Items {
			running[i] = true
		}
	}
	return running
}

// Waiting returns the number of batch items that the live peers could start.
func (g *Gossip) Waiting(now time.Time) int {
	return g.SumWaiting(now, func(waiting int) int { return waiting })
}

// SumWaiting returns the sum over the live peers of a weight of the number of batch items that each
// could start.
func (g *Gossip) SumWaiting(now time.Time, weight func(waiting int) int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.peers {
		if p.live(now) {
			n += weight(p.last.Waiting)
		}
	}
	return n
}

// StoreLostByAll reports whether no live peer can read the store. It returns false if no peer is live:
// then this entry is more likely cut off itself than all others are. In a fleet of one it returns true.
func (g *Gossip) StoreLostByAll(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	live := 0
	for _, p := range g.peers {
		if !p.live(now) || p.last.Leaving {
			continue
		}
		if !p.last.StoreLost {
			return false
		}
		live++
	}
	return live > 0 || len(g.peers) == 0
}

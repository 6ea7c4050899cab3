package gossip

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock/digest"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/grid"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/query"
	"github.com/sardinerock/sardinerock/watch"
)

const (
	// heartbeatInterval is the longest time between two messages of an entry while its state is
	// unchanged: at least two such datagrams may be lost before the entry counts as failed.
	heartbeatInterval = 200 * time.Millisecond
	// forwardsPerTimeout is how often within the timeout of peers an unchanged message is
	// forwarded, as the heartbeat of its sender.
	forwardsPerTimeout = 3
	// downPeerInterval is the least time between two datagrams to a peer that is down.
	downPeerInterval = time.Second
	// maxDatagram is the size of the receive buffer in bytes. Sent datagrams are far smaller.
	maxDatagram = 64 << 10
)

// Gossip exchanges state with the other entries by datagrams.
type Gossip struct {
	// Name is this entry's name.
	Name string
	// Start identifies this incarnation of the entry; each one has a greater value than
	// those before it.
	Start int64
	Conn  *net.UDPConn
	// Fill sets the state of this entry in a message before it is sent.
	Fill func(m *digest.Message)
	// OnPeerDown is called once with the name of each live peer that reaches its timeout.
	OnPeerDown func(name string)
	// OnMessages is called with the new messages of a datagram and the hashes of the
	// backend servers on which its sender requests the preemption of a batch item of this entry.
	OnMessages func(messages []*digest.Message, preempt []uint32)
	// Answer, if set, returns the answer to a query from an incarnation of a peer. It must not block.
	Answer func(peer string, start int64, query []byte) ([]byte, error)
	Events *event.Logger

	queries *query.Endpoint

	mu sync.Mutex
	// lastPayload is the latest message of this entry, encoded without its sequence,
	// and lastPayloadAt is when it was built; last is the message itself.
	lastPayload   []byte
	lastPayloadAt time.Time
	last          digest.Message
	peers         map[string]*peer
	// unknownSince holds names passed to PeerState that aren't among the members, with
	// the time of the first such call.
	unknownSince map[string]time.Time
	// peersByHash indexes peers by the hashes of their names.
	peersByHash map[uint32]*peer
	// peersByAddress indexes peers by the source address of their datagrams.
	peersByAddress map[netip.AddrPort]*peer
	// grid holds the entries of the own zone if zones is set, else all entries.
	grid  *grid.Grid
	zones *grid.Zones
	// zone is the own availability zone. If zones is set, remotePeers are the names of the
	// peers in the other zones.
	zone        string
	remotePeers []string
	// cpuPercent is the CPU share of this entry in percent of a core. If zones is set, zoneByCPU
	// are the entries of the own zone, those with the greatest share first.
	cpuPercent int
	zoneByCPU  []string
	round      int
	// forwarded holds the version of the message of each entry that was last sent to each
	// destination.
	forwarded map[destination]map[string]version
	sequence  uint64
	leaving   bool
	urgent    chan struct{}
	// urgentPeers are the peers to send to at once, with the hashes of the backend
	// servers on which they are to preempt a batch item.
	urgentPeers map[string][]uint32
	// deliver sends a datagram to a peer.
	deliver func(raw []byte, to *peer)
}

// version identifies a message of an entry that was sent to a destination.
type version struct {
	start    int64
	sequence uint64
	sentAt   time.Time
}

// destination is a set of entries that messages are forwarded to: a column of the grid,
// another zone, or the own row.
type destination struct {
	column int
	zone   string
}

// ownRow is the row of this entry in the grid.
var ownRow = destination{column: -1}

// Prepare initializes g. It is called once, before all other methods.
func (g *Gossip) Prepare() {
	g.peers, g.peersByHash = map[string]*peer{}, map[uint32]*peer{}
	g.forwarded, g.urgentPeers = map[destination]map[string]version{}, map[string][]uint32{}
	g.peersByAddress = map[netip.AddrPort]*peer{}
	g.unknownSince = map[string]time.Time{}
	g.queries = &query.Endpoint{Sender: pool.Hash(g.Name), Start: g.Start, Conn: g.Conn, Peer: g.peerName, Answer: g.Answer, Events: g.Events}
	g.queries.Prepare()
	g.grid = grid.New(g.Name, nil)
	g.urgent = make(chan struct{}, 1)
	g.deliver = func(raw []byte, to *peer) {
		// A datagram that can't be sent counts as lost: a later one carries the state.
		_, _ = g.Conn.WriteToUDP(raw, to.address)
	}
}

// SetPeers sets the entries of the fleet by name, this one included. It is called with each
// new list of members.
func (g *Gossip) SetPeers(members map[string]watch.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	zones := map[string]string{}
	for name, m := range members {
		zones[name] = m.Zone
		if name == g.Name {
			g.cpuPercent = m.CPUPercent
			continue
		}
		address, err := net.ResolveUDPAddr("udp", m.Address)
		if err != nil {
			g.Events.Warn(event.PeerDown).Str("peer", name).Err(err).Msg("peer address can't be resolved; peer ignored")
			continue
		}
		p := g.peers[name]
		if p == nil {
			p = &peer{name: name, knownSince: time.Now()}
			g.peers[name], g.peersByHash[pool.Hash(name)] = p, p
		}
		p.address, p.zone, p.cpuPercent = address, m.Zone, m.CPUPercent
	}
	for name := range g.peers {
		if _, ok := members[name]; !ok {
			delete(g.peers, name)
			delete(g.peersByHash, pool.Hash(name))
		}
	}
	g.rebuildTopology(zones)
}

// unmap returns an address with an IPv4-mapped IPv6 address replaced by the IPv4 address.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// rebuildTopology computes from the zones of all entries which entries this one sends to.
func (g *Gossip) rebuildTopology(members map[string]string) {
	clear(g.unknownSince)
	clear(g.forwarded)
	clear(g.peersByAddress)
	g.zone, g.remotePeers = members[g.Name], nil
	if g.zones = grid.NewZones(g.Name, members); g.zones != nil {
		members = maps.Clone(members)
		maps.DeleteFunc(members, func(_, zone string) bool { return zone != g.zone })
	}
	g.grid = grid.New(g.Name, members)
	if g.zones != nil {
		g.grid.ByteFactor = grid.ZoneByteFactor
		g.zoneByCPU = g.sortByCPU(g.grid.Names)
	}
	for name, p := range g.peers {
		g.peersByAddress[unmap(p.address.AddrPort())] = p
		p.timeout = g.grid.Timeout()
		if g.zones != nil && p.zone != g.zone {
			p.timeout = g.zones.Timeout()
			g.remotePeers = append(g.remotePeers, name)
		}
	}
}

// Leave notifies all peers at once that this entry is shutting down, and marks all later messages
// of this entry accordingly.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.leaving = true
	for name := range g.peers {
		if _, ok := g.urgentPeers[name]; !ok {
			g.urgentPeers[name] = nil
		}
	}
	g.mu.Unlock()
	g.wake()
}

// RequestPreemption requests at once that a peer preempts one of its batch items on a backend
// server, given by its hash. The peer's own view doesn't show the need yet: the load that fills
// the server comes from entries of which the messages reach that peer later.
func (g *Gossip) RequestPreemption(name string, server uint32) {
	g.mu.Lock()
	g.urgentPeers[name] = append(g.urgentPeers[name], server)
	g.mu.Unlock()
	g.wake()
}

func (g *Gossip) wake() {
	select {
	case g.urgent <- struct{}{}:
	default:
		// A wake-up is pending already; it covers this send too.
	}
}

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive(ctx)
	t := time.NewTimer(grid.MinInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, name := range g.markDown(time.Now()) {
				g.OnPeerDown(name)
			}
			g.sendRound(time.Now())
			t.Reset(g.interval())
		case <-g.urgent:
			g.sendUrgent(time.Now())
		}
	}
}

func (g *Gossip) interval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grid.Interval()
}

// ViewAge returns the expected greatest age of the view of the peers: one interval of the grid, or two
// if messages take two hops.
func (g *Gossip) ViewAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	age := time.Duration(min(g.grid.Rows(), 2)) * g.grid.Interval()
	if g.zones != nil {
		// Messages between zones pass the grids of both zones.
		return 2*age + g.zones.Interval()
	}
	return age
}

// markDown returns the names of the peers that reached their timeout since the last call.
func (g *Gossip) markDown(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var down []string
	for name, p := range g.peers {
		if p.up && !p.live(now) {
			p.up = false
			down = append(down, name)
			g.Events.Warn(event.PeerDown).Str("peer", name).Bool("leaving", p.last.Leaving).Dur("silent", now.Sub(p.receivedAt)).Msg("no message from peer within its timeout; peer marked down")
		}
	}
	return down
}

// refreshMessage builds the message of this entry and reports whether it has to be sent: the state has
// changed or heartbeatInterval has passed. Skipping unchanged messages saves every second datagram of
// a small fleet under low load; these datagrams are most of the bytes between availability zones.
func (g *Gossip) refreshMessage(now time.Time) bool {
	m := digest.Message{Sender: pool.Hash(g.Name), Start: g.Start, From: g.Name}
	g.Fill(&m)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Leaving = g.leaving
	// The sequence isn't set yet, so that equal states have equal encodings.
	raw, err := digest.Encode([]*digest.Message{&m}, nil)
	if err != nil {
		g.Events.Warn(event.PeerDown).Err(err).Msg("own message can't be encoded; not sent")
		return false
	}
	if bytes.Equal(raw, g.lastPayload) && now.Sub(g.lastPayloadAt) < heartbeatInterval {
		return false
	}
	g.lastPayload, g.lastPayloadAt = raw, now
	g.sequence++
	m.Sequence = g.sequence
	g.last = m
	return true
}

// sendRound sends the message of this entry to its row, and the messages of the row to some columns and
// to the other zones.
func (g *Gossip) sendRound(now time.Time) {
	changed := g.refreshMessage(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.round++
	if changed {
		g.send([]*digest.Message{&g.last}, nil, g.grid.RowPeers(), now)
	}
	names := append(g.grid.RowPeers(), g.Name)
	for _, c := range g.grid.Columns(g.round%grid.Senders, g.liveFunc(now)) {
		g.send(g.toForward(destination{column: c}, names, pathColumn, now), nil, g.grid.Column(c), now)
	}
	g.sendToZones(now)
}

// liveFunc returns a function that reports whether an entry is live; this one always is.
func (g *Gossip) liveFunc(now time.Time) func(name string) bool {
	return func(name string) bool { return name == g.Name || g.peers[name].live(now) }
}

// toForward returns the messages of the named live entries that are due at a destination, and records
// them as sent. If zones is set, messages of other zones count only if they were received on a path of at
// least minPath. Unchanged messages are repeated forwardsPerTimeout times per timeout, as heartbeats.
func (g *Gossip) toForward(dest destination, names []string, minPath path, now time.Time) []*digest.Message {
	sent := g.forwarded[dest]
	if sent == nil {
		sent = map[string]version{}
		g.forwarded[dest] = sent
	}
	repeat := g.timeout() / forwardsPerTimeout
	var messages []*digest.Message
	for _, name := range names {
		m, changed := &g.last, g.last.Sequence
		if name != g.Name {
			p := g.peers[name]
			if !p.live(now) || g.zones != nil && p.zone != g.zone && p.path < minPath {
				continue
			}
			m, changed = &p.last, p.changedSequence
		}
		last := sent[name]
		if last.start == m.Start && (last.sequence == m.Sequence || last.sequence >= changed && now.Sub(last.sentAt) < repeat) {
			continue
		}
		sent[name] = version{m.Start, m.Sequence, now}
		messages = append(messages, m)
	}
	return messages
}

// sendUrgent sends the message of this entry to urgentPeers.
func (g *Gossip) sendUrgent(now time.Time) {
	g.refreshMessage(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, servers := range g.urgentPeers {
		g.send([]*digest.Message{&g.last}, servers, []string{name}, now)
	}
	clear(g.urgentPeers)
}

// send sends messages to peers, at most once per downPeerInterval to those that are down.
func (g *Gossip) send(messages []*digest.Message, preempt []uint32, names []string, now time.Time) {
	if len(messages) == 0 || len(names) == 0 {
		return
	}
	raw, err := digest.Encode(messages, preempt)
	if err != nil {
		g.Events.Warn(event.PeerDown).Err(err).Msg("datagram can't be encoded; not sent")
		return
	}
	for _, name := range names {
		p := g.peers[name]
		if p == nil || !p.mayBeLive(now) && now.Sub(p.sentAt) < downPeerInterval {
			continue
		}
		p.sentAt = now
		g.deliver(raw, p)
	}
}

func (g *Gossip) receive(ctx context.Context) {
	// The close ends the read below; a failed close needs no handling.
	context.AfterFunc(ctx, func() { _ = g.Conn.Close() })
	b := make([]byte, maxDatagram)
	for {
		n, from, err := g.Conn.ReadFromUDP(b)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// A closed port of a peer is reported here as a refused connection; nothing is lost.
			continue
		}
		if query.IsDatagram(b[:n]) {
			g.queries.Receive(b[:n], from)
			continue
		}
		g.handleDatagram(b[:n], from.AddrPort(), time.Now())
	}
}

func (g *Gossip) handleDatagram(raw []byte, from netip.AddrPort, now time.Time) {
	messages, preempt, err := digest.Decode(raw)
	if err != nil {
		g.Events.Warn(event.PeerDown).Err(err).Msg("datagram can't be decoded; dropped")
		return
	}
	g.mu.Lock()
	via := g.pathFrom(g.peersByAddress[unmap(from)])
	g.mu.Unlock()
	newer, remote := messages[:0], false
	for _, m := range messages {
		remote = remote || g.isRemote(m.Sender)
		if g.update(m, via, now) {
			newer = append(newer, m)
		}
	}
	if via != pathColumn && remote {
		g.forwardRemote(via, now)
	}
	if len(newer)+len(preempt) > 0 {
		g.OnMessages(newer, preempt)
	}
}

// update stores a message as the latest of its sender. It returns false if the sender is unknown or the
// message isn't newer than the stored one.
func (g *Gossip) update(m *digest.Message, via path, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peersByHash[m.Sender]
	if p == nil {
		return false
	}
	m.From = p.name
	// A peer that was down may have restarted with its clock set back. Compared with the start of its
	// last incarnation, its messages would count as old for seconds.
	older := m.Start < p.last.Start || m.Start == p.last.Start && m.Sequence <= p.last.Sequence
	if older && (p.live(now) || m.Start == p.last.Start) {
		if m.Start == p.last.Start && m.Sequence == p.last.Sequence {
			// The same message on a longer path: it is forwarded from here too. Otherwise each
			// of two rows could rely on the other to forward it.
			p.path = max(p.path, via)
		}
		return false
	}
	if !p.up {
		p.up = true
		g.Events.Info(event.PeerUp).Str("peer", m.From).Msg("message received from peer; peer marked up")
	}
	if m.Starting && (!p.last.Starting || p.last.Start != m.Start) {
		p.startingSince = now
	}
	if m.Start != p.last.Start || !m.SameContent(&p.last) {
		p.changedSequence = m.Sequence
	}
	p.receivedAt, p.last, p.path = now, *m, via
	return true
}

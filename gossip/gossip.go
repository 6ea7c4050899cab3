package gossip

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/watch"
)

const (
	// shortInterval bounds the interval of small fleets; a run begins every 40 ms
	// at each of a dozen entries in a burst, and what was heard before it has to be usable.
	shortInterval = 25 * time.Millisecond
	// freshTime is the longest time for which an entry says nothing while there is
	// nothing new: two such datagrams may be lost before it is taken as gone.
	freshTime = 200 * time.Millisecond
	// PeerTimeout is the least silence after which a peer is taken as gone.
	PeerTimeout = time.Second
	// silentInterval is between two datagrams to a peer that is silent.
	silentInterval = time.Second
	// largestDatagram bounds what is read; what is sent stays far below.
	largestDatagram = 64 << 10
)

// Message is what one entry says of itself.
type Message struct {
	// Sender is Hash of the sender's name, and Start tells its incarnations apart.
	Sender uint32
	Start  int64
	// Sequence orders the messages of one incarnation.
	Sequence uint64
	Loads    []pool.Load
	// Items are short hashes of the batch items that the sender runs.
	Items []uint32
	// Waiting is how many batch items the sender could start.
	Waiting int
	// Leaving is set in the last messages before the sender stops.
	Leaving bool
	// StoreLost is set while the sender can't read the store, or has not read it yet.
	StoreLost bool
	// Starting is set beside it until the sender has read the order of jobs.
	Starting bool
	// Crashes are fingerprints of requests during which backend servers
	// crashed, with how often the sender saw it.
	Crashes map[uint64]int
	// Breaks are the backend servers that broke off lately in the sender's requests.
	Breaks []pool.Break
	// Quota is what the sender let in of teams that asked lately.
	Quota []quota.Told

	// From is the sender's name, which isn't sent.
	From string
}

// Gossip exchanges datagrams with the other entries.
type Gossip struct {
	// Name is this entry's name.
	Name string
	// Start tells this incarnation from earlier ones; it grows with each.
	Start int64
	Conn  *net.UDPConn
	// Tell fills a datagram before it is sent.
	Tell func(m *Message)
	// Lost is called with the name of each peer that was heard before and is silent now.
	Lost func(name string)
	// Heard takes the newer messages of one datagram, and the backend servers on
	// which its sender asks for the slot of a batch item of this entry.
	Heard func(messages []*Message, press []uint32)
	// Answer, if set, answers the question of a peer's incarnation; it must not wait.
	Answer func(peer string, start int64, question []byte) ([]byte, error)
	Events *event.Logger

	mu sync.Mutex
	// told is what this entry last said of itself, and toldAt when.
	told   []byte
	toldAt time.Time
	last   Message
	peers  map[string]*peer
	// unlisted are names that were asked for and aren't among the members, and since when.
	unlisted map[string]time.Time
	// senders finds the same by the short form of their names.
	senders map[uint32]*peer
	grid    *grid
	round   int
	// passed is, by column, the newest message of each entry that was passed on there.
	passed   map[int]map[string]mark
	sequence uint64
	leaving  bool
	urgent   chan struct{}
	// pressed are the entries to be told at once, with the backend servers on which
	// they are asked for a slot.
	pressed map[string][]uint32
	// asked numbers the questions of this entry, and answers are those under way.
	asked   uint64
	answers map[uint64]chan []byte
	// deliver sends a datagram to a peer.
	deliver func(raw []byte, to *peer)
}

// mark names a message of an entry.
type mark struct {
	start    int64
	sequence uint64
}

func (m *Message) mark() mark { return mark{m.Start, m.Sequence} }

// Prepare makes the exchange usable; it is called once before all else.
func (g *Gossip) Prepare() {
	g.peers, g.senders = map[string]*peer{}, map[uint32]*peer{}
	g.passed, g.pressed = map[int]map[string]mark{}, map[string][]uint32{}
	g.unlisted = map[string]time.Time{}
	g.answers = map[uint64]chan []byte{}
	g.grid = newGrid(g.Name, nil)
	g.urgent = make(chan struct{}, 1)
	g.deliver = func(raw []byte, to *peer) {
		// A datagram that can't be sent is like one that is lost: a later one holds what is new.
		_, _ = g.Conn.WriteToUDP(raw, to.address)
	}
}

// SetPeers takes the other entries by name.
func (g *Gossip) SetPeers(members map[string]watch.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	zones := map[string]string{}
	for name, m := range members {
		zones[name] = m.Zone
		if name == g.Name {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", m.Address)
		if err != nil {
			g.Events.Warn(event.PeerDown).Str("peer", name).Err(err).Msg("peer address isn't usable")
			continue
		}
		if p := g.peers[name]; p != nil {
			p.address = address
			continue
		}
		p := &peer{name: name, address: address, known: time.Now()}
		g.peers[name], g.senders[pool.Hash(name)] = p, p
	}
	for name := range g.peers {
		if _, ok := members[name]; !ok {
			delete(g.peers, name)
			delete(g.senders, pool.Hash(name))
		}
	}
	clear(g.unlisted)
	g.grid = newGrid(g.Name, zones)
	for _, p := range g.peers {
		p.timeout = g.grid.timeout()
	}
	clear(g.passed)
}

// Leave says in all later datagrams that this entry stops, and says so to all at once.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.leaving = true
	for name := range g.peers {
		if _, ok := g.pressed[name]; !ok {
			g.pressed[name] = nil
		}
	}
	g.mu.Unlock()
	g.wake()
}

// Press asks a peer at once for the slot of one of its batch items on a backend
// server. The peer's own view can't tell it that: what fills the backend server
// runs at entries that it hears of later.
func (g *Gossip) Press(name string, server uint32) {
	g.mu.Lock()
	g.pressed[name] = append(g.pressed[name], server)
	g.mu.Unlock()
	g.wake()
}

func (g *Gossip) wake() {
	select {
	case g.urgent <- struct{}{}:
	default:
		// One is waiting already, and it will tell this too.
	}
}

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	go g.receive(ctx)
	t := time.NewTimer(shortInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			for _, name := range g.noteSilent(time.Now()) {
				g.Lost(name)
			}
			g.tellRound(time.Now())
			t.Reset(g.interval())
		case <-g.urgent:
			g.tellPressed(time.Now())
		}
	}
}

func (g *Gossip) interval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grid.interval()
}

// ViewAge returns how old what is known of the peers may be: the time of a
// round, or of two where it comes in two steps.
func (g *Gossip) ViewAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(min(g.grid.rows(), 2)) * g.grid.interval()
}

// noteSilent returns the peers that were heard before and aren't any more.
func (g *Gossip) noteSilent(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var lost []string
	for name, p := range g.peers {
		if p.up && !p.live(now) {
			p.up = false
			lost = append(lost, name)
			g.Events.Warn(event.PeerDown).Str("peer", name).Bool("leaving", p.last.Leaving).Dur("silent", now.Sub(p.heard)).Msg("peer silent")
		}
	}
	return lost
}

// speak brings up to now what this entry says of itself, and says whether that
// is news: something has changed, or it has said nothing for a while. On a calm
// day that is every second datagram of a small fleet: they are most of the bytes
// between availability zones.
func (g *Gossip) speak(now time.Time) bool {
	m := Message{Sender: pool.Hash(g.Name), Start: g.Start, From: g.Name}
	g.Tell(&m)
	g.mu.Lock()
	defer g.mu.Unlock()
	m.Leaving = g.leaving
	// Its sequence isn't set yet, so that the same things read the same.
	raw, err := encode([]*Message{&m}, nil)
	if err != nil {
		g.Events.Warn(event.PeerDown).Err(err).Msg("datagram can't be written")
		return false
	}
	if bytes.Equal(raw, g.told) && now.Sub(g.toldAt) < freshTime {
		return false
	}
	g.told, g.toldAt = raw, now
	g.sequence++
	m.Sequence = g.sequence
	g.last = m
	return true
}

// tellRound tells this entry's row of itself, and some columns of the row.
func (g *Gossip) tellRound(now time.Time) {
	news := g.speak(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.round++
	if news {
		g.send([]*Message{&g.last}, nil, g.grid.mates(), now)
	}
	for _, c := range g.grid.columns(g.round, func(name string) bool { return name == g.Name || g.peers[name].live(now) }) {
		g.send(g.unpassed(c, now), nil, g.grid.column(c), now)
	}
}

// unpassed returns what is known of the own row and wasn't passed on to a column yet.
func (g *Gossip) unpassed(c int, now time.Time) []*Message {
	passed := g.passed[c]
	if passed == nil {
		passed = map[string]mark{}
		g.passed[c] = passed
	}
	var messages []*Message
	add := func(m *Message) {
		if passed[m.From] != m.mark() {
			passed[m.From] = m.mark()
			messages = append(messages, m)
		}
	}
	add(&g.last)
	for _, name := range g.grid.mates() {
		if p := g.peers[name]; p.live(now) {
			add(&p.last)
		}
	}
	return messages
}

// tellPressed tells the pressed peers of this entry at once.
func (g *Gossip) tellPressed(now time.Time) {
	g.speak(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, servers := range g.pressed {
		g.send([]*Message{&g.last}, servers, []string{name}, now)
	}
	clear(g.pressed)
}

// send sends messages to peers; to the silent ones now and then only.
func (g *Gossip) send(messages []*Message, press []uint32, names []string, now time.Time) {
	if len(messages) == 0 || len(names) == 0 {
		return
	}
	raw, err := encode(messages, press)
	if err != nil {
		g.Events.Warn(event.PeerDown).Err(err).Msg("datagram can't be written")
		return
	}
	for _, name := range names {
		p := g.peers[name]
		if p == nil || !p.live(now) && now.Sub(p.sent) < silentInterval {
			continue
		}
		p.sent = now
		g.deliver(raw, p)
	}
}

func (g *Gossip) receive(ctx context.Context) {
	// The close ends the read below; there is nothing to do about a failure of it.
	context.AfterFunc(ctx, func() { _ = g.Conn.Close() })
	b := make([]byte, largestDatagram)
	for {
		n, from, err := g.Conn.ReadFromUDP(b)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// A peer's closed port shows here as a refused connection; nothing is lost by it.
			continue
		}
		if n > 0 && b[0] == callHead {
			g.receiveCall(b[:n], from)
			continue
		}
		g.receiveOne(b[:n], time.Now())
	}
}

func (g *Gossip) receiveOne(raw []byte, now time.Time) {
	messages, press, err := decode(raw)
	if err != nil {
		g.Events.Warn(event.PeerDown).Err(err).Msg("datagram isn't readable")
		return
	}
	newer := messages[:0]
	for _, m := range messages {
		if g.take(m, now) {
			newer = append(newer, m)
		}
	}
	if len(newer)+len(press) > 0 {
		g.Heard(newer, press)
	}
}

// take notes a message, and says false of one that is older than the last.
func (g *Gossip) take(m *Message, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.senders[m.Sender]
	if p == nil {
		return false
	}
	m.From = p.name
	// A peer that was silent may have started again with its clock set back:
	// held against the start before, all that it says would look old for seconds.
	older := m.Start < p.last.Start || m.Start == p.last.Start && m.Sequence <= p.last.Sequence
	if older && (p.live(now) || m.Start == p.last.Start) {
		return false
	}
	if !p.up {
		p.up = true
		g.Events.Info(event.PeerUp).Str("peer", m.From).Msg("peer heard")
	}
	if m.Starting && (!p.last.Starting || p.last.Start != m.Start) {
		p.starting = now
	}
	p.heard, p.last = now, *m
	return true
}

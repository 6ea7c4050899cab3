package query

import (
	"context"
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock/event"
)

// message is a query to one peer, or the answer to a query. Its encoding differs from other
// datagrams in the length of the array.
type message struct {
	_ struct{} `cbor:",toarray"`
	// Sender is the hash of the sender's name, and Start identifies the sender's incarnation.
	Sender uint32
	Start  int64
	// ID identifies a query of the sender; an answer has the ID of its query. It is 0 for a notification, which
	// gets no answer.
	ID     uint64
	Answer bool
	Body   []byte
}

// firstByte is the first byte of an encoded message: the CBOR header of an array of five elements.
const firstByte = 0x85

// IsDatagram reports whether a datagram is a query or an answer.
func IsDatagram(raw []byte) bool { return len(raw) > 0 && raw[0] == firstByte }

// Endpoint sends queries to peers and answers theirs.
type Endpoint struct {
	// Sender is the hash of this entry's name, and Start identifies its incarnation.
	Sender uint32
	Start  int64
	Conn   *net.UDPConn
	// Peer returns the name of a peer by its hash, or false if the peer is unknown.
	Peer func(sender uint32) (name string, known bool)
	// Answer, if set, returns the answer to a query from an incarnation of a peer. It must not block.
	// It isn't called for empty queries, which only check that this entry is live.
	Answer func(peer string, start int64, query []byte) ([]byte, error)
	Events *event.Logger

	mu sync.Mutex
	// lastID is the ID of the latest query of this entry, and pending holds the channels of
	// the queries in flight by ID.
	lastID  uint64
	pending map[uint64]chan []byte
}

// Prepare initializes e. It is called once, before all other methods.
func (e *Endpoint) Prepare() { e.pending = map[uint64]chan []byte{} }

// Query sends a query to the peer at an address and returns the answer. Lost queries and answers aren't
// sent again: ctx bounds the wait for the answer.
func (e *Endpoint) Query(ctx context.Context, to *net.UDPAddr, body []byte) ([]byte, error) {
	id, answer := e.register()
	defer e.unregister(id)
	if err := e.send(to, &message{ID: id, Body: body}); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case body := <-answer:
		return body, nil
	}
}

// Notify sends a message to the peer at an address, which doesn't answer it.
func (e *Endpoint) Notify(to *net.UDPAddr, body []byte) error {
	return e.send(to, &message{Body: body})
}

func (e *Endpoint) register() (uint64, chan []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	answer := make(chan []byte, 1)
	e.pending[e.lastID] = answer
	return e.lastID, answer
}

func (e *Endpoint) unregister(id uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, id)
}

func (e *Endpoint) send(to *net.UDPAddr, m *message) error {
	m.Sender, m.Start = e.Sender, e.Start
	raw, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	_, err = e.Conn.WriteToUDP(raw, to)
	return err
}

// Receive handles a datagram: it answers a query, or passes an answer to the call of Query that
// waits for it.
func (e *Endpoint) Receive(raw []byte, from *net.UDPAddr) {
	var m message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		e.Events.Warn(event.PeerDown).Err(err).Msg("query or answer can't be decoded; dropped")
		return
	}
	if m.Answer {
		e.deliver(&m)
		return
	}
	name, known := e.Peer(m.Sender)
	if !known {
		return
	}
	if err := e.reply(name, &m, from); err != nil {
		e.Events.Warn(event.PeerDown).Str("peer", name).Err(err).Msg("answering a query of a peer failed; no answer sent")
	}
}

// deliver passes an answer to the call that waits for it. Late and duplicate answers are dropped.
func (e *Endpoint) deliver(m *message) {
	e.mu.Lock()
	answer := e.pending[m.ID]
	e.mu.Unlock()
	select {
	case answer <- m.Body:
	default:
		// The call has returned or has its answer already.
	}
}

func (e *Endpoint) reply(name string, m *message, from *net.UDPAddr) error {
	var body []byte
	var err error
	if len(m.Body) > 0 && e.Answer != nil {
		if body, err = e.Answer(name, m.Start, m.Body); err != nil {
			return err
		}
	}
	if m.ID == 0 {
		return nil
	}
	return e.send(from, &message{ID: m.ID, Answer: true, Body: body})
}

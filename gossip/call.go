package gossip

import (
	"context"
	"errors"
	"net"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
)

// call is a question to one peer, or the answer to it. As a datagram it is told from
// messages by the length of its array.
type call struct {
	_      struct{} `cbor:",toarray"`
	Sender uint32
	// Start is the sender's incarnation.
	Start int64
	// Number tells the questions of a sender apart; an answer has that of its question.
	Number uint64
	Answer bool
	Body   []byte
}

// callHead is the first byte of a call: an array of its five fields.
const callHead = 0x85

// errNoPeer means that a peer isn't among the members, as they are known here.
var errNoPeer = errors.New("gossip: no such peer")

// Ask puts a question to a peer and returns the answer. Neither is sent again when it is
// lost: ctx bounds the time for which the answer is waited for.
func (g *Gossip) Ask(ctx context.Context, name string, question []byte) ([]byte, error) {
	g.mu.Lock()
	p := g.peers[name]
	g.asked++
	number, answer := g.asked, make(chan []byte, 1)
	g.answers[number] = answer
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.answers, number)
		g.mu.Unlock()
	}()
	if p == nil {
		return nil, errNoPeer
	}
	if err := g.sendCall(p.address, &call{Number: number, Body: question}); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case body := <-answer:
		return body, nil
	}
}

func (g *Gossip) sendCall(to *net.UDPAddr, c *call) error {
	c.Sender, c.Start = pool.Hash(g.Name), g.Start
	raw, err := cbor.Marshal(c)
	if err != nil {
		return err
	}
	_, err = g.Conn.WriteToUDP(raw, to)
	return err
}

// receiveCall answers a question, or hands an answer to who waits for it. One that
// comes late or twice finds nobody.
func (g *Gossip) receiveCall(raw []byte, from *net.UDPAddr) {
	var c call
	if err := cbor.Unmarshal(raw, &c); err != nil {
		g.Events.Warn(event.PeerDown).Err(err).Msg("question isn't readable")
		return
	}
	g.mu.Lock()
	p, waiting := g.senders[c.Sender], g.answers[c.Number]
	g.mu.Unlock()
	if c.Answer {
		if waiting == nil {
			return
		}
		select {
		case waiting <- c.Body:
		default:
			// It has its answer.
		}
		return
	}
	if p == nil {
		return
	}
	var answer []byte
	var err error
	// An empty question asks only whether this entry lives.
	if len(c.Body) > 0 && g.Answer != nil {
		answer, err = g.Answer(p.name, c.Start, c.Body)
	}
	if err == nil {
		err = g.sendCall(from, &call{Number: c.Number, Answer: true, Body: answer})
	}
	if err != nil {
		g.Events.Warn(event.PeerDown).Str("peer", p.name).Err(err).Msg("question isn't answered")
	}
}

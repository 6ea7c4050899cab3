package gossip

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Questions are answered by the peer that they are put to, and by nobody where it is
// silent or isn't a member; broken ones stop nothing.
func TestQuestionsAreAnswered(t *testing.T) {
	g := NewWithT(t)
	a, b := newGossip(g, "a"), newGossip(g, "b")
	b.Answer = func(peer string, start int64, question []byte) ([]byte, error) {
		g.Expect(peer).To(Equal("a"))
		g.Expect(start).To(Equal(int64(1)))
		return append([]byte("to "), question...), nil
	}
	fleet(a, b)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(ctx)
	go b.Run(ctx)
	for _, broken := range [][]byte{{callHead}, {callHead, 1, 2}, {callHead, 0x61, 'x', 0, 0, 0, 0}} {
		_, err := a.Conn.WriteToUDP(broken, a.peers["b"].address)
		g.Expect(err).NotTo(HaveOccurred())
	}
	answer, err := a.Ask(ctx, "b", []byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(answer)).To(Equal("to x"))

	_, err = a.Ask(ctx, "c", []byte("x"))
	g.Expect(err).To(MatchError(errNoPeer))

	_, err = b.Ask(ctx, "a", nil)
	g.Expect(err).NotTo(HaveOccurred(), "it lives")

	a.Conn.Close()
	short, end := context.WithTimeout(ctx, 50*time.Millisecond)
	defer end()
	_, err = b.Ask(short, "a", []byte("x"))
	g.Expect(err).To(MatchError(context.DeadlineExceeded), "nobody answers there")
	g.Expect(a.answers).To(BeEmpty())
}

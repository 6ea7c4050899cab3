package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const lineTarget = 300 * time.Millisecond

// joined returns a request in a line that began to wait some time ago.
func (l *line) joined(now time.Time, ago time.Duration) *waiter {
	h := &waiter{since: now.Add(-ago), target: lineTarget, offer: make(chan string, 1)}
	l.join("s", h)
	return h
}

func (h *waiter) expectOffer(g *WithT, want string) {
	select {
	case got := <-h.offer:
		g.Expect(got).To(Equal(want))
	default:
		g.Expect("").To(Equal(want))
	}
}

// Callers come back after a loss and wait beside fresh ones. The slots that
// come free go to those that can still be answered in time, the oldest of them
// first; the late ones look for themselves, and not while such a one waits.
func TestFreeSlotsGoToThoseInTime(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := &line{}
	late, young, old := l.joined(now, time.Second), l.joined(now, 20*time.Millisecond), l.joined(now, 200*time.Millisecond)
	g.Expect(l.yields("s", late, now)).To(BeTrue())
	g.Expect(l.yields("s", young, now)).To(BeFalse())
	for _, server := range []string{"a", "b"} {
		g.Expect(l.give("s", server, now)).To(BeTrue())
	}
	old.expectOffer(g, "a")
	young.expectOffer(g, "b")
	g.Expect(l.give("s", "c", now)).To(BeFalse())
	g.Expect(l.give("other", "c", now)).To(BeFalse())
	late.expectOffer(g, "")
	g.Expect(l.yields("s", late, now)).To(BeFalse())
}

// A caller that left is offered nothing.
func TestWhoLeftTheLineIsOfferedNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := &line{}
	h := l.joined(now, 0)
	l.leave("s", h)
	l.leave("s", h)
	g.Expect(l.give("s", "a", now)).To(BeFalse())
	h.expectOffer(g, "")
}

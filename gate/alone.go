package gate

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// aloneHold is how long waiting suspects may keep other work from starting
	// so that the backend server becomes empty.
	aloneHold = 3 * time.Second
	// aloneRest is how long after a hold there is none again, so that a row of
	// suspects costs a backend server at most a quarter of its time.
	aloneRest = 9 * time.Second
	// crashRetryAfter is when a guilty request may come back: marks last as long.
	crashRetryAfter = 10 * time.Minute
)

// aloneLine holds suspects, which run with nothing else in flight.
//
// Failure: one request crashes the backend server that runs it. Tried again
// beside others, it takes them down once more, and nobody can tell which of
// them did it. Tried alone, a second death names it, and its end clears it.
//
// On a busy backend server nothing is ever empty by itself, so the first
// suspect holds back new starts for a bounded time. Batch work is preempted
// for it; online work that runs is left to finish.
type aloneLine struct {
	waiting []sardinerock.Work
	running string
	holding bool
	until   time.Time
	rested  time.Time
}

func (l *aloneLine) len() int { return len(l.waiting) }

// wants tells that batch work has to make room.
func (l *aloneLine) wants() bool { return len(l.waiting) > 0 || l.running != "" }

// holds tells that nothing else may start now.
func (l *aloneLine) holds(now time.Time) bool {
	return l.running != "" || l.holding && now.Before(l.until)
}

func (l *aloneLine) finished(attempt string) {
	if l.running == attempt {
		l.running = ""
	}
}

func (l *aloneLine) remove(attempt string) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w sardinerock.Work) bool { return w.Attempt == attempt })
}

func (l *aloneLine) takeAll() []sardinerock.Work {
	all := l.waiting
	l.waiting = nil
	return all
}

func (g *Gate) offerAlone(w sardinerock.Work) {
	g.alone.waiting = append(g.alone.waiting, w)
	if g.alone.running == "" {
		g.preemptDownTo(0)
	}
}

// advanceAlone starts the next suspect once nothing else is in flight.
func (g *Gate) advanceAlone(now time.Time) {
	l := &g.alone
	l.waiting = slices.DeleteFunc(l.waiting, func(w sardinerock.Work) bool {
		late := !w.Deadline.IsZero() && now.After(w.Deadline)
		if late {
			g.refuse(w.Attempt, g.hopeless(sardinerock.CodeDeadline, "the request is suspected of crashing backend servers and found none to run alone on in time"))
		}
		return late
	})
	if l.holding && !now.Before(l.until) {
		l.holding = false
		l.rested = now.Add(aloneRest)
	}
	if len(l.waiting) == 0 {
		l.holding = l.holding && l.running != ""
		return
	}
	if l.running != "" {
		return
	}
	if !l.holding && !now.Before(l.rested) {
		l.holding = true
		l.until = now.Add(aloneHold)
	}
	if g.online+len(g.batch)+g.leaving > 0 || g.queue.Len() > 0 && !l.holds(now) {
		return
	}
	w := l.waiting[0]
	l.waiting = l.waiting[1:]
	l.running = w.Attempt
	g.start(now, w, g.item(w), 0)
}

// Quarantine implements sardinerock.Gate.
//
// Failure: ten copies of a crashing request wait at one gate, let in before the
// first had crashed anything. Started one after another, each takes the backend
// server down again, though the first death alone has named the request. So a
// verdict counts for what waits already, not only for what is offered later.
func (g *Gate) Quarantine(now time.Time, fingerprint uint64, guilty bool) []sardinerock.GateAction {
	g.begin()
	for _, w := range g.waitingOf(fingerprint) {
		switch {
		case guilty:
			g.drop(w.Attempt)
			g.refuse(w.Attempt, crashSuspect())
		case !w.Alone:
			g.drop(w.Attempt)
			w.Alone = true
			g.offerAlone(w)
		}
	}
	return g.advance(now)
}

// waitingOf returns what waits of a request, in the order of attempts.
func (g *Gate) waitingOf(fingerprint uint64) []sardinerock.Work {
	var all []sardinerock.Work
	for _, x := range g.waiting {
		if x.work.Fingerprint == fingerprint {
			all = append(all, x.work)
		}
	}
	slices.SortFunc(all, func(a, b sardinerock.Work) int { return strings.Compare(a.Attempt, b.Attempt) })
	for _, b := range g.backlog.items {
		if b.work.Fingerprint == fingerprint {
			all = append(all, b.work)
		}
	}
	for _, w := range g.alone.waiting {
		if w.Fingerprint == fingerprint {
			all = append(all, w)
		}
	}
	return all
}

// drop takes waiting work out of whichever line it stands in.
func (g *Gate) drop(attempt string) {
	if x := g.waiting[attempt]; x != nil {
		g.forget(x)
	}
	g.backlog.remove(attempt)
	g.alone.remove(attempt)
}

func crashSuspect() *sardinerock.Refusal {
	return &sardinerock.Refusal{
		Code:    sardinerock.CodeCrashSuspect,
		Message: "backend servers crashed while they ran this request; it is refused for some minutes",
		Outcome: sardinerock.OutcomeNotRun, RetryAfter: crashRetryAfter,
	}
}

package gate

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// maxAloneBlock bounds how long a waiting suspect may keep other work from
	// starting so that the backend server runs empty.
	maxAloneBlock = 3 * time.Second
	// aloneCooldown is the time between two such blocks: a series of suspects
	// takes at most a quarter of a backend server's time.
	aloneCooldown = 9 * time.Second
	// crashRetryAfter is the retry delay for a blocked request, equal to the lifetime of crash records.
	crashRetryAfter = 10 * time.Minute
)

// aloneQueue holds suspects: requests that may have crashed a backend server
// and therefore run with nothing else in flight.
//
// Failure: one request crashes the backend server that runs it. Retried beside
// other requests it fails them again, and the crash does not show which request
// caused it. Retried alone, a second crash identifies it and a normal end
// clears it.
//
// A busy backend server never runs empty by itself, so the first suspect blocks
// new starts for a bounded time. Batch streams are preempted; running online
// streams finish.
type aloneQueue struct {
	waiting     []sardinerock.Work
	running     string
	blocking    bool
	blockUntil  time.Time
	cooldownEnd time.Time
}

func (q *aloneQueue) len() int { return len(q.waiting) }

// pending reports whether a suspect waits or runs, so that no batch work may start.
func (q *aloneQueue) pending() bool { return len(q.waiting) > 0 || q.running != "" }

// blocks reports whether no other work may start now.
func (q *aloneQueue) blocks(now time.Time) bool {
	return q.running != "" || q.blocking && now.Before(q.blockUntil)
}

func (q *aloneQueue) finished(attempt string) {
	if q.running == attempt {
		q.running = ""
	}
}

func (q *aloneQueue) remove(attempt string) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w sardinerock.Work) bool { return w.Attempt == attempt })
}

func (q *aloneQueue) takeAll() []sardinerock.Work {
	all := q.waiting
	q.waiting = nil
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
	q := &g.alone
	q.waiting = slices.DeleteFunc(q.waiting, func(w sardinerock.Work) bool {
		late := !w.Deadline.IsZero() && now.After(w.Deadline)
		if late {
			g.refuse(w.Attempt, g.lateRefusal(sardinerock.CodeDeadline, "the request is suspected of crashing backend servers and found none to run alone on in time"))
		}
		return late
	})
	if q.blocking && !now.Before(q.blockUntil) {
		q.blocking = false
		q.cooldownEnd = now.Add(aloneCooldown)
	}
	if len(q.waiting) == 0 {
		q.blocking = q.blocking && q.running != ""
		return
	}
	if q.running != "" {
		return
	}
	if !q.blocking && !now.Before(q.cooldownEnd) {
		q.blocking = true
		q.blockUntil = now.Add(maxAloneBlock)
	}
	if g.online+len(g.batch)+g.cancelling > 0 || g.queue.Len() > 0 && !q.blocks(now) {
		return
	}
	w := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.running = w.Attempt
	g.start(now, w, g.item(w), 0)
}

// Quarantine implements sardinerock.Gate.
//
// Failure: ten copies of a crashing request wait at one gate, admitted before
// the first of them crashed the backend server. Started one after another, each
// crashes it again although the request is known by then. A verdict therefore
// applies to waiting work as well as to later offers.
func (g *Gate) Quarantine(now time.Time, fingerprint uint64, blocked bool) []sardinerock.GateAction {
	g.beginCall()
	for _, w := range g.waitingWith(fingerprint) {
		switch {
		case blocked:
			g.dequeue(w.Attempt)
			g.refuse(w.Attempt, crashRefusal())
		case !w.Alone:
			g.dequeue(w.Attempt)
			w.Alone = true
			g.offerAlone(w)
		}
	}
	return g.advance(now)
}

// waitingWith returns the waiting work with the given fingerprint: online work
// sorted by attempt, then batch work, then suspects.
func (g *Gate) waitingWith(fingerprint uint64) []sardinerock.Work {
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

// dequeue removes waiting work from whichever queue holds it.
func (g *Gate) dequeue(attempt string) {
	if x := g.waiting[attempt]; x != nil {
		g.removeWaiter(x)
	}
	g.backlog.remove(attempt)
	g.alone.remove(attempt)
}

func crashRefusal() *sardinerock.Refusal {
	return &sardinerock.Refusal{
		Code:    sardinerock.CodeCrashSuspect,
		Message: "backend servers crashed while they ran this request; it is refused for some minutes",
		Outcome: sardinerock.OutcomeNotRun, RetryAfter: crashRetryAfter,
	}
}

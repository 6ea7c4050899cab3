package gate

import (
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
)

var _ sardinerock.Gate = (*Fifo)(nil)

// Fifo is the baseline of `--policy fifo`: one queue in order of arrival for
// MaxSlots slots, without classes, deadlines or preemption, like an engine's own queue.
type Fifo struct {
	// Limits holds MaxSlots; the other bounds are unused.
	Limits sardinerock.GateLimits

	running  map[string]sardinerock.Work
	waiting  []queuedWork
	online   int
	draining bool
}

// Offer implements sardinerock.Gate.
func (f *Fifo) Offer(now time.Time, w sardinerock.Work) []sardinerock.GateAction {
	if f.draining {
		return []sardinerock.GateAction{{Kind: sardinerock.GateRefuse, Attempt: w.Attempt, Refusal: shutdownRefusal()}}
	}
	f.waiting = append(f.waiting, queuedWork{work: w, offered: now})
	return f.start(now)
}

// Token implements sardinerock.Gate.
func (f *Fifo) Token(time.Time, string) {}

// Done implements sardinerock.Gate.
func (f *Fifo) Done(now time.Time, attempt string, _ sardinerock.GateSample) []sardinerock.GateAction {
	w, ok := f.running[attempt]
	if ok {
		delete(f.running, attempt)
		f.online -= onlineCount(w)
	}
	return f.start(now)
}

// Cancel implements sardinerock.Gate.
func (f *Fifo) Cancel(now time.Time, attempt string) []sardinerock.GateAction {
	for i, w := range f.waiting {
		if w.work.Attempt == attempt {
			f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
			break
		}
	}
	return f.start(now)
}

// Quarantine implements sardinerock.Gate: waiting work is refused if the request
// is blocked; suspects are not isolated.
func (f *Fifo) Quarantine(now time.Time, fingerprint uint64, blocked bool) []sardinerock.GateAction {
	var actions []sardinerock.GateAction
	f.waiting = slices.DeleteFunc(f.waiting, func(w queuedWork) bool {
		drop := blocked && w.work.Fingerprint == fingerprint
		if drop {
			actions = append(actions, sardinerock.GateAction{Kind: sardinerock.GateRefuse, Attempt: w.work.Attempt, Refusal: crashRefusal()})
		}
		return drop
	})
	return append(actions, f.start(now)...)
}

// Tick implements sardinerock.Gate.
func (f *Fifo) Tick(now time.Time) []sardinerock.GateAction { return f.start(now) }

// SetLimits implements sardinerock.Gate.
func (f *Fifo) SetLimits(now time.Time, l sardinerock.GateLimits) []sardinerock.GateAction {
	f.Limits = l
	return f.start(now)
}

// Drain implements sardinerock.Gate.
func (f *Fifo) Drain(time.Time) []sardinerock.GateAction {
	f.draining = true
	var actions []sardinerock.GateAction
	for _, w := range f.waiting {
		actions = append(actions, sardinerock.GateAction{Kind: sardinerock.GateRefuse, Attempt: w.work.Attempt, Refusal: shutdownRefusal()})
	}
	f.waiting = nil
	return actions
}

// State implements sardinerock.Gate.
func (f *Fifo) State() sardinerock.GateState {
	s := sardinerock.GateState{Slots: f.slots(), OnlineRunning: f.online, BatchRunning: len(f.running) - f.online, Draining: f.draining}
	for _, w := range f.waiting {
		s.OnlineWaiting += onlineCount(w.work)
	}
	s.BatchWaiting = len(f.waiting) - s.OnlineWaiting
	if !f.draining {
		s.BatchCredit = max(0, s.Slots-s.BatchRunning-s.BatchWaiting)
	}
	return s
}

func (f *Fifo) start(now time.Time) []sardinerock.GateAction {
	if f.running == nil {
		f.running = make(map[string]sardinerock.Work)
	}
	var actions []sardinerock.GateAction
	for len(f.waiting) > 0 && len(f.running) < f.slots() {
		w := f.waiting[0]
		f.waiting = f.waiting[1:]
		f.running[w.work.Attempt] = w.work
		f.online += onlineCount(w.work)
		actions = append(actions, sardinerock.GateAction{Kind: sardinerock.GateStart, Attempt: w.work.Attempt, Waited: now.Sub(w.offered)})
	}
	return actions
}

func (f *Fifo) slots() int { return max(f.Limits.MaxSlots, 1) }

func onlineCount(w sardinerock.Work) int {
	if w.Class == sardinerock.ClassOnline {
		return 1
	}
	return 0
}

package gate

import (
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/adapt"
	"github.com/sardinerock/sardinerock/sched"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay in refusals.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

var _ sardinerock.Gate = (*Gate)(nil)

// Gate gives online work priority over batch work at one backend server. Set
// Limits before the first call and use SetLimits afterwards.
//
// Load pattern: bursts of online requests reach a backend server whose idle
// slots are filled with batch work and whose engine has no priorities. Without
// the gate the burst queues inside the engine behind batch answers that take
// half a minute each, so interactive users wait half a minute.
//
// The rules, in order:
//  1. Online work starts whenever fewer online streams run than there are
//     slots, unless a suspect blocks new starts (aloneQueue). If batch work
//     occupies the slot, the youngest batch stream is preempted in the same
//     call, because it has the least work to lose.
//  2. Other online work waits in fair order (package sched), or is refused if
//     the estimated wait misses its deadline (adapt.Estimate).
//  3. Batch work uses only the slots that online work leaves free, less the
//     reserve, and its prompts are paced so that online decoding is not slowed.
type Gate struct {
	// Limits are the bounds within which the gate adapts.
	Limits sardinerock.GateLimits

	running    map[string]*stream
	online     int
	batch      []*stream
	cancelling int
	waiting    map[string]*waiter
	queue      sched.Queue
	deadlines  waiterHeap
	backlog    batchQueue
	alone      aloneQueue
	slots      adapt.Slots
	reserve    adapt.Reserve
	prefill    adapt.Prefill
	estimate   adapt.Estimate
	standing   adapt.StandingQueue
	draining   bool
	actions    []sardinerock.GateAction
}

// stream is an attempt that was sent to the engine.
type stream struct {
	adapt.Stream
	item sched.Item
	// prefilling is set until the first token of a batch stream with a prompt.
	prefilling bool
	// cancelling is set once the stream was preempted or cancelled, until the engine reports its end.
	cancelling bool
}

// waiter is an online attempt that waits for a slot.
type waiter struct {
	work    sardinerock.Work
	offered time.Time
	// latestStart is the last time at which a start still meets the deadline; zero means no deadline.
	latestStart time.Time
	index       int
}

// Offer implements sardinerock.Gate.
func (g *Gate) Offer(now time.Time, w sardinerock.Work) []sardinerock.GateAction {
	g.beginCall()
	switch {
	case g.draining:
		g.refuse(w.Attempt, shutdownRefusal())
	case w.Alone:
		g.offerAlone(w)
	case w.Class == sardinerock.ClassBatch:
		g.offerBatch(now, w)
	default:
		g.offerOnline(now, w)
	}
	return g.advance(now)
}

func (g *Gate) offerOnline(now time.Time, w sardinerock.Work) {
	item := g.item(w)
	if g.queue.Len() == 0 && g.canStartOnline(now) {
		g.start(now, w, item, 0)
		return
	}
	// The item's own cost approximates the remaining work of the stream whose slot it will get.
	ahead := g.queue.Ahead(item) + item.Cost
	wait := g.estimate.Wait(ahead, g.slots.Count(g.Limits))
	latest := g.estimate.LatestStart(now, w)
	if now.Add(wait).After(latest) {
		g.refuse(w.Attempt, g.lateRefusal(sardinerock.CodeOverloaded, "the deadline can't be met: too much online work waits before this request"))
		return
	}
	if g.standing.Overloaded(now) && wait > g.standing.MaxWait(g.Limits) {
		g.refuse(w.Attempt, g.lateRefusal(sardinerock.CodeOverloaded, "online work has been waiting for seconds and more would wait longer still"))
		return
	}
	x := &waiter{work: w, offered: now, latestStart: latest}
	g.waiting[w.Attempt] = x
	g.queue.Push(item)
	g.deadlines.push(x)
}

// lateRefusal refuses work that would start too late, with the estimated wait
// of the queue as retry delay.
func (g *Gate) lateRefusal(code sardinerock.Code, message string) *sardinerock.Refusal {
	wait := g.estimate.Wait(g.queue.Backlog(), g.slots.Count(g.Limits))
	return &sardinerock.Refusal{
		Code: code, Message: message, Outcome: sardinerock.OutcomeNotRun,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}

// Token implements sardinerock.Gate.
func (g *Gate) Token(now time.Time, attempt string) {
	s := g.running[attempt]
	if s == nil {
		return
	}
	if s.FirstToken.IsZero() {
		s.FirstToken = now
		first := now.Sub(s.Started)
		g.prefill.ObserveFirstToken(&s.Stream, first, g.estimate.TokenGap())
		g.endPrefill(s)
		g.estimate.ObserveFirstToken(&s.Stream, first)
		if s.Work.Class == sardinerock.ClassOnline {
			g.slots.ObserveFirstToken(first)
		}
	} else if s.Work.Class == sardinerock.ClassOnline {
		g.slots.ObserveTokenGap(now.Sub(s.LastToken))
	}
	s.LastToken = now
	s.Tokens++
}

// Done implements sardinerock.Gate.
func (g *Gate) Done(now time.Time, attempt string, sample sardinerock.GateSample) []sardinerock.GateAction {
	g.beginCall()
	s := g.running[attempt]
	if s == nil {
		return g.advance(now)
	}
	delete(g.running, attempt)
	g.endPrefill(s)
	if s.cancelling {
		g.cancelling--
		return g.advance(now)
	}
	g.release(s)
	if !sample.Failed {
		g.estimate.ObserveDone(now, &s.Stream, sample)
		if s.Work.Class == sardinerock.ClassOnline {
			g.queue.Settle(s.item, g.estimate.ActualCost(sample)-s.item.Cost)
		}
	}
	return g.advance(now)
}

// Cancel implements sardinerock.Gate.
func (g *Gate) Cancel(now time.Time, attempt string) []sardinerock.GateAction {
	g.beginCall()
	if s := g.running[attempt]; s != nil && !s.cancelling {
		g.markCancelled(s)
	}
	g.dequeue(attempt)
	return g.advance(now)
}

// Tick implements sardinerock.Gate.
func (g *Gate) Tick(now time.Time) []sardinerock.GateAction {
	g.beginCall()
	return g.advance(now)
}

// SetLimits implements sardinerock.Gate.
func (g *Gate) SetLimits(now time.Time, l sardinerock.GateLimits) []sardinerock.GateAction {
	g.beginCall()
	g.Limits = l
	return g.advance(now)
}

// Drain implements sardinerock.Gate.
func (g *Gate) Drain(now time.Time) []sardinerock.GateAction {
	g.beginCall()
	g.draining = true
	for {
		item, ok := g.queue.Pop()
		if !ok {
			break
		}
		g.removeWaiter(g.waiting[item.ID])
		g.refuse(item.ID, shutdownRefusal())
	}
	for _, b := range g.backlog.takeAll() {
		g.refuse(b.work.Attempt, shutdownRefusal())
	}
	for _, w := range g.alone.takeAll() {
		g.refuse(w.Attempt, shutdownRefusal())
	}
	g.preemptDownTo(0)
	return g.advance(now)
}

// State implements sardinerock.Gate.
func (g *Gate) State() sardinerock.GateState {
	s := sardinerock.GateState{
		Slots:         g.slots.Count(g.Limits),
		OnlineRunning: g.online,
		OnlineWaiting: g.queue.Len() + g.alone.len(),
		BatchRunning:  len(g.batch),
		BatchWaiting:  g.backlog.len(),
		Reserve:       g.reserve.Slots(g.slots.Count(g.Limits)),
		FirstToken:    g.estimate.FirstToken(),
		TokenGap:      g.estimate.TokenGap(),
		Draining:      g.draining,
	}
	s.BatchCredit = g.batchCredit()
	return s
}

func (g *Gate) beginCall() {
	if g.running == nil {
		g.running = make(map[string]*stream)
		g.waiting = make(map[string]*waiter)
	}
	g.actions = nil
}

// advance refuses what can no longer meet its deadline and starts what finds a
// free slot; every call ends with it.
func (g *Gate) advance(now time.Time) []sardinerock.GateAction {
	g.standing.Observe(now, g.queue.Len())
	g.slots.Adapt(now, g.Limits, g.online+len(g.batch))
	g.reserve.Observe(now, g.online+g.queue.Len())
	g.prefill.Refill(now, g.Limits.PromptShare)
	g.refuseLate(now)
	g.advanceAlone(now)
	g.startOnline(now)
	g.startBatch(now)
	return g.actions
}

// deadlineMissed is the refusal message for work whose deadline passed while it waited.
const deadlineMissed = "the deadline can't be met any more: the request waited in vain for a slot"

// refuseLate refuses waiting work that can no longer meet its deadline. It
// would otherwise take a slot for an answer that no caller reads; at three
// times the capacity all slots would soon be spent on such answers.
func (g *Gate) refuseLate(now time.Time) {
	for len(g.deadlines) > 0 && now.After(g.deadlines[0].latestStart) {
		x := g.deadlines[0]
		g.queue.Remove(x.work.Attempt)
		g.removeWaiter(x)
		g.refuse(x.work.Attempt, g.lateRefusal(sardinerock.CodeDeadline, deadlineMissed))
	}
}

// canStartOnline reports whether online work may take a slot now.
func (g *Gate) canStartOnline(now time.Time) bool {
	return g.online < g.slots.Count(g.Limits) && !g.alone.blocks(now)
}

func (g *Gate) startOnline(now time.Time) {
	for {
		item, ok := g.queue.Next()
		if !ok {
			return
		}
		x := g.waiting[item.ID]
		if !g.canStartOnline(now) {
			return
		}
		g.queue.Pop()
		g.removeWaiter(x)
		if now.After(g.estimate.LatestStart(now, x.work)) {
			// The engine has slowed down since the work was admitted.
			g.refuse(item.ID, g.lateRefusal(sardinerock.CodeDeadline, deadlineMissed))
			continue
		}
		g.start(now, x.work, item, now.Sub(x.offered))
	}
}

// start sends an attempt to the engine and preempts batch streams if online work needs their slots.
func (g *Gate) start(now time.Time, w sardinerock.Work, item sched.Item, waited time.Duration) {
	s := &stream{Stream: adapt.Stream{Work: w, Started: now}, item: item}
	g.running[w.Attempt] = s
	if w.Class == sardinerock.ClassBatch {
		s.prefilling = w.PromptTokens > 0
		g.batch = append(g.batch, s)
		g.prefill.Started(w.PromptTokens)
	} else {
		g.online++
		g.preemptDownTo(max(0, g.slots.Count(g.Limits)-g.online))
		g.preemptPrefilling(now)
	}
	g.actions = append(g.actions, sardinerock.GateAction{Kind: sardinerock.GateStart, Attempt: w.Attempt, Waited: waited})
}

// preemptDownTo cancels the youngest batch streams until at most n run.
func (g *Gate) preemptDownTo(n int) {
	for len(g.batch) > n {
		g.preempt(g.batch[len(g.batch)-1])
	}
}

// preemptPrefilling cancels the batch stream whose prompt the engine is reading
// if the rest of the prompt would delay online work for long.
func (g *Gate) preemptPrefilling(now time.Time) {
	if len(g.batch) == 0 {
		return
	}
	s := g.batch[len(g.batch)-1]
	if s.prefilling && g.prefill.Preempt(s.Work.PromptTokens, now.Sub(s.Started)) {
		g.preempt(s)
	}
}

func (g *Gate) preempt(s *stream) {
	g.markCancelled(s)
	g.actions = append(g.actions, sardinerock.GateAction{Kind: sardinerock.GatePreempt, Attempt: s.Work.Attempt})
}

// markCancelled releases the slot of a stream that the engine has yet to
// cancel. Online work may take the slot at once. Batch work waits until the
// engine has ended the stream, since batch streams would otherwise accumulate
// in the engine when cancellation is slow.
func (g *Gate) markCancelled(s *stream) {
	s.cancelling = true
	g.cancelling++
	g.release(s)
}

func (g *Gate) release(s *stream) {
	g.alone.finished(s.Work.Attempt)
	if s.Work.Class == sardinerock.ClassOnline {
		g.online--
		return
	}
	for i, b := range g.batch {
		if b == s {
			g.batch = append(g.batch[:i], g.batch[i+1:]...)
			return
		}
	}
}

// endPrefill counts the prompt of a batch stream as read; later calls do nothing.
func (g *Gate) endPrefill(s *stream) {
	if s.prefilling {
		s.prefilling = false
		g.prefill.Finished()
	}
}

func (g *Gate) removeWaiter(x *waiter) {
	g.queue.Remove(x.work.Attempt)
	g.deadlines.remove(x)
	delete(g.waiting, x.work.Attempt)
}

func (g *Gate) refuse(attempt string, r *sardinerock.Refusal) {
	g.actions = append(g.actions, sardinerock.GateAction{Kind: sardinerock.GateRefuse, Attempt: attempt, Refusal: r})
}

func (g *Gate) item(w sardinerock.Work) sched.Item {
	return sched.Item{
		ID: w.Attempt, Team: w.Team, Caller: w.Caller, Key: w.Key,
		TeamWeight: w.TeamWeight, Weight: w.Weight, Cost: g.estimate.Cost(w),
	}
}

func shutdownRefusal() *sardinerock.Refusal {
	return &sardinerock.Refusal{
		Code: sardinerock.CodeShuttingDown, Message: "the backend server is leaving the fleet",
		Outcome: sardinerock.OutcomeNotRun, RetryAfter: minRetryAfter,
	}
}

package adapt

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// defaultPrefillShare is the share of the engine's time for batch prompts while online work
	// decodes, unless the bundle sets one. Twice as much gives more batch throughput but longer
	// gaps between online tokens; the bundle sets which matters more in a deployment.
	defaultPrefillShare = 0.1
	// prefillBurst is the maximum of the budget that unused time adds up to.
	prefillBurst = 50 * time.Millisecond
	// defaultPrefillRate is the assumed rate, in prompt tokens per second, before the first observation.
	defaultPrefillRate = 5000
	// prefillPreemptMin is how much of a batch prompt may be unread when online work starts.
	// If more is unread, the prompt is preempted, because online work would wait for it.
	prefillPreemptMin = 20 * time.Millisecond
	// prefillRefundShare is the share of the unread rest that a preemption returns to the budget.
	// The remainder accounts for the delay that the cancelled prefill caused for other streams.
	prefillRefundShare = 0.5
	// minPrefillDivisor sets the least part of the time to first token that counts as prefill:
	// one part in this many.
	minPrefillDivisor = 10
	// minRateTokens is the length of the shortest prompt that is used to measure the rate.
	minRateTokens = 64
)

// Prefill limits batch prompts in two ways.
//
// Load pattern: long among short. A batch prompt of 8,000 tokens slows every stream of its
// engine for about a second, and the number of slots does not limit that, since it uses only
// one. So batch prompts have a budget while online work decodes. The budget is time rather
// than tokens. A prompt may start whenever the budget is positive, and may make it negative.
// So long prompts are spaced out, and none is blocked forever.
//
// Load pattern: burst after silence. Without online work to protect, batch prompts could fill
// all slots at once. A burst just after that would find 16 prompts, most of a second of work,
// queued ahead of it in the engine, and preemption removes only those it cancels. So only one
// batch prompt is unread at a time. That costs nothing, because the engine reads prompts one
// after another anyway.
type Prefill struct {
	budget     time.Duration
	refilledAt time.Time
	rate       average
	// unread counts batch streams without a first token.
	unread int
}

// Refill adds the time since the last call, times share, to the budget. A share of 0 means the default.
func (p *Prefill) Refill(now time.Time, share float64) {
	if share <= 0 {
		share = defaultPrefillShare
	}
	if p.refilledAt.IsZero() {
		p.budget = prefillBurst
	} else {
		p.budget = min(prefillBurst, p.budget+time.Duration(share*float64(now.Sub(p.refilledAt))))
	}
	p.refilledAt = now
}

// Allows reports whether a batch prompt may start.
func (p *Prefill) Allows(onlineRuns bool) bool {
	return p.unread == 0 && (!onlineRuns || p.budget > 0)
}

// Started charges a batch prompt to the budget. A prompt of 0 tokens needs no prefill.
func (p *Prefill) Started(promptTokens int) {
	if promptTokens > 0 {
		p.unread++
	}
	p.budget -= p.duration(promptTokens)
}

func (p *Prefill) duration(promptTokens int) time.Duration {
	rate := float64(defaultPrefillRate)
	if p.rate.known {
		rate = p.rate.value
	}
	return seconds(float64(promptTokens) / rate)
}

// Preempt reports whether so much of a batch prompt is unread that online work preempts it. If
// so, it returns part of that time to the budget.
func (p *Prefill) Preempt(promptTokens int, running time.Duration) bool {
	unread := p.duration(promptTokens) - running
	if unread <= prefillPreemptMin {
		return false
	}
	p.budget += time.Duration(prefillRefundShare * float64(unread))
	return true
}

// Finished ends the prefill of a batch stream, whether or not its first token came.
func (p *Prefill) Finished() { p.unread-- }

// ObserveFirstToken updates the rate. Queueing in the engine makes the rate look lower than it
// is, which only limits batch prompts more and so favors online work.
//
// The duration of one step, step, is subtracted from the time to first token, because the
// engine would have made that step for the other streams anyway. Without that, steps of 20 ms
// and prompts of 10 ms would give a third of the real rate. Only batch prompts count: online
// prompts share long prefixes, which the engine mostly has cached. Their rate would look many
// times higher, and no batch prompt would seem long enough to be preempted.
func (p *Prefill) ObserveFirstToken(s *Stream, d, step time.Duration) {
	if s.Work.Class == sardinerock.ClassBatch && s.Work.PromptTokens >= minRateTokens && d > 0 {
		p.rate.add(float64(s.Work.PromptTokens) / max(d-step, d/minPrefillDivisor).Seconds())
	}
}

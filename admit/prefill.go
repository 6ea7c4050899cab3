package admit

import "time"

const (
	// prefillShare is the part of the engine's time that batch prompts may take
	// while online work decodes: one in twenty, the harm that users accept.
	prefillShare = 0.05
	// prefillBurst is how much unused time batch prompts may save up.
	prefillBurst = 50 * time.Millisecond
	// prefillPace is the prompt tokens per second assumed until some were seen.
	prefillPace = 5000
)

// prefill bounds batch prompts while online work decodes.
//
// Load pattern: long among short. A batch prompt of 8,000 tokens stops every
// stream of its engine for a second or so; slots alone don't see it, as it
// takes only one. The budget is time, not tokens: a prompt may start whenever
// the budget isn't overdrawn, and then overdraws it by what it takes, so that
// long prompts are spaced out and none is shut out for good.
type prefill struct {
	budget time.Duration
	at     time.Time
	pace   average
}

func (p *prefill) refill(now time.Time) {
	if p.at.IsZero() {
		p.budget = prefillBurst
	} else {
		p.budget = min(prefillBurst, p.budget+time.Duration(prefillShare*float64(now.Sub(p.at))))
	}
	p.at = now
}

func (p *prefill) allows(promptTokens int, onlineRuns bool) bool {
	return !onlineRuns || p.budget > 0 || promptTokens == 0
}

func (p *prefill) started(s *stream) {
	p.budget -= p.takes(s.work.PromptTokens)
}

func (p *prefill) takes(promptTokens int) time.Duration {
	pace := float64(prefillPace)
	if p.pace.known {
		pace = p.pace.value
	}
	return seconds(float64(promptTokens) / pace)
}

func (p *prefill) finished(s *stream, d time.Duration) {
	if s.work.PromptTokens >= prefillPace/100 && d > 0 {
		p.pace.add(float64(s.work.PromptTokens) / d.Seconds())
	}
}

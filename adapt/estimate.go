package adapt

import (
	"math"
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// promptTokenCost is the cost of a prompt token relative to a generated one: engines read
	// the tokens of a prompt in parallel and generate tokens one by one.
	promptTokenCost = 0.1
	// maxWaitWithoutDeadline limits the wait of work that has no deadline.
	maxWaitWithoutDeadline = time.Minute
	// smoothing is the weight of a new observation. The mean reflects about the last twenty.
	smoothing = 0.1
	// serviceTimeDeviations is how many mean deviations are added to the mean service time when
	// planning, so that admitted work finishes before its deadline and not around it.
	serviceTimeDeviations = 3
)

// average is an exponentially smoothed mean with its mean absolute deviation, of seconds or ratios.
type average struct {
	value     float64
	deviation float64
	known     bool
}

func (a *average) add(x float64) {
	if !a.known {
		*a = average{value: x, known: true}
		return
	}
	d := x - a.value
	a.value += smoothing * d
	a.deviation += smoothing * (math.Abs(d) - a.deviation)
}

func (a *average) mean() time.Duration { return seconds(a.value) }

// upperBound returns a value that few observations exceed.
func (a *average) upperBound() float64 { return a.value + serviceTimeDeviations*a.deviation }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Estimate predicts from finished work how long work runs and how long it waits.
//
// Load pattern: saturation. Without an estimate, requests wait until their callers give up,
// the backend server works on answers that no caller reads, and at 3x load almost no answer
// is in time.
type Estimate struct {
	firstToken average
	// tokenGap is the mean time between the tokens of an answer. Single gaps are unsuitable: with 16
	// streams the last twenty gaps come from two steps of the engine, and the estimate would depend
	// on whether a prompt was read during them.
	tokenGap average
	// callTime is the duration of calls without tokens, to plain services.
	callTime average
	// usedShare is the share of MaxTokens that answers contain.
	usedShare average
	// slotRate is the cost served per second and slot.
	slotRate average
}

// FirstToken returns the mean time from the start of online work to its first token.
func (e *Estimate) FirstToken() time.Duration { return e.firstToken.mean() }

// TokenGap returns the mean time between the tokens of an answer.
func (e *Estimate) TokenGap() time.Duration { return e.tokenGap.mean() }

// ObserveFirstToken records the time from the start of s to its first token. Only online work counts.
func (e *Estimate) ObserveFirstToken(s *Stream, d time.Duration) {
	if s.Work.Class == sardinerock.ClassOnline {
		e.firstToken.add(d.Seconds())
	}
}

// ObserveDone records work that ran to its end.
func (e *Estimate) ObserveDone(now time.Time, s *Stream, sample sardinerock.GateSample) {
	if s.Work.MaxTokens > 0 {
		e.usedShare.add(min(1, float64(sample.CompletionTokens)/float64(s.Work.MaxTokens)))
	}
	if s.Work.MaxTokens == 0 {
		e.callTime.add(now.Sub(s.Started).Seconds())
	}
	if s.Tokens > 1 {
		e.tokenGap.add(s.LastToken.Sub(s.FirstToken).Seconds() / float64(s.Tokens-1))
	}
	if d := now.Sub(s.Started).Seconds(); d > 0 {
		e.slotRate.add(e.ActualCost(sample) / d)
	}
}

// Cost returns the expected cost of work, in generated tokens.
func (e *Estimate) Cost(w sardinerock.Work) float64 {
	share := 1.0
	if e.usedShare.known {
		share = e.usedShare.value
	}
	return max(1, promptTokenCost*float64(w.PromptTokens)+share*float64(w.MaxTokens))
}

// ActualCost returns the cost of finished work, in generated tokens.
func (e *Estimate) ActualCost(s sardinerock.GateSample) float64 {
	return max(1, promptTokenCost*float64(s.PromptTokens)+float64(s.CompletionTokens))
}

// Wait returns how long serving the given cost takes with the given number of slots, or 0 while that is unknown.
func (e *Estimate) Wait(cost float64, slots int) time.Duration {
	if !e.slotRate.known || e.slotRate.value <= 0 {
		return 0
	}
	return seconds(cost / (e.slotRate.value * float64(slots)))
}

// LatestStart returns when work has to start to meet its deadline.
func (e *Estimate) LatestStart(now time.Time, w sardinerock.Work) time.Time {
	if w.Deadline.IsZero() {
		return now.Add(maxWaitWithoutDeadline)
	}
	if w.MaxTokens == 0 {
		return w.Deadline.Add(-seconds(e.callTime.upperBound()))
	}
	share := 1.0
	if e.usedShare.known {
		share = min(1, e.usedShare.upperBound())
	}
	serviceTime := e.firstToken.upperBound() + share*float64(w.MaxTokens)*e.tokenGap.upperBound()
	return w.Deadline.Add(-seconds(serviceTime))
}

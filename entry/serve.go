package entry

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/retry"
)

// Serve implements sardinerock.OnlineServer.
func (e *Entry) Serve(ctx context.Context, r *sardinerock.Request, emit func(sardinerock.Token) error) (sardinerock.Result, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	estimate := r.PromptTokens + r.MaxTokens
	if refusal := e.admit(r, estimate); refusal != nil {
		e.Events.Info(event.RequestRefused).Str("request", r.ID).Str("caller", r.Caller).Str("code", string(refusal.Code)).Msg(refusal.Message)
		return sardinerock.Result{}, refusal
	}
	x := &execution{entry: e, request: r, emit: emit, outcome: sardinerock.OutcomeNotRun}
	result, refusal := x.run(ctx)
	used := estimate
	if refusal == nil && r.Service == "" {
		used = result.PromptTokens + result.CompletionTokens
	}
	e.mu.Lock()
	e.limiter.Finished(time.Now(), r.Caller, estimate, used)
	e.mu.Unlock()
	if refusal != nil {
		return result, refusal
	}
	return result, nil
}

// admit checks a request against the caller's limits and the requests known to crash
// backend servers; nil means admitted.
func (e *Entry) admit(r *sardinerock.Request, estimate int) *sardinerock.Refusal {
	now := time.Now()
	current := e.configManager.Current()
	if current == nil {
		return &sardinerock.Refusal{
			Code: sardinerock.CodeNotReady, Message: "no configuration is in force yet",
			Outcome: sardinerock.OutcomeNotRun, RetryAfter: time.Second,
		}
	}
	if e.sides.Check(r.Fingerprint) == retry.Blocked {
		return retry.BlockedRefusal(sardinerock.OutcomeNotRun)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.limiter.Allow(now, r.Caller, e.callers.forSnapshot(current).limits(r.Caller), estimate); refusal != nil {
		return refusal
	}
	e.budget.Request(now)
	return nil
}

// execution is the state of one request across its attempts.
type execution struct {
	entry   *Entry
	request *sardinerock.Request
	emit    func(sardinerock.Token) error
	// delivered is the number of tokens that the caller has received, text their text.
	delivered int
	text      []byte
	// version is the model version of the last attempt.
	version  string
	tried    []string
	attempts int
	alone    bool
	// outcome is the worst of all attempts: once one may have run, "not run" is no longer reported.
	outcome sardinerock.Outcome
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (x *execution) run(ctx context.Context) (sardinerock.Result, *sardinerock.Refusal) {
	for {
		x.attempts++
		result, failure := x.attempt(ctx)
		if failure == nil {
			return result, nil
		}
		decision := x.decide(failure)
		if decision.Action == retry.GiveUp {
			x.entry.Events.Info(event.RetryDenied).Str("request", x.request.ID).Str("reason", decision.Reason).
				Str("code", string(decision.Refusal.Code)).Int("attempts", x.attempts).Msg("request failed; no further attempt")
			return result, decision.Refusal
		}
		id := event.Retried
		if decision.Action == retry.Resume {
			id = event.StreamResumed
		}
		x.entry.Events.Info(id).Str("request", x.request.ID).Str("reason", decision.Reason).Str("code", string(failure.refusal.Code)).
			Int("delivered", x.delivered).Int("attempts", x.attempts).Bool("alone", decision.Alone).Msg("attempt failed; retrying")
		x.alone = decision.Alone
		sleep(ctx, decision.Delay)
	}
}

// decide returns whether a failed attempt is retried, resumed or final.
func (x *execution) decide(f *failure) retry.Decision {
	now := time.Now()
	x.outcome = worseOutcome(x.outcome, f.refusal.Outcome)
	refusal := *f.refusal
	refusal.Outcome = x.outcome
	e := x.entry
	verdict := e.sides.Check(x.request.Fingerprint)
	e.mu.Lock()
	defer e.mu.Unlock()
	return retry.Decide(now, retry.Failure{
		Refusal:    &refusal,
		Idempotent: x.request.Idempotent,
		Delivered:  x.delivered,
		Resumable:  x.request.Service == "",
		Attempts:   x.attempts,
		Remaining:  time.Until(x.request.Deadline),
		Verdict:    verdict,
	}, &e.budget)
}

// worseOutcome returns the worse of two outcomes; from worst to best: ran, unknown, not run.
func worseOutcome(a, b sardinerock.Outcome) sardinerock.Outcome {
	for _, o := range []sardinerock.Outcome{sardinerock.OutcomeRan, sardinerock.OutcomeUnknown} {
		if a == o || b == o {
			return o
		}
	}
	return sardinerock.OutcomeNotRun
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

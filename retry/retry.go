package retry

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// maxAttempts bounds the attempts at one request. If one backend server in ten
	// fails, five attempts in a row fail once in 100,000 requests.
	maxAttempts = 5
	// minRemaining is the least time to the deadline for which another attempt is made.
	minRemaining = 50 * time.Millisecond
	// baseDelay and maxDelay bound the backoff after a refusal for overload or for
	// lack of a ready backend server.
	baseDelay = 20 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
	// giveUpRetryAfter is the retry delay for the caller of a request that was given
	// up, unless the refusal has one.
	giveUpRetryAfter = 2 * time.Second
)

// Failure describes an attempt that ended without an answer, and its request.
type Failure struct {
	// Refusal is how the attempt ended.
	Refusal *sardinerock.Refusal
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// Delivered is the number of tokens sent to the caller so far; Resumable says
	// that another backend server can continue after them.
	Delivered int
	Resumable bool
	// Attempts counts the attempts so far, this one included.
	Attempts int
	// Remaining is the time until the caller gives up.
	Remaining time.Duration
	// Verdict is the current result of Suspects.Check for the request.
	Verdict Verdict
}

// Action is what to do after a failed attempt.
type Action int

// The actions.
const (
	// GiveUp returns Decision.Refusal to the caller.
	GiveUp Action = iota
	// Rerun runs the whole request on another backend server.
	Rerun
	// Resume continues after the delivered tokens on another backend server.
	Resume
)

// Decision says what to do and why.
type Decision struct {
	Action Action
	// Alone asks for a backend server with nothing else in flight.
	Alone bool
	// Delay is how long to wait first.
	Delay time.Duration
	// Reason is for the log record.
	Reason string
	// Refusal is set for GiveUp.
	Refusal *sardinerock.Refusal
}

// Decide says whether another attempt follows a failed one. A retry that costs a
// backend server work is taken from the budget.
//
// Failure: a connection fails and it is unknown whether the request ran. If it
// were always retried, a request that is not idempotent could run twice; if it
// never were, each lost backend server would cut off all answers in progress.
// The outcome decides: notRun is proved and may always be retried; ran and
// unknown only if the request is idempotent; after delivered tokens only by
// resuming. When the request is given up, the refusal carries the true outcome:
// notRun only if neither this attempt nor any before it ran. For this the entry
// puts the worst outcome of all attempts into Failure.Refusal.Outcome.
func Decide(now time.Time, f Failure, b *Budget) Decision {
	r := f.Refusal
	switch {
	case f.Verdict == Blocked:
		return giveUp("guilty", BlockedRefusal(r.Outcome))
	case isFinal(r.Code):
		return giveUp("final", r)
	case r.Outcome != sardinerock.OutcomeNotRun && !f.Idempotent:
		return giveUp("nonIdempotent", r)
	case f.Delivered > 0 && !f.Resumable:
		return giveUp("notResumable", r)
	case f.Attempts >= maxAttempts:
		return giveUp("attempts", withRetryAfter(r))
	case f.Remaining < minRemaining:
		return giveUp("deadline", withRetryAfter(r))
	}
	d := Decision{Action: Rerun, Reason: "again", Alone: f.Verdict == Suspect}
	if f.Delivered > 0 {
		d.Action, d.Reason = Resume, "resume"
	}
	if needsDelay(r.Code) {
		d.Delay = min(baseDelay<<(f.Attempts-1), maxDelay, f.Remaining/4)
	}
	if notCharged(r) {
		return d
	}
	if !b.Spend(now) {
		return giveUp("budget", withRetryAfter(r))
	}
	return d
}

// notCharged reports whether a retry is free of the budget: the work was returned
// by a draining backend server before it ran, or found no connection. It costs no
// backend server anything and occurs in bulk, when instances are replaced or all
// links are down for a moment. maxAttempts bounds such retries.
func notCharged(r *sardinerock.Refusal) bool {
	switch r.Code {
	case sardinerock.CodeNoBackend:
		return true
	case sardinerock.CodeShuttingDown, sardinerock.CodeBackendLost:
		return r.Outcome == sardinerock.OutcomeNotRun
	default:
		return false
	}
}

// needsDelay reports whether a retry waits first. Without a delay five attempts
// would be used up within a millisecond, before anything has changed.
func needsDelay(c sardinerock.Code) bool {
	return c == sardinerock.CodeOverloaded || c == sardinerock.CodeNoBackend || c == sardinerock.CodeNotReady
}

// isFinal reports whether every other backend server would refuse the request too.
func isFinal(c sardinerock.Code) bool {
	switch c {
	case sardinerock.CodeOverloaded, sardinerock.CodeBackendLost, sardinerock.CodeShuttingDown,
		sardinerock.CodeNoBackend, sardinerock.CodeNotReady, sardinerock.CodeInternal, sardinerock.CodeModelNotFound:
		return false
	}
	return true
}

func giveUp(reason string, r *sardinerock.Refusal) Decision {
	return Decision{Action: GiveUp, Reason: reason, Refusal: r}
}

// withRetryAfter returns a copy of the refusal with a retry delay.
func withRetryAfter(r *sardinerock.Refusal) *sardinerock.Refusal {
	c := *r
	if c.RetryAfter == 0 {
		c.RetryAfter = giveUpRetryAfter
	}
	return &c
}

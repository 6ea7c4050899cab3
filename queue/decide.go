package queue

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// minNotRunWait and maxNotRunWait bound the wait of an item that was not run.
	// The wait doubles with each refusal, so that retries of thousands of items
	// that can't run leave capacity to those that can.
	minNotRunWait = 200 * time.Millisecond
	maxNotRunWait = 30 * time.Second
	// maxOverloadedWait bounds the wait after the gate had no free slot. Slots
	// become free continually as online work varies; with waits of half a minute
	// after seven such refusals they would stay idle.
	maxOverloadedWait = 2 * time.Second
	// failedWait times the number of failed attempts is the wait after a failure;
	// it delays the next crash if the item crashes backend servers.
	failedWait = 2 * time.Second
	// lateRetryPeriod is how long after its due time an item that is not run is
	// still retried. Late results are useful, but a model that stays unavailable
	// must not keep a job open forever.
	lateRetryPeriod = 24 * time.Hour
)

// Attempts describes the attempts at an item up to the last refusal.
type Attempts struct {
	// Failed is the number of earlier counted failures, as stored in the log.
	Failed uint32
	// NotRun is the number of refusals as not run in this process, including the last.
	NotRun int
	Due    time.Time
	Now    time.Time
	// Max is the number of counted failures at which the item fails.
	Max uint32
}

// Decision says what happens to an item after a refusal.
type Decision struct {
	// Retry says that the item is retried after Wait; otherwise it fails for good.
	Retry bool
	Wait  time.Duration
	// CountAttempt says that the attempt counts towards Attempts.Max.
	CountAttempt bool
}

// Decide chooses by the code and outcome of the refusal.
//
//   - The item is invalid: it fails at once.
//   - The attempt ran without a result, or may have run: it counts, and the item
//     fails after a bounded number of such attempts. This stops items that crash
//     one backend server after another.
//   - The item found no slot, was preempted or was returned by a draining backend
//     server: this is not the item's fault and does not count. Bursts of online
//     work preempt items repeatedly; if that counted, a busy day would fail
//     whole jobs.
func Decide(r *sardinerock.Refusal, a Attempts) Decision {
	switch r.Code {
	case sardinerock.CodeInvalidRequest, sardinerock.CodeBodyTooLarge, sardinerock.CodeUnauthorized,
		sardinerock.CodeForbidden, sardinerock.CodeNotFound, sardinerock.CodeModelNotFound, sardinerock.CodeConflict:
		return Decision{}
	case sardinerock.CodeBackendLost, sardinerock.CodeInternal, sardinerock.CodeDeadline, sardinerock.CodeCrashSuspect:
		if r.Outcome == sardinerock.OutcomeNotRun && r.Code != sardinerock.CodeCrashSuspect {
			return notCounted(r, a)
		}
		if a.Failed+1 >= a.Max {
			return Decision{CountAttempt: true}
		}
		return Decision{Retry: true, CountAttempt: true, Wait: max(r.RetryAfter, failedWait*time.Duration(a.Failed+1))}
	default:
		return notCounted(r, a)
	}
}

func notCounted(r *sardinerock.Refusal, a Attempts) Decision {
	if !a.Due.IsZero() && a.Now.After(a.Due.Add(lateRetryPeriod)) {
		return Decision{}
	}
	if r.Code == sardinerock.CodePreempted {
		// Another backend server may have an idle slot.
		return Decision{Retry: true, Wait: max(minNotRunWait, r.RetryAfter)}
	}
	wait := maxNotRunWait
	if a.NotRun < 8 {
		wait = minNotRunWait << max(a.NotRun-1, 0)
	}
	if r.Code == sardinerock.CodeOverloaded {
		wait = min(wait, maxOverloadedWait)
	}
	return Decision{Retry: true, Wait: min(max(wait, r.RetryAfter), maxNotRunWait)}
}

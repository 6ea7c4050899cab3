package queue

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// notRunWaitFirst and notRunWaitMost bound the wait of an item that found no
	// room: it doubles, so that thousands of items that can't run don't crowd out those that can.
	notRunWaitFirst = 200 * time.Millisecond
	notRunWaitMost  = 30 * time.Second
	// overloadedWaitMost bounds the wait after a full gate. Slots come free all the
	// time while online work comes and goes; an item that waits half a minute for
	// having met a full gate seven times leaves them idle.
	overloadedWaitMost = 2 * time.Second
	// failedWait grows with each failed attempt: a crash must not follow a crash at once.
	failedWait = 2 * time.Second
	// lateGrace is how long after its due time an item that nobody will run is
	// still tried. Late letters are worth more than none, but a model that never comes back must not keep a job open for good.
	lateGrace = 24 * time.Hour
)

// Attempts is what is known of an item's tries when the last was refused.
type Attempts struct {
	// Failed counts those before that failed by the item's own doing; the log has it.
	Failed uint32
	// NotRun counts the refusals in this process, the last one among them.
	NotRun int
	Due    time.Time
	Now    time.Time
	// Most bounds the failed attempts.
	Most uint32
}

// Verdict is what happens to an item after a refusal.
type Verdict struct {
	// Again says that the item is tried again after Wait; otherwise it ends as failed.
	Again bool
	Wait  time.Duration
	// Counts says that the attempt counts against the item.
	Counts bool
}

// Judge decides by the class of the error.
//
//   - The item itself is at fault and always will be: it fails at once.
//   - The attempt ran and came to nothing, or may have: it counts, and the item
//     fails after a bounded number. Items that crash backend servers end here,
//     or each would take down one after the other.
//   - The item found no room, was preempted or handed back: that says nothing
//     about the item and doesn't count. Bursts of online work preempt items
//     again and again; with these counted a busy day would fail whole jobs.
func Judge(r *sardinerock.Refusal, a Attempts) Verdict {
	switch r.Code {
	case sardinerock.CodeInvalidRequest, sardinerock.CodeBodyTooLarge, sardinerock.CodeUnauthorized,
		sardinerock.CodeForbidden, sardinerock.CodeNotFound, sardinerock.CodeModelNotFound, sardinerock.CodeConflict:
		return Verdict{}
	case sardinerock.CodeBackendLost, sardinerock.CodeInternal, sardinerock.CodeDeadline, sardinerock.CodeCrashSuspect:
		if r.Outcome == sardinerock.OutcomeNotRun && r.Code != sardinerock.CodeCrashSuspect {
			return notCounted(r, a)
		}
		if a.Failed+1 >= a.Most {
			return Verdict{Counts: true}
		}
		return Verdict{Again: true, Counts: true, Wait: max(r.RetryAfter, failedWait*time.Duration(a.Failed+1))}
	default:
		return notCounted(r, a)
	}
}

func notCounted(r *sardinerock.Refusal, a Attempts) Verdict {
	if !a.Due.IsZero() && a.Now.After(a.Due.Add(lateGrace)) {
		return Verdict{}
	}
	if r.Code == sardinerock.CodePreempted {
		// Another backend server may be idle at once.
		return Verdict{Again: true, Wait: max(notRunWaitFirst, r.RetryAfter)}
	}
	wait := notRunWaitMost
	if a.NotRun < 8 {
		wait = notRunWaitFirst << max(a.NotRun-1, 0)
	}
	if r.Code == sardinerock.CodeOverloaded {
		wait = min(wait, overloadedWaitMost)
	}
	return Verdict{Again: true, Wait: min(max(wait, r.RetryAfter), notRunWaitMost)}
}

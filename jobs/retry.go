package jobs

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	defaultMaxAttempts = 3
	// readRetryWait is how long an item waits whose input can't be read from the log.
	readRetryWait = time.Second
	// notRunWaitFirst and notRunWaitMost bound the wait of an item that found no
	// room: it doubles, so that thousands of items that can't run don't crowd out those that can.
	notRunWaitFirst = 200 * time.Millisecond
	notRunWaitMost  = 30 * time.Second
	// failedWait grows with each failed attempt: a crash must not follow a crash at once.
	failedWait = 2 * time.Second
	// lateGrace is how long after its due time an item that nobody will run is
	// still tried. Late letters are worth more than none, but a model that never comes back must not keep a job open for good.
	lateGrace = 24 * time.Hour
)

// attempts is what is known of an item's tries when the last was refused.
type attempts struct {
	// failed counts those before that failed by the item's own doing; the log has it.
	failed uint32
	// notRun counts the refusals in this process, the last one among them.
	notRun int
	due    time.Time
	now    time.Time
	// most bounds the failed attempts.
	most uint32
}

// verdict is what happens to an item after a refusal.
type verdict struct {
	// again says that the item is tried again after wait; otherwise it ends as failed.
	again bool
	wait  time.Duration
	// counts says that the attempt counts against the item.
	counts bool
}

// judge decides by the class of the error.
//
//   - The item itself is at fault and always will be: it fails at once.
//   - The attempt ran and came to nothing, or may have: it counts, and the item
//     fails after a bounded number. Items that crash backend servers end here,
//     or each would take down one after the other.
//   - The item found no room, was preempted or handed back: that says nothing
//     about the item and doesn't count. Bursts of online work preempt items
//     again and again; with these counted a busy day would fail whole jobs.
func judge(r *sardinerock.Refusal, a attempts) verdict {
	switch r.Code {
	case sardinerock.CodeInvalidRequest, sardinerock.CodeBodyTooLarge, sardinerock.CodeUnauthorized,
		sardinerock.CodeForbidden, sardinerock.CodeNotFound, sardinerock.CodeModelNotFound, sardinerock.CodeConflict:
		return verdict{}
	case sardinerock.CodeBackendLost, sardinerock.CodeInternal, sardinerock.CodeDeadline, sardinerock.CodeCrashSuspect:
		if r.Outcome == sardinerock.OutcomeNotRun && r.Code != sardinerock.CodeCrashSuspect {
			return notCounted(r, a)
		}
		if a.failed+1 >= a.most {
			return verdict{counts: true}
		}
		return verdict{again: true, counts: true, wait: max(r.RetryAfter, failedWait*time.Duration(a.failed+1))}
	default:
		return notCounted(r, a)
	}
}

func notCounted(r *sardinerock.Refusal, a attempts) verdict {
	if !a.due.IsZero() && a.now.After(a.due.Add(lateGrace)) {
		return verdict{}
	}
	if r.Code == sardinerock.CodePreempted {
		// Another backend server may be idle at once.
		return verdict{again: true, wait: max(notRunWaitFirst, r.RetryAfter)}
	}
	wait := notRunWaitMost
	if a.notRun < 8 {
		wait = notRunWaitFirst << max(a.notRun-1, 0)
	}
	return verdict{again: true, wait: min(max(wait, r.RetryAfter), notRunWaitMost)}
}

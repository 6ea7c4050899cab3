package reject

import (
	"errors"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/stream"
)

const (
	// logRetryAfter is the retry delay sent to callers during an outage of the log.
	logRetryAfter = 5 * time.Second
	// readRetryAfter is the delay before the retry of an item whose input can't be read from the log.
	readRetryAfter = time.Second
)

// LogUnavailable returns the refusal of a call that failed because of the log, with its outcome.
func LogUnavailable(o sardinerock.Outcome, message string) *sardinerock.Refusal {
	return &sardinerock.Refusal{Code: sardinerock.CodeLogUnavailable, Outcome: o, Message: message, RetryAfter: logRetryAfter}
}

// FailedAppend returns the refusal of a call whose record the log did not acknowledge. The outcome is
// "not run" only if err proves that the record was not appended. what names the record in the message.
func FailedAppend(err error, what string) *sardinerock.Refusal {
	if errors.Is(err, stream.ErrNotAppended) {
		return LogUnavailable(sardinerock.OutcomeNotRun, "the log did not take "+what)
	}
	return LogUnavailable(sardinerock.OutcomeUnknown, "the log did not say whether it took "+what+"; send it again with the same idempotency key")
}

// Invalid returns the refusal of an invalid request, which did not run.
func Invalid(message string) *sardinerock.Refusal {
	return &sardinerock.Refusal{Code: sardinerock.CodeInvalidRequest, Outcome: sardinerock.OutcomeNotRun, Message: message}
}

// FailedUpload returns the refusal of a job with an upload that failed before it was sealed. If err holds
// no refusal, the items were invalid: the job did not run.
func FailedUpload(err error) *sardinerock.Refusal {
	var r *sardinerock.Refusal
	if errors.As(err, &r) {
		return r
	}
	return Invalid("the items can't be read: " + err.Error())
}

// UnreadableInput returns the refusal of an item whose input can't be read. It can be retried unless
// the log no longer has the input.
func UnreadableInput(err error) *sardinerock.Refusal {
	if errors.Is(err, sardinerock.ErrLogGap) || errors.Is(err, sardinerock.ErrNotFound) {
		return &sardinerock.Refusal{Code: sardinerock.CodeInternal, Message: "the log no longer has the item's input"}
	}
	return &sardinerock.Refusal{Code: sardinerock.CodeLogUnavailable, Outcome: sardinerock.OutcomeNotRun, Message: err.Error(), RetryAfter: readRetryAfter}
}

// Conflict returns the refusal of a job with an idempotency key that was used for another job.
func Conflict() *sardinerock.Refusal {
	return &sardinerock.Refusal{
		Code: sardinerock.CodeConflict, Outcome: sardinerock.OutcomeNotRun, Param: "Idempotency-Key",
		Message: "the idempotency key was used for other content; take a new key for a new job",
	}
}

// NotFound returns the refusal of a call on a job that doesn't exist or belongs to another caller.
func NotFound(id string) *sardinerock.Refusal {
	return &sardinerock.Refusal{Code: sardinerock.CodeNotFound, Outcome: sardinerock.OutcomeNotRun, Message: "no job " + id}
}

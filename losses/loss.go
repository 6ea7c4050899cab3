package losses

import (
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock/audit"
	"github.com/sardinerock/sardinerock/event"
)

// Kind is the way in which a request, item or job failed its caller.
type Kind string

// The kinds of losses.
const (
	// Late is a complete answer that missed its route's target for latency or for pauses.
	Late Kind = "late"
	// Refused is a request or job that was rejected without having run.
	Refused Kind = "refused"
	// Failed is a request that may have run and got no complete answer.
	Failed Kind = "failed"
	// Left is a request whose caller disconnected before the answer was complete.
	Left Kind = "left"
	// Lost is a request without a logged outcome, as when its entry was killed.
	Lost Kind = "lost"
	// ItemLate is an item of a batch job that was completed after its due time.
	ItemLate Kind = "itemLate"
	// ItemFailed is an item that was given up without a result.
	ItemFailed Kind = "itemFailed"
	// JobLate is a batch job that was accepted later than its route's latency target.
	JobLate Kind = "jobLate"
)

// Loss is one request, item or job that was late, refused or failed.
type Loss struct {
	Kind Kind
	// Cause is one of the causes below, or the reason or error of the log line.
	Cause string
	// Route is empty if the line doesn't name it.
	Route   string
	Process string
	At      time.Time
	// Lateness is how long after its target or due time it came; 0 if nothing came, and for
	// JobLate, of which the log line doesn't say it.
	Lateness time.Duration
	// ID is the id of the request, item or job.
	ID string
}

// The causes that are derived from how a request or item spent its time, and those of
// lines that name none. docs/OPERATIONS.md says what to do about some of them.
const (
	causeSlotOnline    = "waited for a slot, all taken by online work"
	causeSlotBatch     = "waited for a slot that batch work held"
	causeSlotHeadroom  = "waited for a slot, the free ones were kept for requests that could still be on time"
	causeSlotRights    = "waited for a slot, this entry had no right to the free ones"
	causeReserving     = "waited for a backend server to reserve a slot"
	causeRetried       = "retried after a failed attempt"
	causeSlow          = "the backend server was slow to begin"
	causePause         = "a long pause between two events"
	causeCallerRetried = "retried by its caller after an earlier attempt without an answer"
	causeQueued        = "waited for a slot for most of its time"
	causePreempted     = "was preempted by online work"
	causeLongRun       = "ran for most of its time"
	causeStore         = "waited for the store to take its result"
	causeTakenOver     = "was taken over from another entry"
	causeEntryLost     = "its entry was lost with it"
	causeNoOutcome     = "no log line says how it ended"
	causeQuota         = "its team's quota was used up"
	causeSlowAccept    = "the store was slow to accept it"
	causeUnknown       = "the log line doesn't say"
)

// lossOf returns the loss that a line reports, and whether it reports one.
func lossOf(l *audit.Line) (Loss, bool) {
	loss := Loss{Process: l.Process, At: l.Time, Route: text(l, "route"), ID: lineID(l)}
	switch l.Event {
	case event.RequestServed:
		if l.Fields["late"] != true {
			return loss, false
		}
		loss.Kind, loss.Cause, loss.Lateness = Late, longestDelay(l), lateness(l)
	case event.RequestRefused:
		loss.Kind, loss.Cause = Failed, text(l, "reason")
		switch status := int(number(l, "status")); {
		case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
			loss.Kind = Refused
		case status/100 == 4:
			// The caller's request was invalid.
			return loss, false
		}
	case event.OverQuota:
		loss.Kind, loss.Cause = Refused, causeQuota
	case event.AnswerBroken:
		loss.Kind, loss.Cause = Failed, text(l, "error")
	case event.CallerLeft:
		loss.Kind, loss.Cause = Left, longestDelay(l)
	case event.JobAccepted:
		if l.Fields["late"] != true {
			return loss, false
		}
		loss.Kind, loss.Cause = JobLate, causeSlowAccept
	case event.ItemRecorded:
		return itemLoss(l, loss)
	default:
		return loss, false
	}
	return loss, true
}

// itemLoss completes the loss that the line of an item's result reports, and says whether
// it reports one. Only a recorded result counts: verdict 0 (ledger.Applied) and no error.
func itemLoss(l *audit.Line, loss Loss) (Loss, bool) {
	if number(l, "verdict") != 0 || l.Fields["error"] != nil {
		return loss, false
	}
	if l.Fields["succeeded"] != true {
		loss.Kind, loss.Cause = ItemFailed, text(l, "reason")
		return loss, true
	}
	late := millis(l, "late")
	if late <= 0 {
		return loss, false
	}
	loss.Kind, loss.Lateness, loss.Cause = ItemLate, late, itemCause(l)
	return loss, true
}

// itemCause returns the cause for which a late item spent most of its time.
func itemCause(l *audit.Line) string {
	ran, recording := millis(l, "ran"), millis(l, "recording")
	waited := millis(l, "age") - ran - recording
	switch {
	case recording > waited && recording > ran:
		return causeStore
	case number(l, "runs") == 0:
		return causeUnknown
	case l.Fields["resumed"] == true && waited > ran:
		return causeTakenOver
	case ran > waited:
		return causeLongRun
	case number(l, "gaveWay") > 0:
		return causePreempted
	}
	return causeQueued
}

// longestDelay returns the cause for which a request spent most of its time.
func longestDelay(l *audit.Line) string {
	parts := []struct {
		cause string
		took  time.Duration
	}{
		{causeSlow, millis(l, "toFirst")},
		{queueCause(l), millis(l, "inLine")},
		{causeReserving, millis(l, "reserving")},
		{causeRetried, millis(l, "lostTries")},
		{causeCallerRetried, millis(l, "before")},
		{causePause, millis(l, "longestPause")},
	}
	longest := parts[0]
	for _, p := range parts[1:] {
		if p.took > longest.took {
			longest = p
		}
	}
	if longest.took == 0 {
		return causeUnknown
	}
	return longest.cause
}

// queueCause returns the cause of the time that a request spent in the queue for a slot.
func queueCause(l *audit.Line) string {
	switch text(l, "behind") {
	case "batch":
		return causeSlotBatch
	case "fresh":
		return causeSlotHeadroom
	case "rights":
		return causeSlotRights
	}
	return causeSlotOnline
}

// lateness returns by how much an answer missed its targets: the excess of the time to its
// first byte, earlier attempts of the caller included, or of its longest pause, whichever is larger.
func lateness(l *audit.Line) time.Duration {
	waited := millis(l, "before") + millis(l, "first")
	return max(waited-millis(l, "target"), millis(l, "longestPause")-millis(l, "pause"), 0)
}

func text(l *audit.Line, name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

func number(l *audit.Line, name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

func millis(l *audit.Line, name string) time.Duration {
	return time.Duration(number(l, name) * float64(time.Millisecond))
}

// lineID returns the id of the request, item or job that a line names, or "".
func lineID(l *audit.Line) string {
	for _, name := range []string{"request", "item", "job"} {
		if s := text(l, name); s != "" {
			return s
		}
	}
	return ""
}

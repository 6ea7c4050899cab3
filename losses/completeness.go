package losses

import (
	"fmt"
	"time"

	"github.com/sardinerock/sardinerock/audit"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// inFlightTime is the time before the end of the logs in which a request without an
	// outcome counts as in flight, not as lost. Most requests end within the five seconds
	// that their callers wait.
	inFlightTime = 6 * time.Second
	// maxGap is the longest time without any line in the logs of one run. Entries log
	// something every few seconds.
	maxGap = 2 * time.Minute
	// clockTolerance is the clock difference up to which no problem is reported. Other
	// entries learn of a job some tenths of a second after it was accepted.
	clockTolerance = 300 * time.Millisecond
)

// unfinished returns a loss for each request that was sent to a backend server and has no
// line with its outcome.
func unfinished(lines []audit.Line) []Loss {
	if len(lines) == 0 {
		return nil
	}
	type request struct {
		line  *audit.Line
		ended bool
	}
	requests := map[string]*request{}
	var order []string
	starts := map[string][]time.Time{}
	for n := range lines {
		l := &lines[n]
		if l.Event == event.Started {
			starts[l.Process] = append(starts[l.Process], l.Time)
		}
		id := text(l, "request")
		if id == "" {
			continue
		}
		switch l.Event {
		case event.RouteChosen:
			if requests[id] == nil {
				requests[id] = &request{line: l}
				order = append(order, id)
			}
		case event.RequestServed, event.RequestRefused, event.CallerLeft, event.AnswerBroken:
			if requests[id] != nil {
				requests[id].ended = true
			}
		}
	}
	end := lines[len(lines)-1].Time.Add(-inFlightTime)
	var all []Loss
	for _, id := range order {
		r := requests[id]
		restarted := startedAfter(starts[r.line.Process], r.line.Time)
		if r.ended || !restarted && r.line.Time.After(end) {
			continue
		}
		cause := causeNoOutcome
		if restarted {
			cause = causeEntryLost
		}
		all = append(all, Loss{
			Kind: Lost, Cause: cause, Route: text(r.line, "route"), Process: r.line.Process, At: r.line.Time, ID: id,
		})
	}
	return all
}

func startedAfter(starts []time.Time, at time.Time) bool {
	for _, s := range starts {
		if s.After(at) {
			return true
		}
	}
	return false
}

// gaps returns a problem for each time without any line that is longer than maxGap, since
// the logs may then be those of several runs.
func gaps(lines []audit.Line) []audit.Problem {
	var problems []audit.Problem
	for n := 1; n < len(lines); n++ {
		if gap := lines[n].Time.Sub(lines[n-1].Time); gap > maxGap {
			problems = append(problems, audit.Problem{File: "all", What: fmt.Sprintf("no log line for %.0f s from %s on; the logs may be of several runs, and all are counted",
				gap.Seconds(), lines[n-1].Time.UTC().Format(time.RFC3339))})
		}
	}
	return problems
}

// skews returns a problem for each pair of processes whose clocks differ: according to the
// logs, one started an item of a job before the other had accepted the job. The problem
// names the largest difference of the pair.
func skews(lines []audit.Line) []audit.Problem {
	type pair struct{ behind, ahead string }
	accepted := map[string]*audit.Line{}
	for n := range lines {
		if l := &lines[n]; l.Event == event.JobAccepted && accepted[text(l, "job")] == nil {
			accepted[text(l, "job")] = l
		}
	}
	largest := map[pair]time.Duration{}
	var order []pair
	for n := range lines {
		l := &lines[n]
		a := accepted[text(l, "job")]
		if l.Event != event.ItemStarted || a == nil || a.Process == l.Process {
			continue
		}
		p := pair{l.Process, a.Process}
		if skew := a.Time.Sub(l.Time); skew > clockTolerance && skew > largest[p] {
			if largest[p] == 0 {
				order = append(order, p)
			}
			largest[p] = skew
		}
	}
	var problems []audit.Problem
	for _, p := range order {
		problems = append(problems, audit.Problem{File: "all", What: fmt.Sprintf(
			"the clock of %s is at least %.1f s behind that of %s: their losses by second can't be compared", p.behind, largest[p].Seconds(), p.ahead)})
	}
	return problems
}

package blame

import (
	"slices"
	"time"
)

// blockTimes is how long requests are rejected after the latest failure, by the number of failed trials. The first time
// is short, since a wrong verdict lasts as long.
var blockTimes = []time.Duration{5 * time.Second, time.Minute, 5 * time.Minute, retention}

// verdict says that one of its causes ends backend servers.
type verdict struct {
	// causes are sorted. Several can't be distinguished: no run failed that had only some of them.
	causes []Cause
	// latest is the time of the latest failure.
	latest time.Time
	// trials is the number of trials that failed.
	trials int
	// trialUntil is until when no second trial is sent here.
	trialUntil time.Time
	// runs and servers are the numbers of failed runs one after the other and of backend servers behind the verdict.
	runs, servers int
	// saved is the number of trials on record, and savedHere set if this entry has written it.
	saved     int
	savedHere bool
}

// blockedFor returns how long a request with all causes must not be sent; 0 if it may be, as a trial. Live entries
// take turns, each for one slice of time, since the same parts come to all of them.
func (t *Tracker) blockedFor(v *verdict, now time.Time) time.Duration {
	due := v.latest.Add(blockTimes[min(v.trials, len(blockTimes)-1)])
	if now.Before(due) {
		return due.Sub(now)
	}
	if now.Before(v.trialUntil) {
		return v.trialUntil.Sub(now)
	}
	slice := trialSlice + 2*t.viewAge()
	if t.Rank != nil {
		due = due.Add(time.Duration(t.Rank(v.causes[0])) * slice)
	}
	return max(due.Sub(now), 0)
}

// verdictOn returns the verdict on exactly these causes, or nil.
func (t *Tracker) verdictOn(causes []Cause) *verdict {
	for _, v := range t.verdicts {
		if slices.Equal(v.causes, causes) {
			return v
		}
	}
	return nil
}

// adopt adds a verdict, unless there is one on some of the causes already; then it returns false. It replaces verdicts on more
// causes.
func (t *Tracker) adopt(v *verdict, from string) bool {
	for _, other := range t.verdicts {
		if properSubset(other.causes, v.causes) {
			return false
		}
	}
	t.verdicts = slices.DeleteFunc(t.verdicts, func(other *verdict) bool {
		if !properSubset(v.causes, other.causes) {
			return false
		}
		if other.savedHere {
			t.discard(other)
		}
		v.trials = max(v.trials, other.trials)
		if other.latest.After(v.latest) {
			v.latest = other.latest
		}
		return true
	})
	if len(t.verdicts) == maxVerdicts {
		t.verdicts = slices.Delete(t.verdicts, 0, 1)
	}
	t.verdicts = append(t.verdicts, v)
	t.changed(Change{Kind: Blamed, Causes: v.causes, Runs: v.runs, Servers: v.servers, Trials: v.trials, From: from})
	return true
}

// ChangeKind is what has changed about causes.
type ChangeKind string

// The kinds of changes.
const (
	// Blamed means that one of the causes ends backend servers.
	Blamed ChangeKind = "blamed"
	// TrialSent means that a request with the causes is sent as a trial.
	TrialSent ChangeKind = "trialSent"
	// TrialFailed means that a trial ended its backend server.
	TrialFailed ChangeKind = "trialFailed"
	// Cleared means that a backend server writes an answer to a request with the cause.
	Cleared ChangeKind = "cleared"
	// Withdrawn means that another cause explains all failures.
	Withdrawn ChangeKind = "withdrawn"
	// Expired means that there was no failure for the retention time.
	Expired ChangeKind = "expired"
)

// Change is a change of what is known about causes, for the log.
type Change struct {
	Kind   ChangeKind
	Causes []Cause
	// Runs and Servers are the numbers of failed runs one after the other, and of the backend servers that ended.
	Runs, Servers int
	// Trials is the number of failed trials.
	Trials int
	// From is the name of the entry that reported it; empty if it was found out here.
	From string
}

func (t *Tracker) changed(c Change) {
	if t.Changed != nil {
		t.Changed(c)
	}
}

package blame

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportTime is how long a failure and a begin are reported to the other entries.
	reportTime = 3 * time.Second
	// maxReports is the number of reports of each kind.
	maxReports = 16
	// MaxReportedCauses is the greatest number of causes of a report.
	MaxReportedCauses = 16
	// exactAge is the age up to which the age of a verdict is reported exactly. Later it is rounded up to a multiple
	// of ageStep, since each change of a message is sent to all entries.
	exactAge = 5 * time.Second
	ageStep  = 10 * time.Second
	// ageError is the greatest error of a reported age, by the time that a message takes.
	ageError = 2 * time.Second
)

// Kind is what a report is about.
type Kind uint8

// The kinds of reports.
const (
	// KindFailure reports a run that failed.
	KindFailure Kind = iota + 1
	// KindVerdict reports causes that are blamed.
	KindVerdict
	// KindBegin reports that a run with a cause began to write.
	KindBegin
)

// Report is a message to the other entries.
type Report struct {
	Kind   Kind
	Causes []Cause
	// Age is the time since the failure, since the latest failure of a verdict, or since the begin.
	Age time.Duration
	// ID identifies a failure among those of its sender's incarnation, Server is the hash of its backend server, and Took
	// is how long the run took.
	ID     uint32
	Server uint32
	Took   time.Duration
	// Runs, Servers and Trials are those of a verdict.
	Runs, Servers, Trials int
}

// Equal reports whether two reports are the same.
func (r Report) Equal(other Report) bool {
	return r.Kind == other.Kind && slices.Equal(r.Causes, other.Causes) && r.Age == other.Age && r.ID == other.ID &&
		r.Server == other.Server && r.Took == other.Took && r.Runs == other.Runs && r.Servers == other.Servers && r.Trials == other.Trials
}

// Reports returns what is to be reported to the other entries.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluateIfDue(now)
	if len(t.failures)+len(t.verdicts)+len(t.notices) == 0 {
		return nil
	}
	return slices.Concat(t.reportFailures(now), t.reportVerdicts(now), t.reportBegins(now))
}

// firstCauses returns a copy of as many causes as a report may have. Messages are encoded without the tracker's lock.
func firstCauses(causes []Cause) []Cause {
	return slices.Clone(causes[:min(len(causes), MaxReportedCauses)])
}

func (t *Tracker) reportFailures(now time.Time) (reports []Report) {
	for _, f := range slices.Backward(t.failures) {
		age := now.Sub(f.failed)
		if f.id.source != 0 || age > reportTime || len(reports) == maxReports {
			continue
		}
		reports = append(reports, Report{
			Kind: KindFailure, Causes: firstCauses(f.causes), Age: age,
			ID: f.id.number, Server: f.server, Took: f.failed.Sub(f.sent),
		})
	}
	return reports
}

func (t *Tracker) reportVerdicts(now time.Time) (reports []Report) {
	for _, v := range slices.Backward(t.verdicts) {
		if len(reports) == maxReports {
			break
		}
		age := now.Sub(v.latest)
		if age > exactAge {
			age = (age + ageStep - 1).Truncate(ageStep)
		}
		reports = append(reports, Report{
			Kind: KindVerdict, Causes: firstCauses(v.causes), Age: age,
			Runs: v.runs, Servers: v.servers, Trials: v.trials,
		})
	}
	return reports
}

func (t *Tracker) reportBegins(now time.Time) (reports []Report) {
	for c, until := range t.notices {
		b, ok := t.begun.Peek(c)
		if !ok || now.After(until) {
			delete(t.notices, c)
			continue
		}
		reports = append(reports, Report{Kind: KindBegin, Causes: []Cause{c}, Age: now.Sub(b.at)})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Causes[0], b.Causes[0]) })
	return reports[:min(len(reports), maxReports)]
}

// Receive records what a process of another entry has reported. start identifies the process.
func (t *Tracker) Receive(name string, start int64, reports []Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	source := xxhash.Sum64String(name) ^ uint64(start)
	changed := false
	for _, r := range reports {
		at := now.Add(-r.Age)
		switch r.Kind {
		case KindFailure:
			id := failureID{source: source, number: r.ID}
			if known, _ := t.seen.ContainsOrAdd(id, struct{}{}); !known {
				t.addFailure(&failure{id: id, server: r.Server, causes: slices.Clone(r.Causes), sent: at.Add(-r.Took), failed: at}, now)
				changed = true
			}
		case KindVerdict:
			t.receiveVerdict(name, &r, at, now)
		case KindBegin:
			for _, c := range r.Causes {
				changed = t.recordBegin(c, begin{at: at}, name, now) || changed
			}
		}
	}
	if changed {
		t.changedAt(now)
	}
}

func (t *Tracker) receiveVerdict(name string, r *Report, latest, now time.Time) {
	// The failure may be later than a rounded age says.
	failed := latest
	if r.Age > exactAge {
		failed = failed.Add(ageStep)
	}
	causes := slices.DeleteFunc(slices.Clone(r.Causes), func(c Cause) bool {
		b, ok := t.begun.Peek(c)
		if !ok || !t.innocent(b.at, failed, false) {
			return false
		}
		if b.own {
			t.notices[c] = now.Add(reportTime)
		}
		return true
	})
	if len(causes) == 0 || now.Sub(latest) > retention {
		return
	}
	slices.Sort(causes)
	v := t.verdictOn(causes)
	if v == nil {
		t.quiet.Store(false)
		t.adopt(&verdict{causes: causes, latest: latest, trials: r.Trials, runs: r.Runs, servers: r.Servers}, name)
		return
	}
	if r.Trials > v.trials && latest.After(v.latest) || latest.Sub(v.latest) > ageError {
		v.latest = latest
	}
	v.trials = max(v.trials, r.Trials)
}

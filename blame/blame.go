package blame

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sardinerock/sardinerock"
)

const (
	// SettleTime is how long a run has to write before its causes count as innocent of the end of its backend server,
	// which comes as it begins to write.
	SettleTime = 200 * time.Millisecond
	// limit is the number of failed runs one after the other from which requests with their causes are rejected, and
	// suspectLimit the one from which they are sent one at a time.
	limit        = 3
	suspectLimit = 2
	// graceTime is the time after a run has begun to write in which failures with its causes don't count. A part that
	// many requests share is in runs that fail and in others that begin to write all the time.
	graceTime = 500 * time.Millisecond
	// retention is how long failures and verdicts count.
	retention = 30 * time.Minute
	// trialTime is how long no second trial is sent by the same entry, and trialSlice the least time until the next entry
	// may send one.
	trialTime  = 10 * time.Second
	trialSlice = time.Second
	// retryAfter is the retry delay for requests that wait for the outcome of another one.
	retryAfter = 200 * time.Millisecond
	// evaluateInterval is the least time between two evaluations of more than fewFailures failures.
	evaluateInterval = 50 * time.Millisecond
	fewFailures      = 32
	// maxFailures, maxVerdicts, maxBegun and maxSeen are the numbers of failures, of verdicts, of causes with the time
	// of their latest begin, and of known failures of other entries, that are kept.
	maxFailures = 256
	maxVerdicts = 64
	maxBegun    = 4096
	maxSeen     = 1024
)

// Tracker knows which causes end backend servers. Its exported fields are set before Prepare, which is called once before
// all other methods; these are safe for concurrent use.
type Tracker struct {
	// Rank returns the place of this entry in the order in which live entries send trials with a cause, from 0 on; nil
	// if there is one entry only.
	Rank func(c Cause) int
	// ViewAge returns how old the known state of other entries may be; nil for 0.
	ViewAge func() time.Duration
	// Changed, if set, is called for each change, for the log. It must not call the tracker.
	Changed func(c Change)
	// Verdicts, if set, keeps the verdicts.
	Verdicts sardinerock.VerdictStore

	mu sync.Mutex
	// begun holds the latest time at which a run with a cause began to write.
	begun    *lru.Cache[Cause, begin]
	failures []*failure
	seen     *lru.Cache[failureID, struct{}]
	verdicts []*verdict
	// suspects are the causes of which requests are sent one at a time.
	suspects map[Cause]bool
	// unbegun counts the runs here that were sent and neither have begun to write nor ended, by their causes.
	unbegun map[Cause]int
	// evaluateAt is when failures have to be judged again; zero if only further ones can change the result.
	evaluateAt time.Time
	// evaluatedAt is when that was last done.
	evaluatedAt time.Time
	number      uint32
	// quiet is set while no cause is blamed or suspect.
	quiet atomic.Bool
	// notices holds until when begins are reported.
	notices map[Cause]time.Time
}

// begin is when a run began to write.
type begin struct {
	at time.Time
	// own is set if it was a run of this entry.
	own bool
}

// Prepare initializes the tracker.
func (t *Tracker) Prepare() {
	// The only possible error is a size that isn't positive.
	t.begun, _ = lru.New[Cause, begin](maxBegun)
	t.seen, _ = lru.New[failureID, struct{}](maxSeen)
	t.quiet.Store(true)
	t.suspects, t.unbegun, t.notices = map[Cause]bool{}, map[Cause]int{}, map[Cause]time.Time{}
}

func (t *Tracker) viewAge() time.Duration {
	if t.ViewAge == nil {
		return 0
	}
	return t.ViewAge()
}

// Check returns whether a request with these causes may be sent now.
func (t *Tracker) Check(causes []Cause, now time.Time) Decision {
	if len(causes) == 0 {
		return Decision{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d, _ := t.check(causes, now)
	return d
}

// Send is called right before a request is sent. The run is nil unless the request may be sent. Began, Failed or Done
// must be called for it.
func (t *Tracker) Send(causes []Cause, now time.Time) (*Run, Decision) {
	return t.send(causes, causes, now)
}

// SendItem does the same for a batch item, which is sent even if its content is blamed. Its run counts for its content as
// well, so that the parts aren't blamed for what no other request with them shows.
func (t *Tracker) SendItem(causes []Cause, now time.Time) (*Run, Decision) {
	return t.send(causes, PartsOf(causes), now)
}

// send sends a request with some causes, of which the deciding ones may prevent that.
func (t *Tracker) send(causes, deciding []Cause, now time.Time) (*Run, Decision) {
	if len(causes) == 0 {
		return &Run{ended: true}, Decision{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d, trial := t.check(deciding, now)
	if d.Action != Allow {
		return nil, d
	}
	run := &Run{causes: causes, sent: now}
	if trial != nil {
		run.trial, trial.trialUntil = trial.causes, now.Add(trialTime)
		t.changed(Change{Kind: TrialSent, Causes: trial.causes, Trials: trial.trials})
	}
	for _, c := range causes {
		t.unbegun[c]++
	}
	return run, d
}

// check returns the decision on a request, and the verdict of which it would be a trial.
func (t *Tracker) check(causes []Cause, now time.Time) (d Decision, trial *verdict) {
	t.evaluateIfDue(now)
	if len(t.verdicts) == 0 && len(t.suspects) == 0 {
		return Decision{}, nil
	}
	var alone []Cause
	for _, v := range t.verdicts {
		switch count(v.causes, causes) {
		case 0:
			continue
		case len(v.causes):
		default:
			// The request shows which of the causes it is.
			alone = append(alone, v.causes...)
			continue
		}
		blocked := t.blockedFor(v, now)
		if trial != nil {
			blocked = max(blocked, retryAfter)
		}
		if blocked > 0 {
			d.Action, d.RetryAfter, d.Proven = Reject, max(d.RetryAfter, blocked), d.Proven || v.trials > 0
			d.Causes = append(d.Causes, v.causes...)
			continue
		}
		trial = v
	}
	if d.Action == Reject {
		return d, nil
	}
	for _, c := range causes {
		if (t.suspects[c] || slices.Contains(alone, c)) && t.unbegun[c] > 0 {
			return Decision{Action: Wait, RetryAfter: retryAfter, Causes: []Cause{c}}, nil
		}
	}
	return Decision{}, trial
}

// Began records that a run began to write at the given time, and has written for SettleTime or is complete.
func (t *Tracker) Began(r *Run, at, now time.Time) {
	if r.ended {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(r)
	cleared := false
	for _, c := range r.causes {
		cleared = t.recordBegin(c, begin{at: at, own: true}, "", now) || cleared
	}
	if cleared {
		t.changedAt(now)
	}
}

// Failed records that a backend server broke off a run before Began was called for it.
func (t *Tracker) Failed(r *Run, server uint32, now time.Time) {
	if r.ended {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(r)
	if v := t.verdictOn(r.trial); v != nil && r.trial != nil {
		v.trials++
		v.latest, v.trialUntil = now, time.Time{}
		t.changed(Change{Kind: TrialFailed, Causes: v.causes, Trials: v.trials})
		t.save(v, now)
	}
	t.number++
	t.addFailure(&failure{id: failureID{number: t.number}, server: server, causes: slices.Clone(r.causes), sent: r.sent, failed: now}, now)
	t.changedAt(now)
}

// Done records the end of a run that shows nothing: it was cancelled, or its backend server goes on.
func (t *Tracker) Done(r *Run) {
	if r.ended {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(r)
}

func (t *Tracker) end(r *Run) {
	r.ended = true
	for _, c := range r.causes {
		if t.unbegun[c]--; t.unbegun[c] <= 0 {
			delete(t.unbegun, c)
		}
	}
}

// addFailure adds a failure without the causes that are known to be innocent.
func (t *Tracker) addFailure(f *failure, now time.Time) {
	f.causes = slices.DeleteFunc(f.causes, func(c Cause) bool {
		b, ok := t.begun.Peek(c)
		if !ok || !t.innocent(b.at, f.failed, f.id.source != 0) {
			return false
		}
		if b.own && f.id.source != 0 {
			t.notices[c] = now.Add(reportTime)
		}
		return true
	})
	if len(f.causes) == 0 {
		return
	}
	if len(t.failures) == maxFailures {
		t.failures = slices.Delete(t.failures, 0, 1)
	}
	t.failures = append(t.failures, f)
}

// innocent reports whether a run that began to write shows that its causes didn't end a backend server. reported is set
// if another entry reported the end.
func (t *Tracker) innocent(begun, failed time.Time, reported bool) bool {
	grace := graceTime
	if reported {
		grace += t.margin()
	}
	return failed.Sub(begun) <= grace
}

// margin returns by how much the reported age of something may be too small: the time that the report takes.
func (t *Tracker) margin() time.Duration {
	view := t.viewAge()
	return view + view/2
}

// recordBegin records the begin of a run with a cause, and returns whether that clears anything.
func (t *Tracker) recordBegin(c Cause, b begin, from string, now time.Time) (cleared bool) {
	if known, ok := t.begun.Get(c); !ok || b.at.After(known.at) {
		t.begun.Add(c, b)
	}
	for _, f := range t.failures {
		if i := slices.Index(f.causes, c); i >= 0 && t.innocent(b.at, f.failed, f.id.source != 0) {
			f.causes = slices.Delete(f.causes, i, i+1)
			cleared = true
		}
	}
	for _, v := range t.verdicts {
		if i := slices.Index(v.causes, c); i >= 0 && t.innocent(b.at, v.latest, false) {
			keeps := b.own || v.savedHere
			if keeps {
				t.discard(v)
			}
			v.causes = slices.Delete(slices.Clone(v.causes), i, i+1)
			if keeps && len(v.causes) > 0 {
				t.save(v, now)
			}
			cleared = true
			t.changed(Change{Kind: Cleared, Causes: []Cause{c}, Trials: v.trials, From: from})
		}
	}
	if !cleared {
		return false
	}
	delete(t.suspects, c)
	if b.own {
		t.notices[c] = now.Add(reportTime)
	}
	t.failures = slices.DeleteFunc(t.failures, func(f *failure) bool { return len(f.causes) == 0 })
	t.verdicts = slices.DeleteFunc(t.verdicts, func(v *verdict) bool { return len(v.causes) == 0 })
	return true
}

// evaluate judges all failures. The cause that explains most of them is blamed for all that failed with the same backend
// servers; what remains is judged without these.
func (t *Tracker) evaluate(now time.Time) {
	t.expire(now)
	t.evaluateAt, t.evaluatedAt = time.Time{}, now
	clear(t.suspects)
	slices.SortFunc(t.failures, func(a, b *failure) int { return a.failed.Compare(b.failed) })
	margin := t.margin()
	numberEnds(t.failures, margin)
	t.markExplained(now)
	remaining := t.failures
	for {
		suspicions := judge(remaining, margin)
		s := strongest(suspicions)
		if s.runs < limit {
			t.suspect(suspicions)
			break
		}
		// Until then other entries may report that requests with some of the causes began to write.
		if confirmed := s.first.Add(SettleTime + 2*t.viewAge()); !now.Before(confirmed) {
			t.blame(&s, now)
		} else {
			if t.evaluateAt.IsZero() || confirmed.Before(t.evaluateAt) {
				t.evaluateAt = confirmed
			}
			for _, c := range s.causes {
				t.suspects[c] = true
			}
		}
		remaining = without(remaining, &s.ends)
	}
	t.markExplained(now)
	t.quiet.Store(len(t.verdicts)+len(t.suspects) == 0)
}

func (t *Tracker) evaluateIfDue(now time.Time) {
	if !t.evaluateAt.IsZero() && !now.Before(t.evaluateAt) {
		t.evaluate(now)
	}
}

func (t *Tracker) suspect(suspicions map[Cause]*suspicion) {
	for c, s := range suspicions {
		if s.runs >= suspectLimit {
			t.suspects[c] = true
		}
	}
}

// changedAt records that the failures have changed. They are judged at the next check; many of them not more often than
// evaluateInterval, since failures come by the hundred when many backend servers are lost.
func (t *Tracker) changedAt(now time.Time) {
	t.quiet.Store(false)
	due := now
	if next := t.evaluatedAt.Add(evaluateInterval); len(t.failures) > fewFailures && next.After(now) {
		due = next
	}
	if t.evaluateAt.IsZero() || due.Before(t.evaluateAt) {
		t.evaluateAt = due
	}
}

// blame records a verdict.
func (t *Tracker) blame(s *suspicion, now time.Time) {
	v := t.verdictOn(s.causes)
	if v == nil {
		v = &verdict{causes: s.causes, latest: s.latest, runs: s.runs, servers: s.ends.len()}
		if t.adopt(v, "") {
			t.save(v, now)
		}
		return
	}
	if s.latest.After(v.latest) {
		v.latest = s.latest
	}
	v.runs, v.servers = max(v.runs, s.runs), max(v.servers, s.ends.len())
}

// markExplained marks the failures at backend servers that a single blamed cause ended. They are kept for as long as
// others may be reported that they explain. A verdict is withdrawn if another one explains all failures behind it: it
// may have been made where only some of them were known.
func (t *Tracker) markExplained(now time.Time) {
	t.withdraw()
	var explained ends
	for _, v := range t.verdicts {
		if len(v.causes) > 1 {
			continue
		}
		for _, f := range t.failures {
			if !slices.Contains(f.causes, v.causes[0]) {
				continue
			}
			explained.add(f.end)
			if f.failed.After(v.latest) {
				v.latest = f.failed
			}
		}
	}
	t.failures = slices.DeleteFunc(t.failures, func(f *failure) bool {
		f.explained = f.explained || explained.has(f.end)
		return f.explained && now.Sub(f.failed) > reportTime
	})
}

// withdraw removes the verdicts on single causes of which all known failures are at backend servers that another such
// cause ended, which ended more of them.
func (t *Tracker) withdraw() {
	if len(t.verdicts) < 2 {
		return
	}
	of := map[*verdict]*ends{}
	for _, v := range t.verdicts {
		of[v] = &ends{}
		for _, f := range t.failures {
			if slices.Contains(f.causes, v.causes[0]) {
				of[v].add(f.end)
			}
		}
	}
	kept := make([]*verdict, 0, len(t.verdicts))
	for _, v := range t.verdicts {
		explains := func(other *verdict) bool {
			return len(v.causes) == 1 && len(other.causes) == 1 && of[v].len() > 0 && of[v].len() < of[other].len() && of[v].within(of[other])
		}
		if slices.ContainsFunc(t.verdicts, explains) {
			t.changed(Change{Kind: Withdrawn, Causes: v.causes, Servers: of[v].len()})
			if v.savedHere {
				t.discard(v)
			}
			continue
		}
		kept = append(kept, v)
	}
	t.verdicts = kept
}

func (t *Tracker) expire(now time.Time) {
	t.failures = slices.DeleteFunc(t.failures, func(f *failure) bool { return now.Sub(f.failed) > retention })
	t.verdicts = slices.DeleteFunc(t.verdicts, func(v *verdict) bool {
		old := now.Sub(v.latest) > retention
		if old {
			t.changed(Change{Kind: Expired, Causes: v.causes, Trials: v.trials})
		}
		return old
	})
}

// Quiet reports whether no cause is blamed or suspect, so that Check allows all requests.
func (t *Tracker) Quiet() bool { return t.quiet.Load() }

// Blamed returns the number of verdicts.
func (t *Tracker) Blamed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.verdicts)
}

package crash

import "time"

// source is a process of another entry. Its failures still count once it is lost.
type source struct {
	name  string
	start int64
}

// failures is a number of failures and the time of the latest. Cleared of them no longer count since the
// request got a response.
type failures struct {
	count, cleared int
	latest         time.Time
}

// record holds what is known of a request during which backend servers failed.
type record struct {
	own   failures
	peers map[source]failures
	// sequence counts the failures one after the other, each of a run that was sent when those before
	// it were known where it was sent. It is the greatest number that any entry has counted.
	sequence failures
	// served is the time of the latest known response.
	served time.Time
	// rejected is set once this entry has rejected the request.
	rejected bool
	// reportUntil is until when this entry reports a request that it hasn't rejected,
	// servedReportUntil until when it reports a response.
	reportUntil, servedReportUntil time.Time
	// trialUntil is until when no other trial is sent.
	trialUntil time.Time
	// saved is the count that is on record, and savedHere set if this entry has written it.
	saved     int
	savedHere bool
}

// counted returns how many failures still count.
func (r *record) counted(f failures, now time.Time) int {
	if now.Sub(f.latest) > retention || f.latest.Sub(r.served) <= graceTime {
		return 0
	}
	return f.count - f.cleared
}

// count returns the number of failures one after the other, and the time of the latest. Of all confirmed
// failures, those beyond what may happen at the same moment count as well, up to limit.
func (r *record) count(now time.Time) (known int, latest time.Time) {
	add := func(f failures) (n int) {
		if n = r.counted(f, now); n > 0 && f.latest.After(latest) {
			latest = f.latest
		}
		return n
	}
	confirmed := 0
	confirm := func(f failures) {
		if n := add(f); now.Sub(f.latest) > confirmTime {
			confirmed += n
		}
	}
	confirm(r.own)
	for s, f := range r.peers {
		confirm(f)
		if now.Sub(f.latest) > retention {
			delete(r.peers, s)
		}
	}
	known = max(add(r.sequence), min(confirmed-(concurrentLimit-limit), limit))
	return known, latest
}

// clear applies a response at the given time: earlier failures no longer count.
func (r *record) clear(served time.Time) {
	if !served.After(r.served) {
		return
	}
	r.served = served
	for s, f := range r.peers {
		if f.latest.Sub(served) <= graceTime {
			f.cleared = f.count
			r.peers[s] = f
		}
	}
	r.rejected = false
}

// report returns what is to be reported of a request, if anything.
func (r *record) report(now time.Time) (Report, bool) {
	own := r.counted(r.own, now)
	known, latest := r.count(now)
	switch {
	case known >= limit && (own > 0 || r.rejected || now.Before(r.reportUntil)):
		return Report{Failures: own, Sequence: max(r.counted(r.sequence, now), 1), Age: reportedAge(now.Sub(latest))}, true
	case own > 0 && (known > 1 || now.Sub(r.own.latest) <= reportTime):
		return Report{Failures: own, Sequence: max(r.counted(r.sequence, now), 1), Age: reportedAge(now.Sub(r.own.latest))}, true
	case now.Before(r.servedReportUntil):
		return Report{Age: now.Sub(r.served)}, true
	}
	return Report{}, false
}

func reportedAge(age time.Duration) time.Duration {
	if age <= exactAgeLimit {
		return age
	}
	return (age + ageStep - 1).Truncate(ageStep)
}

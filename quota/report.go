package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock/usage"
)

const (
	// maxReports is the number of teams in one message.
	maxReports = 64
	// peerRetention is how long the counts of a peer are kept after its last report of a team.
	peerRetention = 30 * time.Second
	// staleReportFactor is how long after a query an older report of the same peer may
	// still arrive, as a multiple of ViewAge.
	staleReportFactor = 2
)

// Reports returns the reports to send to the other entries: those of the teams with
// requests at this entry within span. The caller chooses a span that covers several
// messages, since datagrams may be lost.
func (q *Teams) Reports(now time.Time, span time.Duration) []Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
	var reports []Report
	for a := range q.recent {
		if now.Sub(a.changedAt) > span {
			delete(q.recent, a)
			continue
		}
		reports = append(reports, Report{Team: a.hash, Admitted: a.own.admitted, Requested: a.own.requested, Remaining: q.remaining(a, now)})
	}
	slices.SortFunc(reports, func(x, y Report) int { return cmp.Compare(x.Team, y.Team) })
	return reports[:min(len(reports), maxReports)]
}

// remainingScale is the Report.Remaining of a full bucket.
const remainingScale = 100

// remaining returns the Report.Remaining of a team. An entry that has just started knows
// the level only from other entries' reports and doesn't forward it.
func (q *Teams) remaining(a *account, now time.Time) uint8 {
	capacity := q.capacity(a)
	if now.Sub(q.started) < q.Bounds().Window {
		return RemainingUnknown
	}
	if a.level >= capacity/2 {
		return RemainingHigh
	}
	return uint8(remainingScale * max(a.level, 0) / capacity)
}

// Receive applies the reports of a peer; start identifies the peer's incarnation.
func (q *Teams) Receive(peer string, start int64, reports []Report, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range reports {
		a := q.hashes[r.Team]
		if a == nil {
			continue
		}
		q.refill(a, now)
		if a.stale(peer, start, r, now.Add(-staleReportFactor*q.ViewAge())) {
			continue
		}
		q.applyCounts(a, peer, r.Remaining == RemainingUnknown, peerCounts{counts: counts{r.Admitted, r.Requested}, start: start, receivedAt: now}, now)
		if r.Remaining <= remainingScale && now.Sub(q.started) < q.Bounds().Window {
			// The peer may know what was admitted before this entry started.
			a.level = min(a.level, float64(r.Remaining)/remainingScale*q.capacity(a))
		}
	}
}

// stale reports whether a report is older than the counts that the peer sent in a query
// to this entry after since. Reports relayed by other entries arrive later than queries;
// applied as newer ones, they would refund what was just admitted.
func (a *account) stale(peer string, start int64, r Report, since time.Time) bool {
	last, known := a.peers[peer]
	return known && last.start == start && last.queriedAt.After(since) &&
		(delta(last.admitted, r.Admitted) < 0 || delta(last.requested, r.Requested) < 0)
}

// applyCounts applies what a peer has admitted and received since its last counts.
func (q *Teams) applyCounts(a *account, peer string, justStarted bool, c peerCounts, now time.Time) {
	admitted, requested := a.increase(peer, justStarted, c)
	a.level -= admitted
	a.admittedElsewhere.Add(admitted, now, usage.Window)
	if requested > 0 {
		a.requestRate.add(now, requested)
	}
}

// increase stores a peer's counts and returns by how much they have grown. For the first
// counts of a peer that has just started, all requests are recent. The first counts of
// any other peer are mostly old: at most one request of each kind is taken as recent.
func (a *account) increase(peer string, justStarted bool, c peerCounts) (admitted, requested float64) {
	if a.peers == nil {
		a.peers = map[string]peerCounts{}
	}
	last, known := a.peers[peer]
	a.peers[peer] = c
	switch {
	case known && last.start == c.start:
		return delta(last.admitted, c.admitted), max(delta(last.requested, c.requested), 0)
	case justStarted:
		return delta(0, c.admitted), float64(c.requested)
	}
	return min(float64(c.admitted), 1), 1
}

// delta returns the growth of a count that wraps around; it is negative if requests
// were refunded.
func delta(before, now uint16) float64 { return float64(int16(now - before)) }

// sweep removes counts that weren't reported for peerRetention. Without it the state
// would grow with every peer that ever reported a team.
func (q *Teams) sweep(now time.Time) {
	if now.Sub(q.lastSweep) < peerRetention {
		return
	}
	q.lastSweep = now
	for _, a := range q.accounts {
		for name, c := range a.peers {
			if now.Sub(c.receivedAt) > peerRetention {
				delete(a.peers, name)
			}
		}
	}
}

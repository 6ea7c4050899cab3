package quota

import (
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/usage"
)

// Query asks a team's home entry whether one more request of the team may be admitted.
type Query struct {
	_ struct{} `cbor:",toarray"`
	// Team is the TeamHash of the team's name.
	Team uint32
	// Admitted and Requested are the counts of the querying entry, as in Report;
	// Requested includes this request.
	Admitted, Requested uint16
}

// Decision is a home entry's answer to a Query.
type Decision struct {
	_        struct{} `cbor:",toarray"`
	Admitted bool
	// RetryAfter is how long the caller of a rejected request should wait before it retries.
	RetryAfter time.Duration
}

// QueryFunc sends a query to a team's home entry; it returns false if no answer arrives.
type QueryFunc func(Query) (Decision, bool)

// canAdmitLocally reports whether a request may be admitted without a query to the
// home entry: the bucket covers one request at each entry and the reserve.
func (q *Teams) canAdmitLocally(a *account, now time.Time) bool {
	_, all := q.Entries()
	return a.level >= float64(all)+q.reserve(a, now)
}

// queryHome admits or rejects a request as the team's home entry decides. If the home
// entry does not answer, this entry decides from the reports it has received. The
// caller holds the lock, which is released during the query.
func (q *Teams) queryHome(a *account, team *sardinerock.TeamInfo, now time.Time) (ok bool, retryAfter time.Duration) {
	home := q.Home(team.Name)
	if home == nil {
		if a.level < 1 {
			return false, q.retryAfter(a, now)
		}
		return true, 0
	}
	query := Query{Team: a.hash, Admitted: a.own.admitted, Requested: a.own.requested}
	q.mu.Unlock()
	d, answered := home(query)
	q.mu.Lock()
	switch {
	case answered && d.Admitted:
		return true, 0
	case answered:
		return false, max(d.RetryAfter, teamMinRetryAfter)
	case q.mayAdmit(a, now):
		return true, 0
	}
	return false, q.retryAfter(a, now)
}

// Decide answers a query as the team's home entry. An admitted request is added to the
// peer's counts at once, so that the peer's next report does not count it again.
func (q *Teams) Decide(peer string, start int64, query Query, now time.Time) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.hashes[query.Team]
	if a == nil {
		// The configurations differ: this entry's has no such team, or no quota for it.
		return Decision{Admitted: true}
	}
	q.refill(a, now)
	received := peerCounts{counts: counts{query.Admitted, query.Requested}, start: start, receivedAt: now, queriedAt: now}
	q.applyCounts(a, peer, false, received, now)
	if a.level < 1 {
		return Decision{RetryAfter: q.retryAfter(a, now)}
	}
	a.level--
	received.admitted++
	a.admittedElsewhere.Add(1, now, usage.Window)
	a.peers[peer] = received
	return Decision{Admitted: true}
}

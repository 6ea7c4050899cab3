package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
)

const (
	// onlineCandidates is the number of random candidates that are compared.
	onlineCandidates = 2
	// batchCandidates is the same for batch work, which has time to search for idle backend servers.
	batchCandidates = 4
	// maxDraws is the number of random draws before all backend servers are checked.
	maxDraws = 8
	// spillLoad is the load above which a request would queue. It may then go to
	// another availability zone, which costs about a millisecond.
	spillLoad = 1.0
	// prefixBonus is how much higher the score may be where the whole prefix is
	// cached. Prefill is a small part of an answer, so a cached prefix is worth a
	// quarter of the slots but never a queue. It also limits the effect of late
	// or lost cache events.
	prefixBonus = 0.25
	// maxPrefixHolders is the number of holders of a prefix that are compared.
	maxPrefixHolders = 4
)

// Pick chooses a backend server, or returns false if none can take the query.
func (t *Table) Pick(now time.Time, q Query) (Choice, bool) {
	g := t.groups[q.target()]
	if g == nil {
		return Choice{}, false
	}
	t.restoreEjected(now)
	switch {
	case q.Alone:
		return t.pickAlone(g, &q)
	case q.Class == sardinerock.ClassBatch:
		return t.pickBatch(g, &q)
	}
	return t.pickOnline(now, g, &q)
}

// pickOnline prefers the entry's zone, uses others to avoid a queue, and prefers a
// holder of the cached prefix if it is little more loaded.
func (t *Table) pickOnline(now time.Time, g *group, q *Query) (Choice, bool) {
	best, reason := t.bestOfRandom(now, g.zones[q.Zone], q), ReasonZone
	if best == nil || best.load(now, &t.fleet) > spillLoad {
		other := t.bestOfRandom(now, g.all, q)
		if other != nil && (best == nil || other.score(now, &t.fleet) < best.score(now, &t.fleet)) {
			best, reason = other, ReasonSpill
		}
	}
	if best == nil {
		return t.pickLastResort(now, g, q)
	}
	if holder, matched := t.bestPrefixHolder(now, q); holder != nil {
		bonus := prefixBonus * float64(matched) / float64(len(q.Prefixes))
		load := holder.load(now, &t.fleet)
		if holder == best || load <= spillLoad && holder.score(now, &t.fleet) <= best.score(now, &t.fleet)+bonus {
			return Choice{ID: holder.report.ID, Reason: ReasonPrefix, MatchedPrefixes: matched}, true
		}
	}
	return Choice{ID: best.report.ID, Reason: reason}, true
}

// bestOfRandom draws two eligible candidates at random and returns the one with the
// lower score. If the draws find fewer, it compares all.
func (t *Table) bestOfRandom(now time.Time, from []*backend, q *Query) *backend {
	var best *backend
	var bestScore float64
	found := 0
	for i := 0; i < maxDraws && found < onlineCandidates && len(from) > 0; i++ {
		b := from[t.Random.IntN(len(from))]
		if b == best || !t.eligible(b, q) {
			continue
		}
		found++
		if s := b.score(now, &t.fleet); best == nil || s < bestScore {
			best, bestScore = b, s
		}
	}
	if found >= onlineCandidates || len(from) == 0 {
		return best
	}
	// Few are eligible, or there are only a few: check all.
	for _, b := range from {
		if b == best || !t.eligible(b, q) {
			continue
		}
		if s := b.score(now, &t.fleet); best == nil || s < bestScore {
			best, bestScore = b, s
		}
	}
	return best
}

// eligible reports whether a backend server is up, not leaving, not ejected and not excluded by the query.
func (t *Table) eligible(b *backend, q *Query) bool {
	return b.usable() && !b.health.ejected && !slices.Contains(q.Exclude, b.report.ID)
}

// bestPrefixHolder returns the holder of the longest cached prefix with the lowest
// score, and the number of prefixes that it holds.
func (t *Table) bestPrefixHolder(now time.Time, q *Query) (*backend, int) {
	wanted := q.target()
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		var best *backend
		var bestScore float64
		for _, b := range t.prefixes.Holders(q.Prefixes[i], maxPrefixHolders) {
			if !t.eligible(b, q) || !b.serves(wanted) {
				continue
			}
			if s := b.score(now, &t.fleet); best == nil || s < bestScore {
				best, bestScore = b, s
			}
		}
		if best != nil {
			return best, i + 1
		}
	}
	return nil, 0
}

// pickLastResort also accepts ejected and excluded backend servers. A penalty on the
// excluded ones makes it prefer the others.
func (t *Table) pickLastResort(now time.Time, g *group, q *Query) (Choice, bool) {
	var best *backend
	var bestScore float64
	for _, b := range g.all {
		if !b.usable() {
			continue
		}
		s := b.score(now, &t.fleet)
		if slices.Contains(q.Exclude, b.report.ID) {
			s += maxSlowness
		}
		if best == nil || s < bestScore {
			best, bestScore = b, s
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{ID: best.report.ID, Reason: ReasonLastResort}, true
}

// pickBatch draws up to four backend servers with batch credit and chooses the one
// with the least online work, then the one with the most credit. It ignores zones:
// a millisecond of latency doesn't matter to batch work.
func (t *Table) pickBatch(g *group, q *Query) (Choice, bool) {
	var best *backend
	found := 0
	consider := func(b *backend) {
		if b == best || b.batchCredit() == 0 || !t.eligible(b, q) {
			return
		}
		found++
		if best == nil || b.onlineShare() < best.onlineShare() || b.onlineShare() == best.onlineShare() && b.batchCredit() > best.batchCredit() {
			best = b
		}
	}
	for i := 0; i < maxDraws && found < batchCandidates; i++ {
		consider(g.all[t.Random.IntN(len(g.all))])
	}
	for i := 0; i < len(g.all) && best == nil; i++ {
		consider(g.all[i])
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{ID: best.report.ID, Reason: ReasonBatch}, true
}

// pickAlone sends all attempts at a suspect request to the same backend server,
// from all entries.
//
// Failure: a caller sends a request that crashes backend servers through five
// entries at once. If each entry ran it alone on another backend server, five would
// crash. With rendezvous hashing of fingerprint and backend server, all attempts go
// to one gate, which runs them one after another; after the first crash the request
// is blocked and the others are rejected there.
func (t *Table) pickAlone(g *group, q *Query) (Choice, bool) {
	var best *backend
	var bestRank uint64
	for _, b := range g.all {
		if !b.usable() || slices.Contains(q.Exclude, b.report.ID) {
			continue
		}
		if rank := rendezvous(b.report.ID, q.Fingerprint); best == nil || rank > bestRank {
			best, bestRank = b, rank
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{ID: best.report.ID, Reason: ReasonAlone}, true
}

// rendezvous returns the rank of a backend server for a seed; it is the same in all entries.
func rendezvous(id string, seed uint64) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

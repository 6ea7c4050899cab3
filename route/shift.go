package route

import "github.com/cespare/xxhash/v2"

// Shift returns whether a request goes to the newer of two versions that may both
// answer it, and whether the change of version is complete. id is the request's id,
// so that its retries get the same result.
//
// Load pattern: a change of version under load. The weight store serves only a few
// engines at a time, so for minutes some engines hold the new version while all hold
// the old one. If all requests went to the new version once one engine of eighteen
// has loaded it, that engine would get the load of eighteen. If they all waited for
// the last engine, one that can't load would block the change forever. So the share
// of requests for the new version is the share of engines that hold it, and the load
// of each engine stays the same.
func (t *Table) Shift(newer, older Query, id string) (shift, complete bool) {
	newHolders, oldHolders := t.holders(newer), t.holders(older)
	if newHolders >= oldHolders {
		return newHolders > 0, newHolders > 0
	}
	return int(xxhash.Sum64String(id)%uint64(oldHolders)) < newHolders, false
}

// holders returns the number of usable backend servers that serve a query's target.
func (t *Table) holders(q Query) int {
	g := t.groups[q.target()]
	if g == nil {
		return 0
	}
	n := 0
	for _, b := range g.all {
		if b.usable() {
			n++
		}
	}
	return n
}

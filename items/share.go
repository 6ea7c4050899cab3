package items

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/ledger"
)

const (
	// shareInterval is how much later each further item of a job or team counts as due, and
	// maxShareDelay the longest such delay. Due times that differ by less are nearly the same: a
	// sixth of the time that a job usually has, which bursts take from its items anyway.
	shareInterval = 100 * time.Millisecond
	maxShareDelay = 3 * time.Second
	// maxSharePart is the greatest number of waiting items that counts for an entry's share of the free
	// slots: those of some four usual jobs. A job of 200 items would otherwise get most of the slots
	// of a fleet whose other entries have a job of 10 each.
	maxSharePart = 40
)

// SharePart returns how many of an entry's waiting items count for its share of the free slots.
func SharePart(waiting int) int { return min(waiting, maxSharePart) }

// SortByShare sorts items by due time as SortByDue does, but so that jobs with nearly the same due
// time share the slots, and so do teams if there are any. The order within a job or a team stays.
//
// It is designed for one job of 200 items followed by a job of 10 items a second later. In the order
// of due times the small job would wait until nearly all items of the large one have started.
func SortByShare(items []ledger.OpenItem, table *sardinerock.RouteTable) {
	SortByDue(items, table)
	keys := make([]shareKey, len(items))
	sorted := true
	var at time.Time
	byJob, byTeam := 0, map[string]int{}
	for n := range items {
		// The items of a job are next to each other.
		if n == 0 || items[n].Job != items[n-1].Job {
			at, byJob = due(&items[n], table), 0
		}
		ahead := byJob
		byJob++
		if table.Teams.Len() > 0 {
			ahead = max(ahead, byTeam[items[n].Team])
			byTeam[items[n].Team]++
		}
		keys[n] = shareKey{at.Add(min(time.Duration(ahead)*shareInterval, maxShareDelay)), n}
		sorted = sorted && (n == 0 || !keys[n].at.Before(keys[n-1].at))
	}
	if sorted {
		return
	}
	slices.SortFunc(keys, func(a, b shareKey) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.index, b.index)) })
	before := slices.Clone(items)
	for n, k := range keys {
		items[n] = before[k.index]
	}
}

// shareKey is by what an item is sorted: when it counts as due, and its position by due time.
type shareKey struct {
	at    time.Time
	index int
}

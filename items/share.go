package items

import (
	"sort"
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
	type group struct{ team, job string }
	ahead := make(map[group]int)
	delay := func(g group) time.Duration {
		ahead[g]++
		return min(time.Duration(ahead[g]-1)*shareInterval, maxShareDelay)
	}
	keys := make([]time.Time, len(items))
	for n := range items {
		i := &items[n]
		shift := delay(group{job: i.Job})
		if table.Teams.Len() > 0 {
			shift = max(shift, delay(group{team: i.Team}))
		}
		keys[n] = due(i, table).Add(shift)
	}
	sort.Stable(&byKey{items, keys})
}

// byKey sorts items by keys.
type byKey struct {
	items []ledger.OpenItem
	keys  []time.Time
}

func (b *byKey) Len() int           { return len(b.items) }
func (b *byKey) Less(x, y int) bool { return b.keys[x].Before(b.keys[y]) }

func (b *byKey) Swap(x, y int) {
	b.items[x], b.items[y] = b.items[y], b.items[x]
	b.keys[x], b.keys[y] = b.keys[y], b.keys[x]
}

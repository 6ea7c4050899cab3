package items

import (
	"sort"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/ledger"
)

// due returns when an item has to be completed for its result to have its full value for the
// caller.
func due(i *ledger.OpenItem, table *sardinerock.RouteTable) time.Time {
	for n := range table.Routes {
		if table.Routes[n].Name == i.Route {
			return i.CreatedAt.Add(table.Routes[n].CompletionTarget)
		}
	}
	return i.CreatedAt
}

// SortByDue sorts items by due time, then by job and index. Items of a job that are already in
// progress have low indices, so they are completed before others of the job are started: an item
// in progress holds text in memory.
func SortByDue(items []ledger.OpenItem, table *sardinerock.RouteTable) {
	times := make(map[string]time.Time)
	for n := range items {
		if _, ok := times[items[n].Job]; !ok {
			times[items[n].Job] = due(&items[n], table)
		}
	}
	sort.Slice(items, func(a, b int) bool {
		x, y := &items[a], &items[b]
		if tx, ty := times[x.Job], times[y.Job]; !tx.Equal(ty) {
			return tx.Before(ty)
		}
		if x.Job != y.Job {
			return x.Job < y.Job
		}
		return x.Index < y.Index
	})
}

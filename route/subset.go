package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minCover is how many entries know each backend server at least, so that one
// lost entry leaves none unused.
const minCover = 2

// Subset returns the backend servers, of all, that an entry keeps links to:
// about size of them, the same for the same arguments in any order.
//
// Load pattern: the target of 370 nodes before 11,000 workers. Were every entry
// attached to every side, each side would send 370 heartbeats per interval and
// each entry receive 11,000, which is above the budget for control. Each backend
// server picks its entries by rendezvous, so every one is covered equally often
// and one entry or backend server more moves few links.
func Subset(entryID string, entries, backends []string, size int) []string {
	if size <= 0 || size >= len(backends) || len(entries) <= minCover {
		return slices.Clone(backends)
	}
	seeds := make([]uint64, len(entries))
	for i, e := range entries {
		seeds[i] = xxhash.Sum64String(e)
	}
	own := xxhash.Sum64String(entryID)
	cover := max(minCover, (size*len(entries)+len(backends)-1)/len(backends))
	var chosen []string
	for _, b := range backends {
		if covers(b, own, seeds, cover) {
			chosen = append(chosen, b)
		}
	}
	return chosen
}

// covers tells whether fewer than cover entries rank before the own one.
func covers(backendID string, own uint64, seeds []uint64, cover int) bool {
	rank := rendezvous(backendID, own)
	before := 0
	for _, s := range seeds {
		if s != own && rendezvous(backendID, s) > rank {
			before++
			if before == cover {
				return false
			}
		}
	}
	return true
}

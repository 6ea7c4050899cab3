package owner

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Of returns the live entry that owns a job: the one with the highest hash of its name and the
// job's id (rendezvous hashing). Entries with the same list agree without exchanging messages,
// and when an entry leaves only its own jobs move. It returns an empty string if live is empty.
func Of(job string, live []string) string {
	var best string
	var bestScore uint64
	id := xxhash.Sum64String(job)
	for _, name := range live {
		score := mix(id ^ xxhash.Sum64String(name))
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// Ranked returns the first live entries for a key, at most count, in the order in which Of would return them if those
// before were not live.
func Ranked(key string, live []string, count int) []string {
	id := xxhash.Sum64String(key)
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(mix(id^xxhash.Sum64String(b)), mix(id^xxhash.Sum64String(a))), strings.Compare(a, b))
	})
	return ranked[:min(count, len(ranked))]
}

// mix is the finalizer of SplitMix64. It spreads the combination of two hashes over all bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

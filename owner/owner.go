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
	type candidate struct {
		name  string
		score uint64
	}
	id := xxhash.Sum64String(key)
	candidates := make([]candidate, len(live))
	for i, name := range live {
		candidates[i] = candidate{name, mix(id ^ xxhash.Sum64String(name))}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.name, b.name))
	})
	ranked := make([]string, min(count, len(candidates)))
	for i := range ranked {
		ranked[i] = candidates[i].name
	}
	return ranked
}

// mix is the finalizer of SplitMix64. It spreads the combination of two hashes over all bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package owner

import "github.com/cespare/xxhash/v2"

// Of returns which of the live entries runs a job: the one whose name hashes
// highest with the job's id. All that know the same entries agree without a
// message, and when one goes only its own jobs move.
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

// mix spreads a hash that was combined of two over all its bits: the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

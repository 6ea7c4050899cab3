package jobs

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ownership spreads the shards over the live entries by rendezvous hashing: a
// newcomer takes only what it is to have, and an entry that goes leaves the rest alone.
type ownership struct {
	mu     sync.Mutex
	live   []string
	shards []string
	mine   map[int]bool
}

// preferred returns the shards that self is to own while live lasts.
func (o *ownership) preferred(self string, shards int, live []string) map[int]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	live = slices.Sorted(slices.Values(live))
	if slices.Equal(live, o.live) && len(o.shards) == shards {
		return o.mine
	}
	o.live, o.shards, o.mine = live, make([]string, shards), map[int]bool{}
	for shard := range shards {
		o.shards[shard] = rendezvous(shard, live)
		if o.shards[shard] == self {
			o.mine[shard] = true
		}
	}
	return o.mine
}

// rival returns the entry that is to own the shard.
func (o *ownership) rival(shard int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if shard >= len(o.shards) {
		return ""
	}
	return o.shards[shard]
}

func (o *ownership) isLive(entry string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, found := slices.BinarySearch(o.live, entry)
	return found
}

func rendezvous(shard int, live []string) string {
	best, highest := "", uint64(0)
	for _, entry := range live {
		h := xxhash.Sum64String(entry + "/" + strconv.Itoa(shard))
		if best == "" || h > highest {
			best, highest = entry, h
		}
	}
	return best
}

func (o *ownership) liveCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(len(o.live), 1)
}

func (o *ownership) ownCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.mine)
}

package assign

import (
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Owners assigns shards to live entries by rendezvous hashing. A new entry takes over only its own shards, and a failed
// entry changes only the assignment of the shards that it had. It is safe for concurrent use.
type Owners struct {
	mu     sync.Mutex
	live   []string
	owners []string
	own    map[int]bool
}

// PreferredShards returns the shards that self should own if live are the live entries. The caller must not change the
// map.
func (o *Owners) PreferredShards(self string, shards int, live []string) map[int]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	live = slices.Sorted(slices.Values(live))
	if slices.Equal(live, o.live) && len(o.owners) == shards {
		return o.own
	}
	o.live, o.owners, o.own = live, make([]string, shards), map[int]bool{}
	for shard := range shards {
		o.owners[shard] = rendezvous(shard, live)
		if o.owners[shard] == self {
			o.own[shard] = true
		}
	}
	return o.own
}

// PreferredOwner returns the entry that should own the shard, or "" if there is none.
func (o *Owners) PreferredOwner(shard int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if shard >= len(o.owners) {
		return ""
	}
	return o.owners[shard]
}

// IsLive reports whether the entry was live at the last call of PreferredShards.
func (o *Owners) IsLive(entry string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, found := slices.BinarySearch(o.live, entry)
	return found
}

// rendezvous returns the entry with the highest hash for the shard.
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

// LiveCount returns the number of live entries, at least 1.
func (o *Owners) LiveCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(len(o.live), 1)
}

// OwnCount returns the number of shards that this entry should own.
func (o *Owners) OwnCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.own)
}

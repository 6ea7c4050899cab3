package member

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
)

// SubsetSize is the average number of sides of one kind, model engines or one service, that an
// entry is linked to in a fleet too large to link every entry to every side.
const SubsetSize = 60

// minEntries is the least number of entries linked to each side. With fewer, losing two entries
// in two zones would leave a backend server idle.
const minEntries = 2

// rendezvousWeight returns the rendezvous hashing weight of a pair. It is the same in every process.
func rendezvousWeight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Preferred returns up to n ids in the order in which rendezvous hashing prefers them for the key.
func Preferred(key string, ids []string, n int) []string {
	type candidate struct {
		id     string
		weight uint64
	}
	best := make([]candidate, 0, n+1)
	for _, id := range ids {
		w := candidate{id, rendezvousWeight(key, id)}
		at, _ := slices.BinarySearchFunc(best, w, func(x, y candidate) int {
			if c := cmp.Compare(y.weight, x.weight); c != 0 {
				return c
			}
			return cmp.Compare(x.id, y.id)
		})
		if at < n {
			best = slices.Insert(best[:min(len(best), n)], at, w)
		}
	}
	best = best[:min(len(best), n)]
	out := make([]string, len(best))
	for i := range best {
		out[i] = best[i].id
	}
	return out
}

// Subset returns the sides that this entry is linked to.
//
// Each side is assigned to a few entries of its region by rendezvous hashing. If entries
// chose sides at random instead, some sides would by chance have no entry. The entries of
// one side are in different availability zones as far as possible, so that losing a zone
// leaves no side without an entry. Every entry computes the same result without messages,
// and adding or removing one entry moves only its own links. In small fleets every entry
// is linked to every side.
func Subset(self sardinerock.Instance, entries, sides []sardinerock.Instance, size int) []sardinerock.Instance {
	regional := sameRegion(self.Region, entries)
	if !slices.ContainsFunc(regional, func(x sardinerock.Instance) bool { return x.ID == self.ID }) {
		regional = append(regional, self)
	}
	withEntries := map[string]bool{}
	for _, x := range entries {
		withEntries[x.Region] = true
	}
	byService := map[string][]sardinerock.Instance{}
	for _, x := range sides {
		// Sides in a region without entries are linked to the entries of all other regions.
		if x.Region == self.Region || !withEntries[x.Region] {
			byService[x.Service] = append(byService[x.Service], x)
		}
	}
	var out []sardinerock.Instance
	for _, group := range byService {
		perSide := max(minEntries, float64(size*len(regional))/float64(len(group)))
		for _, x := range group {
			n := entryCount(x.ID, perSide)
			if n >= len(regional) || isEntryOf(self, x.ID, regional, n) {
				out = append(out, x)
			}
		}
	}
	slices.SortFunc(out, func(x, y sardinerock.Instance) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// entryCount returns the number of entries of a side. It rounds perSide up for a fraction
// of the sides, so that the average is perSide. Rounding all sides up alike, a change of
// one entry could remove a link of every side at once: 2.02 entries a side rounds up to 3,
// and 1.99 to 2.
func entryCount(side string, perSide float64) int {
	whole, part := math.Modf(perSide)
	if float64(rendezvousWeight("entries", side)) < part*math.MaxUint64 {
		whole++
	}
	return int(whole)
}

func sameRegion(region string, entries []sardinerock.Instance) []sardinerock.Instance {
	var regional []sardinerock.Instance
	for _, x := range entries {
		if x.Region == region {
			regional = append(regional, x)
		}
	}
	return regional
}

// isEntryOf reports whether self is among the n entries of a side. The zones take turns:
// each zone contributes its preferred entry before any zone contributes a second one.
func isEntryOf(self sardinerock.Instance, side string, entries []sardinerock.Instance, n int) bool {
	type candidate struct {
		id, zone string
		weight   uint64
		round    int
	}
	all := make([]candidate, len(entries))
	for i, x := range entries {
		all[i] = candidate{id: x.ID, zone: x.Zone, weight: rendezvousWeight(side, x.ID)}
	}
	slices.SortFunc(all, func(x, y candidate) int { return cmp.Compare(y.weight, x.weight) })
	rounds := map[string]int{}
	for i := range all {
		all[i].round = rounds[all[i].zone]
		rounds[all[i].zone]++
	}
	slices.SortStableFunc(all, func(x, y candidate) int { return cmp.Compare(x.round, y.round) })
	return slices.ContainsFunc(all[:n], func(c candidate) bool { return c.id == self.ID })
}

// ShardOwner is a shard of jobs with the entry that owns it according to the log.
type ShardOwner struct {
	Shard string
	Owner string
}

// watchersPerShard is how many successors watch the owner of a shard. With two, losing an
// owner together with its first successor, for example in a rack failure, is still
// detected by heartbeats rather than by the instance list, which lags.
const watchersPerShard = 2

// WatchList returns the entries that this one has to ping.
//
// In a full mesh, 370 entries would send 137,000 heartbeats per interval. Only the entry
// that would take over a shard needs to detect the loss of its owner. So the first
// successors of each shard in rendezvous order ping the owner and the successors before
// them. The cost per entry depends on the shards per entry, not on the size of the fleet.
func WatchList(self string, shards []ShardOwner, entries []string) []string {
	watched := map[string]bool{}
	for _, s := range shards {
		for _, id := range watchedFor(self, s, entries) {
			watched[id] = true
		}
	}
	out := make([]string, 0, len(watched))
	for id := range watched {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// watchedFor returns the entries that self watches for one shard: the owner and the successors
// before self. There are none if self is the owner or not one of the watchers.
func watchedFor(self string, s ShardOwner, entries []string) []string {
	if s.Owner == self || s.Owner == "" {
		return nil
	}
	ahead := []string{s.Owner}
	for _, id := range Preferred(s.Shard, entries, watchersPerShard+1) {
		if id == self {
			return ahead
		}
		if id == s.Owner {
			continue
		}
		if ahead = append(ahead, id); len(ahead) > watchersPerShard {
			return nil
		}
	}
	return nil
}

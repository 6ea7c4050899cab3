package member

import (
	"fmt"
	"testing"

	"github.com/sardinerock/sardinerock"
)

// The cost of choosing the own sides anew, for one region of the target size and two smaller ones.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{6, 24, 74} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			near, backends := entries(n), sides(30*n)
			for b.Loop() {
				Subset(near[0], near, backends, SubsetSize)
			}
		})
	}
}

// The cost of finding out whom to ping, with 2.8 shards for each entry.
func BenchmarkWatchList(b *testing.B) {
	for _, n := range []int{6, 74, 370} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprintf("e%d", i)
			}
			shards := make([]ShardOwner, n*28/10)
			for i := range shards {
				shards[i] = ShardOwner{Shard: fmt.Sprint(i), Owner: ids[i%n]}
			}
			for b.Loop() {
				WatchList(ids[0], shards, ids)
			}
		})
	}
}

var sink []sardinerock.Instance

// The cost of asking for the sides when nothing changed, which happens four times a second.
func BenchmarkTrackerSubset(b *testing.B) {
	t := &Tracker{Self: entries(1)[0]}
	t.SetList(start, append(entries(74), sides(2200)...))
	for b.Loop() {
		sink = t.Subset(SubsetSize)
	}
}

// The cost of asking who may own shards, at the target's fleet; it is asked some twenty times a second.
func BenchmarkLive(b *testing.B) {
	t := &Tracker{Self: entries(1)[0]}
	t.SetList(start, append(entries(370), sides(11000)...))
	for b.Loop() {
		t.Live(start)
	}
}

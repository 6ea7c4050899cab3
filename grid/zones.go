package grid

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ZoneByteFactor is the ByteFactor of grids that hold one zone of several: one in ZoneByteFactor bytes that
// an entry receives comes from its own zone, the others from other zones.
const ZoneByteFactor = 3

// Zones defines which entries of an availability zone send its messages to the other zones of a large
// fleet.
//
// In one grid over all zones each message would be sent separately to each entry of the other zones.
// Here two entries of a zone send all new messages in a datagram to two entries of each other zone,
// which forward them in their own grid like messages of their rows. Messages keep the hash of
// their sender's name and their sequence, so that they may arrive on any path, twice, or out of order.
type Zones struct {
	// Names are the other zones.
	Names []string
	// senders holds, by other zone, the entries of the own zone in the order in which they are
	// chosen as senders to it, and receivers those of the other zone in the order in which they are
	// chosen as receivers.
	senders, receivers map[string][]string
	// entries is the number of entries in all zones.
	entries int
	// NextSend is when the next round to the other zones is due, and Round counts the past ones. Both
	// are kept by the caller.
	NextSend time.Time
	Round    int
}

// NewZones returns nil where one grid over all zones has no drawback: where the interval depends on the
// number of datagrams and not on their bytes. It also returns nil if there is only one zone, or
// self isn't among the members, which are given with their zones.
func NewZones(self string, members map[string]string) *Zones {
	single := New(self, members)
	own, listed := members[self]
	if !listed || single.byteTime() <= single.datagramTime() {
		return nil
	}
	byZone := map[string][]string{}
	for name, zone := range members {
		byZone[zone] = append(byZone[zone], name)
	}
	if len(byZone) < 2 {
		return nil
	}
	z := &Zones{senders: map[string][]string{}, receivers: map[string][]string{}, entries: len(members)}
	for other, names := range byZone {
		if other == own {
			continue
		}
		z.Names = append(z.Names, other)
		z.senders[other] = sortByHash(byZone[own], own, other)
		z.receivers[other] = sortByHash(names, own, other)
	}
	slices.Sort(z.Names)
	return z
}

// sortByHash returns names sorted by their hashes with two zones, so that each pair of zones
// gets different senders and receivers.
func sortByHash(names []string, from, to string) []string {
	rank := func(name string) uint64 { return xxhash.Sum64String(from + "\x00" + to + "\x00" + name) }
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	return sorted
}

// Interval returns the time between two rounds to another zone; the two senders take turns.
func (z *Zones) Interval() time.Duration { return time.Duration(z.entries) * timePerEntry }

// Timeout returns the time without a message after which an entry of another zone counts as failed.
func (z *Zones) Timeout() time.Duration { return max(MinTimeout, timeoutRounds*z.Interval()) }

// SenderRank returns the rank of an entry among the live senders to another zone, from 0 on, or Senders if
// the entry isn't one of them.
func (z *Zones) SenderRank(self, other string, live func(name string) bool) int {
	rank := 0
	for _, name := range z.senders[other] {
		if name == self {
			return rank
		}
		if live(name) {
			if rank++; rank == Senders {
				break
			}
		}
	}
	return Senders
}

// Receiver returns the entry of another zone to which the sender of a rank sends: a live one, or a
// different one in each round while too few are known to be live.
func (z *Zones) Receiver(rank int, other string, live func(name string) bool) string {
	found := 0
	for _, name := range z.receivers[other] {
		if !live(name) {
			continue
		}
		if found == rank {
			return name
		}
		found++
	}
	return z.receivers[other][(z.Round+rank)%len(z.receivers[other])]
}

package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock/pool"
)

const (
	// zoneShare is the part, one in so many, of the bytes that an entry hears that come from its own zone.
	zoneShare = 3
	// zoneReaders is how many entries of a zone read for the others.
	zoneReaders = 3
)

// zones says who tells the other availability zones of a large fleet what goes on in this one.
//
// In one grid over all zones each message would cross to each entry of the other zones by
// itself. Here two entries of a zone tell two of each other zone, in a datagram of all that
// is new, and what those hear goes on in their own grid as news of their rows. Messages keep
// their sender's name and sequence, so that they may come on any way, twice, or out of order.
type zones struct {
	// names are the other zones.
	names []string
	// tell holds, by other zone, the entries of this one in the order in which they tell
	// it, and told those of the other one in the order in which they are told.
	tell, told map[string][]string
	// entries is how many there are in all zones.
	entries int
	// due is when the other zones are told next, round how often they were.
	due   time.Time
	round int
}

// newZones returns nil where one grid over all zones does as well: where the datagrams of a
// round take longer than the bytes that are told in it.
func newZones(self string, members map[string]string) *zones {
	whole := newGrid(self, members)
	own, listed := members[self]
	if !listed || whole.byteTime() <= whole.datagramTime() {
		return nil
	}
	byZone := map[string][]string{}
	for name, zone := range members {
		byZone[zone] = append(byZone[zone], name)
	}
	if len(byZone) < 2 {
		return nil
	}
	z := &zones{tell: map[string][]string{}, told: map[string][]string{}, entries: len(members)}
	for other, names := range byZone {
		if other == own {
			continue
		}
		z.names = append(z.names, other)
		z.tell[other] = ranked(byZone[own], own, other)
		z.told[other] = ranked(names, own, other)
	}
	slices.Sort(z.names)
	return z
}

// ranked sorts names by their hashes with two zones, so that each pair of zones has entries of its own.
func ranked(names []string, from, to string) []string {
	rank := func(name string) uint64 { return xxhash.Sum64String(from + "\x00" + to + "\x00" + name) }
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	return sorted
}

// interval returns the time between two messages to another zone, from the two tellers in turn.
func (z *zones) interval() time.Duration { return time.Duration(z.entries) * timePerEntry }

// timeout returns the silence after which an entry of another zone is taken as gone.
func (z *zones) timeout() time.Duration { return max(PeerTimeout, silentRounds*z.interval()) }

// teller returns which place an entry has among the live ones that tell another zone;
// tellers or more if it doesn't.
func (z *zones) teller(self, other string, live func(name string) bool) int {
	place := 0
	for _, name := range z.tell[other] {
		if name == self {
			return place
		}
		if live(name) {
			if place++; place == tellers {
				break
			}
		}
	}
	return tellers
}

// receiver returns the entry of another zone that a teller tells: a live one, or while too
// few are known another one each time.
func (z *zones) receiver(place int, other string, live func(name string) bool) string {
	found := 0
	for _, name := range z.told[other] {
		if !live(name) {
			continue
		}
		if found == place {
			return name
		}
		found++
	}
	return z.told[other][(z.round+place)%len(z.told[other])]
}

// path is the way on which a message came to this entry.
type path int

const (
	// pathColumn is from an entry of another row, which all of this row hear as well.
	pathColumn path = iota
	// pathRow is from an entry of the same row, pathZone from one of another zone.
	pathRow
	pathZone
)

// pathFrom returns the path of what a peer sends.
func (g *Gossip) pathFrom(p *peer) path {
	switch {
	case p == nil || g.zones == nil:
		return pathColumn
	case p.zone != g.zone:
		return pathZone
	case g.grid.isMate(p.name):
		return pathRow
	}
	return pathColumn
}

// isForeign says whether a sender is an entry of another zone.
func (g *Gossip) isForeign(sender uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.senders[sender]
	return g.zones != nil && p != nil && p.zone != g.zone
}

// tellZones tells the other zones what is new in this one, if this entry is to do that.
func (g *Gossip) tellZones(now time.Time) {
	z := g.zones
	if z == nil || now.Before(z.due) {
		return
	}
	z.due = now.Add(z.interval())
	z.round++
	live := g.knowsLive(now)
	for _, other := range z.names {
		place := z.teller(g.Name, other, live)
		if place != z.round%tellers {
			continue
		}
		to := z.receiver(place, other, live)
		g.send(g.unpassed(route{zone: other}, g.grid.names, pathZone, now), nil, []string{to}, now)
	}
}

// passOn passes news of other zones on at once: what came from there to this entry's row, and
// what came through the row to the columns that this entry is the first to tell. It comes
// to two rows of the zone, so that a second teller isn't needed.
func (g *Gossip) passOn(way path, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if way == pathZone {
		g.send(g.unpassed(rowRoute, g.foreign, pathZone, now), nil, g.grid.mates(), now)
	}
	for _, c := range g.grid.columns(0, g.knowsLive(now)) {
		g.send(g.unpassed(route{column: c}, g.foreign, pathRow, now), nil, g.grid.column(c), now)
	}
}

// Readers returns the addresses of the entries of this zone that read what all of them have to
// know, in the order in which this one asks them: the strongest that live, a few. There are
// none for those entries, and in fleets in which each reads for itself.
func (g *Gossip) Readers(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.zones == nil {
		return nil
	}
	var readers []string
	for _, name := range g.strongest {
		if name == g.Name {
			return nil
		}
		if p := g.peers[name]; p.toldOften(now) && !p.last.Leaving {
			if readers = append(readers, p.address.String()); len(readers) == zoneReaders {
				break
			}
		}
	}
	// Each begins with another one of them.
	if first := int(pool.Hash(g.Name)) % max(len(readers), 1); first > 0 {
		readers = append(readers[first:], readers[:first]...)
	}
	return readers
}

// byStrength sorts the entries of a zone, the strongest first.
func (g *Gossip) byStrength(names []string) []string {
	strength := func(name string) int {
		if p := g.peers[name]; p != nil {
			return p.strength
		}
		if name == g.Name {
			return g.strength
		}
		return 0
	}
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(strength(b), strength(a)), cmp.Compare(pool.Hash(a), pool.Hash(b)), cmp.Compare(a, b))
	})
	return sorted
}

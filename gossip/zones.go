package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock/grid"
	"github.com/sardinerock/sardinerock/pool"
)

// zoneReaders is the number of entries of a zone that read the store for all of it.
const zoneReaders = 3

// path is the last hop of a received message. Greater values come from further away.
type path int

const (
	// pathColumn is from an entry of another row; all entries of the own row get such messages.
	pathColumn path = iota
	// pathRow is from an entry of the own row, and pathZone from one of another zone.
	pathRow
	pathZone
)

// pathFrom returns the path of datagrams from a peer.
func (g *Gossip) pathFrom(p *peer) path {
	switch {
	case p == nil || g.zones == nil:
		return pathColumn
	case p.zone != g.zone:
		return pathZone
	case g.grid.IsRowPeer(p.name):
		return pathRow
	}
	return pathColumn
}

// isRemote reports whether a sender, given by its hash, is an entry of another zone.
func (g *Gossip) isRemote(sender uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peersByHash[sender]
	return g.zones != nil && p != nil && p.zone != g.zone
}

// sendToZones sends the new messages of this zone to the zones to which this entry is a sender.
func (g *Gossip) sendToZones(now time.Time) {
	z := g.zones
	if z == nil || now.Before(z.NextSend) {
		return
	}
	z.NextSend = now.Add(z.Interval())
	z.Round++
	live := g.liveFunc(now)
	for _, other := range z.Names {
		rank := z.SenderRank(g.Name, other, live)
		if rank != z.Round%grid.Senders {
			continue
		}
		to := z.Receiver(rank, other, live)
		g.send(g.toForward(destination{zone: other}, g.grid.Names, pathZone, now), nil, []string{to}, now)
	}
}

// forwardRemote forwards new messages of other zones at once: those from there to the own row, and
// those from the own row to the columns to which this entry is the first sender. Each such message reaches
// two rows of the zone, so that a second sender per column isn't needed.
func (g *Gossip) forwardRemote(via path, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if via == pathZone {
		g.send(g.toForward(ownRow, g.remotePeers, pathZone, now), nil, g.grid.RowPeers(), now)
	}
	for _, c := range g.grid.Columns(0, g.liveFunc(now)) {
		g.send(g.toForward(destination{column: c}, g.remotePeers, pathRow, now), nil, g.grid.Column(c), now)
	}
}

// Readers returns the addresses of the entries that read the store for the whole zone, in the order in
// which this one asks them. They are up to zoneReaders live entries, those with the greatest CPU shares. It
// returns none at those entries themselves, nor in small fleets, in which each entry reads for itself.
func (g *Gossip) Readers(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.zones == nil {
		return nil
	}
	readers, self := g.readers(now)
	if self {
		return nil
	}
	// Entries begin with different readers, which spreads the load.
	if first := int(pool.Hash(g.Name)) % max(len(readers), 1); first > 0 {
		readers = append(readers[first:], readers[:first]...)
	}
	return readers
}

// ReadsForZone reports whether this entry reads the store for its zone.
func (g *Gossip) ReadsForZone(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.zones == nil {
		return false
	}
	_, self := g.readers(now)
	return self
}

// readers returns the addresses of the readers of the zone, or true if this entry is one of them.
func (g *Gossip) readers(now time.Time) (readers []string, self bool) {
	for _, name := range g.zoneByCPU {
		if name == g.Name {
			return readers, true
		}
		if p := g.peers[name]; p.mayBeLive(now) && !p.last.Leaving {
			if readers = append(readers, p.address.String()); len(readers) == zoneReaders {
				return readers, false
			}
		}
	}
	return readers, false
}

// sortByCPU returns names sorted by CPU share, the greatest first.
func (g *Gossip) sortByCPU(names []string) []string {
	share := func(name string) int {
		if p := g.peers[name]; p != nil {
			return p.cpuPercent
		}
		if name == g.Name {
			return g.cpuPercent
		}
		return 0
	}
	sorted := slices.Clone(names)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(share(b), share(a)), cmp.Compare(pool.Hash(a), pool.Hash(b)), cmp.Compare(a, b))
	})
	return sorted
}

package grid

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MinInterval is the shortest interval between two rounds. In a burst each of a dozen entries starts
	// a run every 40 ms; its view of the others has to be more recent than that.
	MinInterval = 25 * time.Millisecond
	// MinTimeout is the shortest time without a message after which a peer counts as failed.
	MinTimeout = time.Second
	// minWidth is the least number of entries in a full row. Up to this size of the fleet each entry
	// sends to all others, which costs no more datagrams than the two hops of larger fleets.
	minWidth = 16
	// timePerDatagram is the part of the interval for each datagram of a round. It
	// limits an entry to 250 datagrams a second in fleets of any size.
	timePerDatagram = 4 * time.Millisecond
	// timePerEntry is the part of the interval for each entry of a large fleet. There the messages
	// of all entries are most of the bytes: with 40 B each, an entry sends 50 kB a
	// second in fleets of any size.
	timePerEntry = 800 * time.Microsecond
	// timeoutRounds is the timeout of a peer in rounds, if that is longer than MinTimeout. It covers
	// two hops with a lost datagram in each.
	timeoutRounds = 6
	// Senders is the number of entries of a row that send its messages to a column, in turn, and
	// of entries of a zone that send to another zone.
	Senders = 2
)

// Grid arranges entries in rows and columns, with the entries of an availability zone next to each
// other. Each entry sends its own message to its row. The messages of a row are forwarded to
// the other rows along the columns: the entry in row 2, column 5 gets those of row 1 from the
// entries in row 1, columns 5 and 6, in turn. So a message reaches all entries in two hops. In a
// round an entry sends and receives about 2√n datagrams, where n is the number of entries.
//
// If each entry sent to all others, the interval would have to grow with their number: in fleets of
// hundreds of entries, views would be older than the timeout of peers.
//
// Two entries send to each column, since one may have lost one direction of its network unnoticed by its
// row: it still sends heartbeats, but forwards old messages. If the first entries of the order are
// down, the next ones of the row replace them.
type Grid struct {
	// Names are the entries, row by row.
	Names []string
	width int
	// ByteFactor multiplies timePerEntry: 1, or ZoneByteFactor if most received bytes come from
	// other zones.
	ByteFactor int
	// self is the index of this entry in Names, or -1.
	self int
}

// New arranges entries, given with their zones, by zone and then by name. self is this entry.
func New(self string, zones map[string]string) *Grid {
	g := &Grid{self: -1, ByteFactor: 1}
	for name := range zones {
		g.Names = append(g.Names, name)
	}
	slices.SortFunc(g.Names, func(a, b string) int {
		return cmp.Or(cmp.Compare(zones[a], zones[b]), cmp.Compare(a, b))
	})
	g.width = max(minWidth, int(math.Ceil(math.Sqrt(float64(len(g.Names))))))
	g.self = slices.Index(g.Names, self)
	return g
}

// Rows returns the number of rows; the last one may be shorter than the others.
func (g *Grid) Rows() int { return (len(g.Names) + g.width - 1) / g.width }

func (g *Grid) row(n int) []string {
	return g.Names[n*g.width : min((n+1)*g.width, len(g.Names))]
}

// RowPeers returns the other entries of this entry's row, or none if this entry isn't in the grid.
func (g *Grid) RowPeers() []string {
	if g.self < 0 {
		return nil
	}
	var peers []string
	for _, name := range g.row(g.self / g.width) {
		if name != g.Names[g.self] {
			peers = append(peers, name)
		}
	}
	return peers
}

// Columns returns the columns to which this entry sends the messages of its row as the sender of
// a rank: 0 is the first live entry of the row in the order of that column, 1 the second.
func (g *Grid) Columns(rank int, live func(name string) bool) []int {
	if g.self < 0 || g.Rows() < 2 {
		return nil
	}
	row, column := g.row(g.self/g.width), g.self%g.width
	var columns []int
	for c := range g.width {
		if before := liveBefore(row, c%len(row), column, live); before == rank {
			columns = append(columns, c)
		}
	}
	return columns
}

// liveBefore counts the live entries of a row from one index up to another, wrapping
// around at the end. It stops at Senders.
func liveBefore(row []string, from, to int, live func(name string) bool) int {
	before := 0
	for i := from; i != to && before < Senders; i = (i + 1) % len(row) {
		if live(row[i]) {
			before++
		}
	}
	return before
}

// Column returns the entries of a column in the other rows. A row that is too short has
// no entry in it.
func (g *Grid) Column(c int) []string {
	var names []string
	for r := range g.Rows() {
		if row := g.row(r); r != g.self/g.width && c < len(row) {
			names = append(names, row[c])
		}
	}
	return names
}

// Interval returns the time between two rounds: the part of the datagrams or that of the entries,
// whichever is longer, and at least MinInterval.
func (g *Grid) Interval() time.Duration {
	return max(g.datagramTime(), g.byteTime(), MinInterval)
}

// datagramTime returns the least interval for the number of datagrams in a round, byteTime
// that for the number of entries of which messages are sent.
func (g *Grid) datagramTime() time.Duration {
	return time.Duration(min(len(g.Names), g.width)+g.Rows()-2) * timePerDatagram
}

func (g *Grid) byteTime() time.Duration {
	return time.Duration(g.ByteFactor*len(g.Names)) * timePerEntry
}

// IsRowPeer reports whether an entry is in this entry's row.
func (g *Grid) IsRowPeer(name string) bool {
	return g.self >= 0 && slices.Contains(g.row(g.self/g.width), name)
}

// Timeout returns the time without a message after which a peer counts as failed.
func (g *Grid) Timeout() time.Duration { return max(MinTimeout, timeoutRounds*g.Interval()) }

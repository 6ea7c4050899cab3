package items

import "time"

const (
	// maxBreaks is how many backend servers in a row may end during the runs of an item before it waits.
	maxBreaks = 3
	// breakDelay is how long it waits then. The delay doesn't grow: the item isn't the cause, and is
	// owed however many backend servers ended.
	breakDelay = 4 * time.Second
	// breakEvents is the number of events from which a run doesn't count: the item advances, and ends
	// after as many such runs as it has events.
	breakEvents = 30
)

// Breaks counts the runs of an item during which backend servers ended, one after the other. An item doesn't
// end backend servers by itself, but while they are being lost, its runs are lost with them.
type Breaks struct{ count int }

// Record records a run that received a number of events. ended is set if the backend server ended the
// connection, completed if it gave a complete response. Other runs, which were preempted or met a timeout,
// show nothing.
func (b *Breaks) Record(ended, completed bool, events int) {
	switch {
	case completed || ended && events >= breakEvents:
		b.count = 0
	case ended:
		b.count++
	}
}

// Delay returns how long the item has to wait before its next run.
func (b *Breaks) Delay() time.Duration {
	if b.count < maxBreaks {
		return 0
	}
	return breakDelay
}

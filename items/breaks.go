package items

import "time"

const (
	// maxBreaks is how many backend servers in a row may end during the runs of an item before it waits.
	maxBreaks = 3
	// breakDelay is how long it waits then. Each further one doubles the delay.
	breakDelay = 10 * time.Second
	// maxBreakDelay bounds the delay.
	maxBreakDelay = 10 * time.Minute
	// breakEvents is the number of events from which a run doesn't count: the item advances, and ends
	// after as many such runs as it has events.
	breakEvents = 30
)

// Breaks counts the runs of an item during which backend servers ended. It answers a load of one item that
// ends each backend server that runs it, and with it all other work there.
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
	return min(breakDelay<<min(b.count-maxBreaks, 10), maxBreakDelay)
}

package items

import (
	"maps"
	"time"
)

const (
	// excessRounds is the number of rounds of messages for which too many items have to run on a
	// backend server, and maxExcessDelay the longest time: an online request that waits there has
	// some 300 ms.
	excessRounds   = 1.5
	maxExcessDelay = 200 * time.Millisecond
)

// ExcessDelay returns how long too many items have to run on a backend server before one of them is
// preempted for that, where slots are reserved first.
func ExcessDelay(viewAge time.Duration) time.Duration {
	return min(time.Duration(excessRounds*float64(viewAge)), maxExcessDelay)
}

// Excess decides when items are preempted because more requests than slots are reported of a backend
// server. The zero value is ready for use.
//
// It is designed for bursts in which every slot changes from an item to an online request. The entry
// of the request and that of the item report it at different times, up to a round of messages apart.
// If an entry acted on the first report alone, a fourth of all preemptions would be of an item whose
// slot that no request needs. Where slots are reserved first, no request is sent before the slot is free.
type Excess struct {
	reports map[string]excessReport
}

// excessReport is since when and until when too many items have been reported of a backend server.
type excessReport struct {
	since, last time.Time
}

// Confirm reports whether items are to be preempted now: more than none have been reported to be too
// many for a time.
func (x *Excess) Confirm(server string, count int, delay time.Duration, now time.Time) bool {
	if count == 0 {
		delete(x.reports, server)
		return false
	}
	if delay == 0 {
		return true
	}
	report, ok := x.reports[server]
	if !ok || now.Sub(report.last) > delay {
		// Backend servers on which no item of this entry runs any more aren't asked about.
		maps.DeleteFunc(x.reports, func(_ string, r excessReport) bool { return now.Sub(r.last) > delay })
		report.since = now
	}
	report.last = now
	if x.reports == nil {
		x.reports = map[string]excessReport{}
	}
	x.reports[server] = report
	return now.Sub(report.since) >= delay
}

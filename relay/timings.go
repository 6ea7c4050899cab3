package relay

import (
	"time"

	"github.com/phuslu/log"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/pool"
)

// timings records how a request's time was spent, for the log line of its result.
// The reason for a late response can be read from that line alone.
type timings struct {
	// queued is the time spent waiting here for a slot, reserving that for asking
	// backend servers for one, failed that of attempts without a response.
	queued, reserving, failed time.Duration
	// firstByte is the time from the last attempt to its first event or byte, longestPause
	// the longest time between two events.
	firstByte, longestPause time.Duration
	// blockedBy is what held the slots when the request last had to wait: online or
	// batch work, headroom for requests that can still be on time, or slots to which this
	// entry has no right.
	blockedBy string
	// sent is when the attempt was sent, lastEvent when its last event was received.
	sent, lastEvent time.Time
}

// The values of blockedBy.
const (
	blockedByOnline = "online"
	blockedByBatch  = "batch"
	blockedByOnTime = "fresh"
	blockedByRights = "rights"
)

// add adds the time since start to one of the sums.
func (t *timings) add(sum *time.Duration, start time.Time) { *sum += time.Since(start) }

// setBlockedBy records what holds the slots while the request waits.
func (t *timings) setBlockedBy(choice *pool.Choice) {
	switch {
	case choice.Right == pool.RightNone:
		t.blockedBy = blockedByRights
	case choice.Online >= choice.Slots:
		t.blockedBy = blockedByOnline
	case choice.Full():
		t.blockedBy = blockedByBatch
	default:
		t.blockedBy = blockedByOnTime
	}
}

// attemptSent records that an attempt is sent now.
func (t *timings) attemptSent(now time.Time) { t.sent, t.lastEvent, t.firstByte = now, time.Time{}, 0 }

// headReceived records the first event or byte of an attempt.
func (t *timings) headReceived(now time.Time) {
	if t.firstByte == 0 {
		t.firstByte = now.Sub(t.sent)
	}
}

// eventReceived records an event.
func (t *timings) eventReceived(now time.Time) {
	if !t.lastEvent.IsZero() {
		t.longestPause = max(t.longestPause, now.Sub(t.lastEvent))
	}
	t.lastEvent = now
}

// addFields adds the times to a log line.
func (t *timings) addFields(e *log.Entry) *log.Entry {
	return e.Dur("inLine", t.queued).Str("behind", t.blockedBy).Dur("reserving", t.reserving).Dur("lostTries", t.failed).
		Dur("toFirst", t.firstByte).Dur("longestPause", t.longestPause)
}

// late reports whether the response missed its route's target.
func (p *proxyRequest) late() bool {
	if p.route.LatencyTarget <= 0 {
		return false
	}
	if p.route.Kind == sardinerock.RouteStream {
		return p.waitedBefore+p.firstByte > p.route.LatencyTarget || p.route.GapTarget > 0 && p.timings.longestPause > p.route.GapTarget
	}
	return p.waitedBefore+time.Since(p.received) > p.route.LatencyTarget
}

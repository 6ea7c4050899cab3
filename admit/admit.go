package admit

import (
	"cmp"
	"time"
)

const (
	// runMargin is the time that must be left until the deadline when a request starts,
	// in average run times; long responses take twice the average.
	runMargin = 2
	// maxQueueShare is how many requests may wait for a slot at a backend server, as
	// a share of its slots. Requests further back would miss their deadline anyway,
	// so they are rejected at once.
	maxQueueShare = 1.0
	// startMargin is how long before its latest start a request stops waiting here.
	// It covers a few polls for a free slot and the transfer to a backend server.
	startMargin = 60 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay that a rejected caller
	// receives. Within a third of a run hardly any slot is freed; callers don't wait
	// longer than the maximum.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// Request is the input for the admission decision on one online request.
type Request struct {
	// Online is how many requests the least loaded backend server runs and has
	// queued, Slots how many it runs at once.
	Online, Slots int
	// Run is the average run time at that backend server, FirstByte the average time until the
	// first event. AverageRun is the average run time over all backend servers, Run if 0.
	Run, FirstByte, AverageRun time.Duration
	// Waited is how long the caller has waited, over all its attempts; Remaining
	// is the time until its deadline.
	Waited, Remaining time.Duration
	// StartTimeout is the time until the caller disconnects if its response has not started.
	StartTimeout time.Duration
	// Target is the time within which a stream has to start, or any other response to
	// be complete, counted from the same time as Waited.
	Target time.Duration
	Stream bool
	// Reserves is set if a slot is reserved before the request is sent.
	Reserves bool
	// Started is set once the caller has received a part of the response.
	Started bool
	// MustYield is set if requests that come before this one wait at this entry for a
	// slot: it misses its target in any case and they can still meet theirs, or their
	// priority or team comes first.
	MustYield bool
	// AboveShare is set if the caller's team uses more than its fair share of the slots
	// while other teams have requests.
	AboveShare bool
	// Headroom is how many slots of a backend server late requests, and those of a team
	// above its share, leave free for those that can still meet their target.
	Headroom int
	// Ahead is how many requests of this entry get a slot before this one, Share
	// how many slots become free for this entry's requests during one run.
	Ahead, Share int
}

// Action says how to handle a request.
type Action int

// The possible actions.
const (
	// Send sends the request to the backend server now.
	Send Action = iota
	// Wait queues the request at this entry until a slot is free or its time runs short.
	Wait
	// Reject rejects the request now.
	Reject
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// QueueTime is how long the request would wait for a slot of this entry.
	QueueTime time.Duration
	// RetryAfter is the delay after which a rejected caller should retry; 0 unless
	// Action is Reject.
	RetryAfter time.Duration
}

// Decide decides whether a request is sent, waits at this entry, or is rejected.
//
// It is designed for this overload: all entries fail for two seconds, and the
// callers of that time all retry at once, together with the normal load. Backend
// servers process requests in order of arrival. If all were sent at once, requests
// that are already late would be queued before new ones and make each of them late
// too, until the queue is empty. So a request is queued at a backend server only
// if it can still start on time there. All others wait at the entry, where newer
// requests can overtake them, and are sent when a slot is free or their time runs
// short. If slots are reserved, every request that finds no free slot waits at the
// entry: the requests that other entries have queued at a backend server are not
// visible, and a request that waits here gets a slot just as early.
//
// Callers of a stream disconnect after some seconds without an event, long before
// their deadline. If no slot can become free by then, the request is rejected at
// once. Otherwise the caller would wait for nothing, and a slot assigned at the
// last moment would run for a caller that has disconnected.
func (r *Request) Decide() Decision {
	// A broken stream is resumed at once, since its caller sees any wait as a pause.
	if r.Started {
		return Decision{Action: Send}
	}
	startBy := r.StartTimeout - r.serviceTime()
	latest := min(startBy, r.Remaining-runMargin*r.Run)
	runsAhead := max(r.Online-r.Slots+1, 0)
	if late := r.Waited+r.serviceTime() > r.Target; r.Reserves && (late || r.AboveShare) && latest > r.Run {
		runsAhead = max(r.Online-r.Slots+1+min(r.Headroom, r.Slots/3), 0)
	}
	if runsAhead == 0 && (!r.MustYield || latest < startMargin) {
		return Decision{Action: Send}
	}
	wait := time.Duration(runsAhead) * r.Run / time.Duration(r.Slots)
	if !r.Reserves && r.Waited+wait+r.serviceTime() <= r.Target {
		return Decision{Action: Send}
	}
	d := Decision{Action: Wait, QueueTime: time.Duration(r.Ahead+1) * cmp.Or(r.AverageRun, r.Run) / time.Duration(max(r.Share, 1))}
	hasRoom := float64(r.Online) < float64(r.Slots)*(1+maxQueueShare)
	switch {
	case startBy >= wait && latest < wait+startMargin && hasRoom:
		// This is the last moment at which the request can still be served in time.
		d.Action = Send
	case latest < max(wait+startMargin, d.QueueTime):
		d.Action = Reject
		// After this delay the queue time is down to what the caller can wait now.
		d.RetryAfter = min(max(d.QueueTime-latest, minRetryAfter), maxRetryAfter)
	}
	return d
}

// serviceTime is how long after its start a request meets its target: a stream
// with its first event, any other request with the complete response.
func (r *Request) serviceTime() time.Duration {
	if r.Stream {
		return r.FirstByte
	}
	return r.Run
}

// Share returns how many slots become free for an entry's requests during one
// run. That is the number of slots that its own requests hold, but at least its
// equal part of all slots, since it holds none right after a start.
func Share(own, slots, entries int) int { return max(own, slots/max(entries, 1), 1) }

// SpreadRetry returns a random retry delay up to half shorter or longer than the given one;
// draw is a random number in [0, 1).
//
// It is designed for bursts in which hundreds of callers are rejected within a second: with
// nearly the same delay they all retry at once, and most of them are rejected again.
func SpreadRetry(after time.Duration, draw float64) time.Duration {
	least, most := max(after/2, minRetryAfter), min(after+after/2, maxRetryAfter)
	return least + time.Duration(draw*float64(most-least))
}

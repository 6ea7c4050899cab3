package admit

import "time"

const (
	// firstEventTime is from the beginning of a run to its first event: reading
	// a prompt of 450 tokens at 85 tokens/ms and the first steps take 20 to 30 ms.
	firstEventTime = 40 * time.Millisecond
	// serveMargin is kept of a request's time beyond the time that a run takes
	// on average; long answers take twice that.
	serveMargin = 2
	// waitingShare of a backend server's slots may wait at it for a slot. What
	// waits longer misses its time at the caller anyway, who had better hear so at once.
	waitingShare = 1.0
	// lateReserve is how many slots of a backend server are left to requests that
	// can still be answered in time, by those that can't: fresh ones took a fifth
	// of all slots between bursts. Late ones have seconds left, and take them too
	// when their time runs short.
	lateReserve = 2
	// heldRuns is how many runs a slot can do while a request waits: five
	// seconds of patience, less two at the end, in runs of 0.7 s.
	heldRuns = 4
)

// Request is what decides whether an online request is sent now.
type Request struct {
	// Online is what the least loaded backend server runs and has waiting, Slots what it runs at once.
	Online, Slots int
	// Run is how long a run takes on average.
	Run time.Duration
	// Waited is how long the caller has waited, over all its tries; Left is the time until it gives up.
	Waited, Left time.Duration
	// Target is the time within which the answer has to begin, or to be whole if it is no stream.
	Target time.Duration
	Stream bool
	// Reserves says that a slot is reserved before the request is sent.
	Reserves bool
	// Begun is set once the caller has a part of the answer.
	Begun bool
	// Held is how many requests this entry holds back, Most how many can be served in time.
	Held, Most int
}

// Action is what is done with a request.
type Action int

// The actions.
const (
	// Send passes it on now.
	Send Action = iota
	// Hold keeps it until a slot is free or its time runs short.
	Hold
	// Refuse gives its final answer now.
	Refuse
)

// Decide orders requests when all slots are taken. The load that it answers:
// all entries were lost for two seconds, and whoever asked meanwhile asks again
// at the same moment, together with the ordinary load. Backend servers take
// requests in order of arrival; if all were sent at once, those whose time is
// over anyway would stand in front of the fresh ones and make each of them late
// too, for as long as the queue lasts. So a request waits at a backend server
// only if it will still begin in time there; all others wait here, where a
// fresh one can overtake them, and go once there is room or their time is short.
// Where slots are reserved all wait here: what others have waiting at a backend
// server can't be seen, and a slot that comes free is found here as soon.
func (a *Request) Decide() Action {
	// A stream that broke goes on at once: its caller sees each moment of it as a pause.
	if a.Begun {
		return Send
	}
	needed := firstEventTime
	if !a.Stream {
		needed = a.Run
	}
	ahead := a.Online - a.Slots + 1
	if a.Reserves && a.Waited+needed > a.Target && a.Left > 2*serveMargin*a.Run {
		ahead += min(lateReserve, a.Slots/3)
	}
	if ahead <= 0 {
		return Send
	}
	wait := time.Duration(ahead) * a.Run / time.Duration(a.Slots)
	if !a.Reserves && a.Waited+wait+needed <= a.Target {
		return Send
	}
	if a.Left < wait+serveMargin*a.Run {
		// Later it could not be whole in time; now it may be.
		if float64(a.Online) < float64(a.Slots)*(1+waitingShare) {
			return Send
		}
		return Refuse
	}
	if a.Held >= a.Most {
		return Refuse
	}
	return Hold
}

// Most returns how many requests an entry may hold back: as many as the slots
// of a service can still serve in time, shared out among the entries.
func Most(slots, entries int) int { return heldRuns * slots / max(entries, 1) }

package runner

import (
	"strconv"
	"time"
)

// effort learns how long items hold a slot; its zero value knows nothing and
// takes every item as done in no time.
type effort struct {
	// event is the time of one event, length the events of a whole item, both on average.
	event  time.Duration
	length float64
}

const (
	// effortWeight is the share, one in so many, that one item has in an average:
	// some seconds' worth of items at one entry.
	effortWeight = 16
	// breakTime is what an item that hasn't begun needs beyond its own time: it is
	// broken off by bursts, which last two seconds and come every five.
	breakTime = 2500 * time.Millisecond
)

// ran takes a run that brought some events.
func (e *effort) ran(events int, took time.Duration) {
	if events <= 0 {
		return
	}
	one := took / time.Duration(events)
	if e.event == 0 {
		e.event = one
	}
	e.event += (one - e.event) / effortWeight
}

// done takes the number of events of an item that is whole.
func (e *effort) done(events int) {
	if events <= 0 {
		return
	}
	if e.length == 0 {
		e.length = float64(events)
	}
	e.length += (float64(events) - e.length) / effortWeight
}

// need returns how long an item will hold a slot that has come to an event.
func (e *effort) need(lastEvent string) time.Duration {
	came := eventNumber(lastEvent)
	left := max(e.length-float64(came), 1)
	if came == 0 {
		return breakTime + time.Duration(left)*e.event
	}
	return time.Duration(left) * e.event
}

// inTime says whether an item can be done by the time it is due.
//
// The load that it answers: more items than all slots can do, for as long as a
// backend server is away or bursts are larger than usual. In the order of their
// due times alone, each item would get its slot just when it is too late, and
// all of them would come late; those that are late already make the others
// late too. So they run last, in slots that no other item wants, and an item
// isn't begun with too little time for the bursts that it will have to outlast.
func (e *effort) inTime(lastEvent string, due, now time.Time) bool {
	return !now.Add(e.need(lastEvent)).After(due)
}

// eventNumber returns how many events a stream had by one of its ids, which count from 1.
func eventNumber(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return n
}

package items

import (
	"math"
	"strconv"
	"time"
)

// Estimator estimates from past runs how long items hold a slot. The zero value has no data and
// estimates that every item takes no time.
type Estimator struct {
	// runTime and runEvents are the duration of past runs and the events that they produced, as
	// sums in which older runs decay.
	runTime   time.Duration
	runEvents float64
	// itemEvents is the average number of events of a completed item. itemStall is the average
	// time for which an item was stalled between its first event and its completion.
	itemEvents float64
	itemStall  time.Duration
}

const (
	// averageWeight sets the weight of one item in an average, 1/averageWeight: an average covers
	// the items that one entry completes in some seconds.
	averageWeight = 16
	// decayEvents is the number of events after which a run's weight in the sums falls to 1/e.
	// The sums cover as many items as the averages if items have about 200 events.
	decayEvents = 200 * averageWeight
)

// RecordRun adds a run that produced some events. Runs are weighted by their events: most runs
// are aborted after a few events, and with equal weights their time to the first event would
// double the estimated time per event.
func (e *Estimator) RecordRun(events int, took time.Duration) {
	if events <= 0 {
		return
	}
	decay := math.Exp(-float64(events) / decayEvents)
	e.runTime = time.Duration(decay*float64(e.runTime)) + took
	e.runEvents = decay*e.runEvents + float64(events)
}

// RecordItem adds a completed item: the number of its events, and how long it was stalled.
func (e *Estimator) RecordItem(events int, stalled time.Duration) {
	if events <= 0 {
		return
	}
	if e.itemEvents == 0 {
		e.itemEvents, e.itemStall = float64(events), stalled
	}
	e.itemEvents += (float64(events) - e.itemEvents) / averageWeight
	e.itemStall += (stalled - e.itemStall) / averageWeight
}

// remainingTime estimates how long an item takes to complete if it continues now after lastEvent.
// An item that hasn't started is expected to be stalled as long as others were, while bursts hold
// its slot. For an item in progress, that time shrinks with the share of events that remain.
func (e *Estimator) remainingTime(lastEvent string) time.Duration {
	if e.runEvents == 0 || e.itemEvents == 0 {
		return 0
	}
	return e.remainingRun(lastEvent) + time.Duration(e.remainingEvents(lastEvent)/e.itemEvents*float64(e.itemStall))
}

// remainingEvents estimates how many events an item has still to produce after lastEvent.
func (e *Estimator) remainingEvents(lastEvent string) float64 {
	return max(e.itemEvents-float64(EventNumber(lastEvent)), 1)
}

// RemainingEvents estimates how many events an item has still to produce after lastEvent.
func (e *Estimator) RemainingEvents(lastEvent string) int { return int(e.remainingEvents(lastEvent)) }

// remainingRun estimates how long an item still holds slots after lastEvent; 0 without data.
func (e *Estimator) remainingRun(lastEvent string) time.Duration {
	if e.runEvents == 0 || e.itemEvents == 0 {
		return 0
	}
	return time.Duration(e.remainingEvents(lastEvent) * float64(e.runTime) / e.runEvents)
}

// MeetsDeadline reports whether an item can be completed by the time it is due.
//
// It matters under overload, when there are more items than all slots can process: while a backend
// server is unavailable or bursts are larger than usual. If items ran only in the order of their
// due times, each would get its slot when it is already too late, and all results would be late;
// items that are already late would also delay the others. So late items run last, in slots that
// no other item needs, and an item isn't started if it is unlikely to complete in time given the
// expected bursts.
func (e *Estimator) MeetsDeadline(lastEvent string, due, now time.Time) bool {
	return !now.Add(e.remainingTime(lastEvent)).After(due)
}

// EventNumber returns the number of events up to the one with an id. Ids of a stream count from
// 1. The result is 0 if id isn't a number.
func EventNumber(id string) int {
	if id == "" {
		return 0
	}
	n, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return n
}

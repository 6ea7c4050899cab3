package invoke

import (
	"time"

	"github.com/phuslu/log"
)

// Timing is how an item's time at this entry was spent. It is logged with the item's result.
type Timing struct {
	// Runs counts the runs, preempted those that were preempted. runTime is the total
	// duration of all runs.
	Runs, preempted int
	runTime         time.Duration
	// stopped is when the last run ended. Stalled is the total time between runs, since the
	// first run ended.
	stopped time.Time
	Stalled time.Duration
	// Resumed is set if another entry had started the item.
	Resumed bool
}

// RunStarted records the start of a run.
func (t *Timing) RunStarted(now time.Time) {
	if !t.stopped.IsZero() {
		t.Stalled += now.Sub(t.stopped)
	}
}

// RunStopped records the end of a run.
func (t *Timing) RunStopped(took time.Duration, preempted bool) {
	t.stopped = time.Now()
	t.Runs++
	t.runTime += took
	if preempted {
		t.preempted++
	}
}

// Fields adds the timing to the log line of an item's result. created is when the job was
// accepted, due the item's due time (zero if unknown), and began when the result was ready to
// be recorded.
func (t *Timing) Fields(e *log.Entry, created, due, began time.Time) *log.Entry {
	now := time.Now()
	e = e.Dur("age", now.Sub(created)).Dur("ran", t.runTime).Dur("recording", now.Sub(began)).
		Int("runs", t.Runs).Int("gaveWay", t.preempted).Bool("resumed", t.Resumed)
	if !due.IsZero() && now.After(due) {
		e = e.Dur("late", now.Sub(due))
	}
	return e
}

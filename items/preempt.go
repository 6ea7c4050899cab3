package items

import "time"

// promptTime is the slot time for reading an item's prompt again, some 350 tokens.
const promptTime = 75 * time.Millisecond

// Run is a run of an item, for the choice which one is preempted.
type Run struct {
	// LastEvent is the id of the item's last received event.
	LastEvent string
	Due       time.Time
	Started   time.Time
	// Factor is the time per event of its backend server relative to the usual one.
	Factor float64
}

// classes of runs in the order in which they are preempted.
const (
	// classLate are items that can't be completed in time anyway.
	classLate = iota
	// classInTime are items that can be completed in time also if they are preempted.
	classInTime
	// classMadeLate are items that the preemption would make late.
	classMadeLate
)

// Preempted returns the index of the run that is preempted for an online request; -1 if there is none.
//
// It is designed for bursts of online requests that preempt a third of all runs at once. The slot time
// of an interrupted run and its prompt are the cost of a preemption; a run near its end frees its slot
// soon without one. So the run with the least slot time for the time that it still needs is preempted.
// An item that the preemption would make late is preempted last.
func (e *Estimator) Preempted(runs []Run, now time.Time) int {
	best, bestClass, bestCost := -1, 0, 0.0
	for n := range runs {
		class, cost := e.class(&runs[n], now), e.preemptionCost(&runs[n], now)
		if best < 0 || class < bestClass || class == bestClass && cost < bestCost {
			best, bestClass, bestCost = n, class, cost
		}
	}
	return best
}

func (e *Estimator) class(r *Run, now time.Time) int {
	left := r.Due.Sub(now)
	switch {
	case e.remainingTime(r.LastEvent) > left:
		return classLate
	case e.remainingRun(r.LastEvent)+promptTime+e.itemStall > left:
		return classMadeLate
	}
	return classInTime
}

// preemptionCost returns the slot time that a preemption wastes, relative to the time for which the
// run would hold its slot otherwise.
func (e *Estimator) preemptionCost(r *Run, now time.Time) float64 {
	wasted := now.Sub(r.Started) + promptTime
	remaining := time.Duration(r.Factor * float64(e.remainingRun(r.LastEvent)))
	return wasted.Seconds() / max(remaining, promptTime).Seconds()
}

// riskFactor multiplies the estimated time to complete an item. Bursts vary by a fifth, and an item
// that waits for free slots may miss all of a lull.
const riskFactor = 1.5

// AtRisk reports whether an item is likely to miss its due time if it waits for more free slots.
func (e *Estimator) AtRisk(lastEvent string, due, now time.Time) bool {
	return time.Duration(riskFactor*float64(e.remainingTime(lastEvent))) > due.Sub(now)
}

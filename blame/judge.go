package blame

import (
	"cmp"
	"slices"
	"time"
)

const (
	// togetherTime is the greatest time between the ends of backend servers that are lost together, and maxTogether the
	// number of such failures that count.
	togetherTime = 50 * time.Millisecond
	maxTogether  = 2
	// minShare is the least share of them, as one in so many, that ran requests with their cause. Two
	// parts that end backend servers may do so at the same time.
	minShare = 2
)

// failure is a run that its backend server broke off before it had written for SettleTime.
type failure struct {
	id     failureID
	server uint32
	// causes are those that may have ended the backend server: none of them is known to be innocent.
	causes       []Cause
	sent, failed time.Time
	// end numbers the ends of backend servers. An id isn't enough: a backend server may start again under its id.
	end int
	// explained is set if a single blamed cause ended the backend server.
	explained bool
}

// failureID identifies a failure. The source is 0 for failures at this entry.
type failureID struct {
	source uint64
	number uint32
}

// suspicion is what failures show about causes that can't be told apart by them.
type suspicion struct {
	// causes are sorted.
	causes []Cause
	// runs is the greatest number of failed runs one after the other, ends are the ends of backend servers of all of them.
	runs int
	ends ends
	// first and latest are the times of the first and the latest failure.
	first, latest time.Time
}

// ends is a set of ends of backend servers.
type ends map[int]bool

// equal reports whether two sets are the same.
func (e ends) equal(other ends) bool { return len(e) == len(other) && e.within(other) }

// within reports whether all elements are in another set.
func (e ends) within(other ends) bool {
	for end := range e {
		if !other[end] {
			return false
		}
	}
	return true
}

// numberEnds numbers the ends of backend servers behind failures that are sorted by their time.
func numberEnds(failures []*failure, margin time.Duration) {
	latest := map[uint32]*failure{}
	for n, f := range failures {
		f.end = n
		if last := latest[f.server]; last != nil && f.failed.Sub(last.failed) <= togetherTime+margin {
			f.end = last.end
		}
		latest[f.server] = f
	}
}

// strongest returns the causes with the most failed runs one after the other. Runs that were in progress at the
// same time may have been lost together and count once. margin is the error of the time between failures at
// different entries. The failures are sorted by their time.
//
// A cause that ends backend servers is in a failed run at each of them, whatever else these requests hold. Other parts
// are in fewer, as long as requests with the cause differ in them.
func strongest(failures []*failure, margin time.Duration) suspicion {
	byCause := map[Cause][]*failure{}
	for n, f := range failures {
		if f.explained {
			continue
		}
		together := lostTogether(failures, n, margin)
		for _, c := range f.causes {
			if together.mayBeCause(c) {
				byCause[c] = append(byCause[c], f)
			}
		}
	}
	var best suspicion
	for c, list := range byCause {
		runs := consecutive(list, margin)
		if runs < best.runs {
			continue
		}
		of := ends{}
		for _, f := range list {
			of[f.end] = true
		}
		order := cmp.Or(cmp.Compare(runs, best.runs), cmp.Compare(len(of), len(best.ends)))
		switch {
		case order > 0 || order == 0 && !of.equal(best.ends) && c < best.causes[0]:
			best = suspicion{causes: []Cause{c}, runs: runs, ends: of, first: list[0].failed, latest: list[len(list)-1].failed}
		case order == 0 && of.equal(best.ends):
			best.causes = append(best.causes, c)
		}
	}
	slices.Sort(best.causes)
	return best
}

// lostServers holds the failed runs at backend servers that ended at about the same time, by their ends.
type lostServers map[int][]*failure

// lostTogether returns the backend servers that ended at about the same time as that of a failure.
func lostTogether(failures []*failure, n int, margin time.Duration) lostServers {
	lost := lostServers{}
	add := func(f *failure) (near bool) {
		window := togetherTime + f.errorTo(failures[n], margin)
		distance := f.failed.Sub(failures[n].failed).Abs()
		if distance <= window && !f.explained {
			lost[f.end] = append(lost[f.end], f)
		}
		return distance <= togetherTime+margin
	}
	for i := n; i < len(failures) && add(failures[i]); i++ {
	}
	for i := n - 1; i >= 0 && add(failures[i]); i-- {
	}
	return lost
}

// mayBeCause reports whether a cause may have ended these backend servers. If many end at the same time, a cause that
// only few of them ran has nothing to do with it.
func (l lostServers) mayBeCause(c Cause) bool {
	with := 0
	for _, list := range l {
		if slices.ContainsFunc(list, func(f *failure) bool { return slices.Contains(f.causes, c) }) {
			with++
		}
	}
	return with*minShare >= len(l)
}

// consecutive returns how many of the failed runs were sent after the one before had failed. Of those that failed at
// about the same time only maxTogether count: when many backend servers are lost, a request that is retried at once may
// fail with several of them.
func consecutive(list []*failure, margin time.Duration) int {
	var last, first *failure
	runs, together := 0, 0
	for _, f := range list {
		if last != nil && f.sent.Before(last.failed.Add(f.errorTo(last, margin))) {
			continue
		}
		if first == nil || f.failed.Sub(first.failed) > togetherTime+f.errorTo(first, margin) {
			first, together = f, 0
		}
		last = f
		if together++; together <= maxTogether {
			runs++
		}
	}
	return runs
}

// errorTo returns the error of the time between two failures: that between those of one entry is exact.
func (f *failure) errorTo(other *failure, margin time.Duration) time.Duration {
	if f.id.source == other.id.source {
		return 0
	}
	return margin
}

// without returns the failures that don't belong to the given ends.
func without(failures []*failure, of ends) []*failure {
	return slices.DeleteFunc(slices.Clone(failures), func(f *failure) bool { return of[f.end] })
}

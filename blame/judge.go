package blame

import (
	"cmp"
	"math/bits"
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
	// lost are the ends at about the same time.
	lost *ends
	// explained is set if a single blamed cause ended the backend server.
	explained bool
}

// failureID identifies a failure. The source is 0 for failures at this entry.
type failureID struct {
	source uint64
	number uint32
}

// suspicion is what failures show about causes that they don't distinguish.
type suspicion struct {
	// causes are sorted.
	causes []Cause
	// runs is the greatest number of failed runs one after the other, ends are the ends of backend servers of all of them.
	runs int
	ends ends
	// first and latest are the times of the first and the latest failure.
	first, latest time.Time
}

// ends is a set of ends of backend servers, by their numbers.
type ends [maxFailures / 64]uint64

func (e *ends) add(end int) { e[end/64] |= 1 << (end % 64) }

func (e *ends) has(end int) bool { return e[end/64]&(1<<(end%64)) != 0 }

// within reports whether all elements are in another set.
func (e *ends) within(other *ends) bool {
	for n := range e {
		if e[n]&^other[n] != 0 {
			return false
		}
	}
	return true
}

func (e *ends) len() int {
	count := 0
	for _, word := range e {
		count += bits.OnesCount64(word)
	}
	return count
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

// judge returns what failures show about each cause, those left out that can't be its doing. margin is the error of the
// time between failures at different entries. The failures are sorted by their time.
func judge(failures []*failure, margin time.Duration) map[Cause]*suspicion {
	byCause := map[Cause][]*failure{}
	for _, f := range failures {
		if f.explained {
			continue
		}
		for _, c := range f.causes {
			byCause[c] = append(byCause[c], f)
		}
	}
	all := make([]ends, len(failures))
	for n, f := range failures {
		all[n] = f.lostWith(failures, margin)
		f.lost = &all[n]
	}
	suspicions := map[Cause]*suspicion{}
	for c, list := range byCause {
		counted := make([]*failure, 0, len(list))
		for _, f := range list {
			// If many backend servers end at the same time, a cause that only few of them ran has nothing to do with it.
			if with := f.lostWith(list, margin); with.len()*minShare >= f.lost.len() {
				counted = append(counted, f)
			}
		}
		if len(counted) == 0 {
			continue
		}
		s := &suspicion{causes: []Cause{c}, runs: consecutive(counted, margin), first: counted[0].failed, latest: counted[len(counted)-1].failed}
		for _, f := range counted {
			s.ends.add(f.end)
		}
		suspicions[c] = s
	}
	return suspicions
}

// lostWith returns the ends among failures that happened at about the same time as that of a failure.
func (f *failure) lostWith(failures []*failure, margin time.Duration) (lost ends) {
	n, _ := slices.BinarySearchFunc(failures, f.failed.Add(-togetherTime-margin), func(other *failure, at time.Time) int { return other.failed.Compare(at) })
	for _, other := range failures[n:] {
		distance := other.failed.Sub(f.failed)
		if distance > togetherTime+margin {
			break
		}
		if !other.explained && distance.Abs() <= togetherTime+f.errorTo(other, margin) {
			lost.add(other.end)
		}
	}
	return lost
}

// strongest returns the causes with the most failed runs one after the other, and with the same ends.
//
// A cause that ends backend servers is in a failed run at each of them, whatever else these requests hold. Other parts
// are in fewer, as long as requests with the cause differ in them.
func strongest(suspicions map[Cause]*suspicion) suspicion {
	var best suspicion
	for c, s := range suspicions {
		order := cmp.Or(cmp.Compare(s.runs, best.runs), cmp.Compare(s.ends.len(), best.ends.len()))
		switch {
		case order > 0 || order == 0 && s.ends != best.ends && c < best.causes[0]:
			best = *s
			best.causes = slices.Clone(s.causes)
		case order == 0 && s.ends == best.ends:
			best.causes = append(best.causes, c)
		}
	}
	slices.Sort(best.causes)
	return best
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
func without(failures []*failure, of *ends) []*failure {
	return slices.DeleteFunc(slices.Clone(failures), func(f *failure) bool { return of.has(f.end) })
}

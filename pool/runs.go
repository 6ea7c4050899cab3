package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// runsCacheTime is how long the list of runs to preempt is reused. Making it iterates over the
	// runs of all entries.
	runsCacheTime = 50 * time.Millisecond
	// askedTime is how long a run that this entry has asked to be preempted isn't chosen again: until
	// the report of its holder shows the end of the run.
	askedTime = 300 * time.Millisecond
	// candidatesPerEntry is the number of runs, for each entry, among which a run to preempt is
	// chosen. At the beginning of a burst each entry preempts about one run within the age of a view.
	// With fewer, several entries often choose the same run; with more, older runs are preempted.
	candidatesPerEntry = 1.5
)

// Preferences between full backend servers, by the run that would be preempted there. They are added
// to a rank, and are smaller than rankPreempt.
const (
	// preferAssigned is the preference of a run that is among the youngest of the service and
	// assigned to this entry.
	preferAssigned = 0
	// preferYoung is that of another one of the youngest runs.
	preferYoung = 1
	// preferOther is that of any other run.
	preferOther = 2
)

// runKey identifies the runs of an entry at a backend server.
type runKey struct {
	holder string
	server *server
}

// run is what is known of the youngest run of an entry at a backend server.
type run struct {
	runKey
	started time.Time
}

// runs chooses the runs that online requests preempt, for one service.
//
// It is designed for bursts that take a third of all slots from batch items within half a second. An
// interrupted run is wasted in so far as the item's prompt is read again and its slot time was spent
// before the peak; the youngest runs have used the least slot time. An entry seldom has two runs at one
// backend server, so the choice has to be made among the runs of all entries. If all entries chose the
// youngest run in their views of 0.1 s, many would choose the same one, and all but one would find no
// slot. So each run is assigned to one entry by a hash, and an entry chooses among the youngest runs
// those that are assigned to it first.
type runs struct {
	at time.Time
	// list holds the youngest runs, best how this entry prefers them by backend server.
	list []run
	best map[*server]preference
	// asked holds when this entry has asked for a preemption.
	asked map[runKey]time.Time
}

// preference is the run that this entry would preempt at a backend server.
type preference struct {
	holder string
	rank   float64
}

// startedRuns returns, by backend server, when the last run of a report started: now if the count has
// risen since the last report.
func startedRuns(last *peer, loads []Load, now time.Time) map[uint32]time.Time {
	var started map[uint32]time.Time
	for _, l := range loads {
		if l.Batch == 0 {
			continue
		}
		at := now
		if last != nil {
			if before, ok := last.started[l.Server]; ok && last.loads[l.Server].Batch >= l.Batch {
				at = before
			}
		}
		if started == nil {
			started = map[uint32]time.Time{}
		}
		started[l.Server] = at
	}
	return started
}

// preemptRank returns the preference of a full backend server, 0 for a service that doesn't state starts.
func (p *Pool) preemptRank(s *server, now time.Time) float64 {
	if !p.statesStarts[s.Service] {
		return 0
	}
	r := p.runsOf(s.Service, now)
	if best, ok := r.best[s]; ok {
		return best.rank
	}
	return preferOther
}

// PreemptHolder returns the entry whose run at a backend server is to be preempted for an online
// request: this one or another. It returns false if that is not known.
func (p *Pool) PreemptHolder(id string, now time.Time) (name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || !p.statesStarts[s.Service] {
		return "", false
	}
	r := p.runsOf(s.Service, now)
	best, ok := r.best[s]
	if !ok {
		return "", false
	}
	r.asked[runKey{best.holder, s}] = now
	r.prefer(p)
	return best.holder, true
}

// runsOf returns the runs of a service, which it updates if they are too old.
func (p *Pool) runsOf(service string, now time.Time) *runs {
	if p.runs == nil {
		p.runs = map[string]*runs{}
	}
	r := p.runs[service]
	if r == nil {
		r = &runs{best: map[*server]preference{}, asked: map[runKey]time.Time{}}
		p.runs[service] = r
	}
	if elapsed := now.Sub(r.at); elapsed < 0 || elapsed >= runsCacheTime {
		r.at = now
		r.update(p, service, now)
	}
	return r
}

// update lists the youngest runs of a service.
func (r *runs) update(p *Pool, service string, now time.Time) {
	r.list = r.list[:0]
	for name, report := range p.peers {
		for hash, started := range report.started {
			if s := p.byHash[hash]; s != nil && s.Service == service {
				r.list = append(r.list, run{runKey{name, s}, started})
			}
		}
	}
	for _, s := range p.busy {
		if s.batch > 0 && s.Service == service {
			r.list = append(r.list, run{runKey{p.Name, s}, s.batchStarted})
		}
	}
	slices.SortFunc(r.list, func(a, b run) int { return b.started.Compare(a.started) })
	n := int(candidatesPerEntry * float64(len(p.peers)+1))
	r.list = r.list[:min(n, len(r.list))]
	maps.DeleteFunc(r.asked, func(_ runKey, at time.Time) bool { return now.Sub(at) >= askedTime })
	r.prefer(p)
}

// prefer sets the preferences.
func (r *runs) prefer(p *Pool) {
	clear(r.best)
	entries := uint32(len(p.peers) + 1)
	own := p.position()
	for n, run := range r.list {
		if _, ok := r.asked[run.runKey]; ok {
			continue
		}
		rank := float64(preferYoung)
		if (run.server.hash^Hash(run.holder)*hashFactor)%entries == own {
			rank = preferAssigned + float64(n)/float64(len(r.list))
		}
		if best, ok := r.best[run.server]; !ok || rank < best.rank {
			r.best[run.server] = preference{run.holder, rank}
		}
	}
}

// hashFactor mixes the hash of an entry with that of a backend server.
const hashFactor = 2654435761

// position returns the position of this entry's name among those of all entries.
func (p *Pool) position() uint32 {
	n := uint32(0)
	for name := range p.peers {
		if cmp.Less(name, p.Name) {
			n++
		}
	}
	return n
}

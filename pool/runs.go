package pool

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// runsCacheTime is how long the list of runs to preempt is reused. Making it iterates over the
	// runs of all entries.
	runsCacheTime = 50 * time.Millisecond
	// minAskedTime is the minimum time for which a run that this entry has asked to be preempted isn't
	// chosen again: until the report of its holder shows the end of the run, which takes askedAges
	// times the average age of the reports.
	minAskedTime = 300 * time.Millisecond
	askedAges    = 4
	// youngAge is the average age of the reports up to which an entry chooses among as many runs as
	// there are entries: at the beginning of a burst each entry preempts about one within a round of
	// messages, 0.1 s. Among fewer runs several entries often choose the same one; with more, older
	// runs are preempted. With older reports there are more in proportion.
	youngAge = 50 * time.Millisecond
	// maxReportAge bounds what the report of an entry that is lost or paused adds to the average.
	maxReportAge = time.Second
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
	// rank is how this entry prefers it, a lower one first.
	rank float64
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
	// list holds the youngest runs.
	list []run
	// asked holds when this entry has asked for a preemption.
	asked map[runKey]time.Time
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

// updateRuns sets the runs of each backend server for a new list of backend servers.
func (p *Pool) updateRuns() {
	if p.runs == nil {
		p.runs = map[string]*runs{}
	}
	maps.DeleteFunc(p.runs, func(service string, _ *runs) bool { return !p.statesStarts[service] })
	for service, list := range p.byService {
		r := p.runs[service]
		if r == nil && p.statesStarts[service] {
			r = &runs{asked: map[runKey]time.Time{}}
			p.runs[service] = r
		}
		for _, s := range list {
			if s.runs != r {
				s.runs, s.preempt = r, nil
			}
		}
	}
}

// preemptRank returns the preference of a full backend server whose service states starts.
func (p *Pool) preemptRank(s *server, now time.Time) float64 {
	s.runs.refresh(p, s.Service, now)
	if s.preempt == nil {
		return preferOther
	}
	return s.preempt.rank
}

// PreemptHolder returns the entry whose run at a backend server is to be preempted for an online
// request: this one or another. It returns false if that is not known.
func (p *Pool) PreemptHolder(id string, now time.Time) (name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || s.runs == nil {
		return "", false
	}
	r := s.runs
	r.refresh(p, s.Service, now)
	if s.preempt == nil {
		return "", false
	}
	holder := s.preempt.holder
	r.asked[s.preempt.runKey] = now
	s.preempt = nil
	for n := range r.list {
		if r.list[n].server == s {
			r.consider(&r.list[n])
		}
	}
	return holder, true
}

// refresh updates the runs of a service if they are too old.
func (r *runs) refresh(p *Pool, service string, now time.Time) {
	if elapsed := now.Sub(r.at); elapsed < 0 || elapsed >= runsCacheTime {
		r.at = now
		r.update(p, service, now)
	}
}

// update lists the youngest runs of a service.
func (r *runs) update(p *Pool, service string, now time.Time) {
	for n := range r.list {
		r.list[n].server.preempt = nil
	}
	r.list = r.list[:0]
	for name, report := range p.peers {
		for hash, started := range report.started {
			if s := p.byHash[hash]; s != nil && s.Service == service {
				r.list = append(r.list, run{runKey: runKey{name, s}, started: started})
			}
		}
	}
	for _, s := range p.busy {
		if s.batch > 0 && s.Service == service {
			r.list = append(r.list, run{runKey: runKey{p.Name, s}, started: s.batchStarted})
		}
	}
	slices.SortFunc(r.list, func(a, b run) int {
		return cmp.Or(b.started.Compare(a.started), strings.Compare(a.holder, b.holder), cmp.Compare(a.server.hash, b.server.hash))
	})
	age := p.reportAge(now)
	n := int(float64(len(p.peers)+1) * max(float64(age)/float64(youngAge), 1))
	r.list = r.list[:min(n, len(r.list))]
	maps.DeleteFunc(r.asked, func(_ runKey, at time.Time) bool { return now.Sub(at) >= max(askedAges*age, minAskedTime) })
	entries, own := uint32(len(p.peers)+1), p.position()
	for n := range r.list {
		run := &r.list[n]
		run.rank = preferYoung
		if (run.server.hash^Hash(run.holder)*hashFactor)%entries == own {
			run.rank = preferAssigned + float64(n)/float64(len(r.list))
		}
		r.consider(run)
	}
}

// consider makes a run the one that this entry would preempt at its backend server, if it prefers it.
func (r *runs) consider(run *run) {
	if _, ok := r.asked[run.runKey]; ok {
		return
	}
	if best := run.server.preempt; best == nil || run.rank < best.rank {
		run.server.preempt = run
	}
}

// hashFactor mixes the hash of an entry with that of a backend server.
const hashFactor = 2654435761

// reportAge returns the average age of the reports of the other entries that run requests; idle ones
// report seldom.
func (p *Pool) reportAge(now time.Time) time.Duration {
	var sum time.Duration
	reports := 0
	for _, report := range p.peers {
		if len(report.loads) > 0 {
			sum += min(now.Sub(report.at), maxReportAge)
			reports++
		}
	}
	return sum / time.Duration(max(reports, 1))
}

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

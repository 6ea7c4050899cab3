package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// Job is an accepted batch job.
type Job struct {
	Accepted
	Ended bool
	// SeenAt is when this entry read that the job was accepted. It is zero for a job from a full
	// load of the topic, as the job may be much older than the load.
	SeenAt time.Time
}

// Result is the result of an item of a job.
type Result struct {
	Outcome
	// Index is the position of the item in its job.
	Index int
}

// work holds the records about the items of one job, in the order of the topic.
type work struct {
	results  []Result
	finished map[int]bool
	// failures holds, for each item, the changes that recorded a failed run.
	failures map[int]map[string]bool
	// starts holds, for each item, the changes that recorded the start of a run.
	starts map[int]map[string]bool
	// owner is the entry that claimed the job last, and epoch the number of claims so far.
	owner string
	epoch int
	// claimedAt is when this entry read the latest claim; zero if there is none.
	claimedAt time.Time
	// keys lists the keys of all these records.
	keys []string
}

func newWork() *work {
	return &work{finished: map[int]bool{}, failures: map[int]map[string]bool{}, starts: map[int]map[string]bool{}}
}

// emptyWork is returned for jobs without records about items. It must not be modified.
var emptyWork = newWork()

// Ledger is the state of all batch jobs. It is computed from two topics that are read
// independently: one with records about jobs, one with records about their items.
type Ledger struct {
	// JobsTopic and WorkTopic are the names of the topics, for log lines.
	JobsTopic, WorkTopic string
	Events               *event.Logger

	mu   sync.Mutex
	jobs map[string]*Job
	work map[string]*work
	// openJobs indexes the open jobs. Finished jobs stay in the ledger for minutes, and a search
	// for open items needn't scan them.
	openJobs map[string]*Job
	// jobsRead and workRead are set once the respective topic has been loaded.
	jobsRead, workRead bool
	// seenAt is the SeenAt of the jobs that are being applied.
	seenAt time.Time
	// waitingTokens counts the tokens of unfinished items by route and team.
	waitingTokens map[QuotaKey]int64
	// partialValues holds, by key, the first parts of values of which the last record hasn't been
	// read.
	partialValues map[string][]byte
	// changed is closed and replaced whenever records are applied.
	changed chan struct{}
}

// Prepare initializes the ledger. It must be called once before any other method.
func (l *Ledger) Prepare() {
	l.jobs, l.work, l.openJobs = map[string]*Job{}, map[string]*work{}, map[string]*Job{}
	l.waitingTokens, l.partialValues = map[QuotaKey]int64{}, map[string][]byte{}
	l.changed = make(chan struct{})
}

// Loaded reports whether both topics have been loaded.
func (l *Ledger) Loaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobsRead && l.workRead
}

// Changed returns a channel that is closed at the next change.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// workOf returns the records about a job's items.
func (l *Ledger) workOf(job string) *work {
	if w := l.work[job]; w != nil {
		return w
	}
	return emptyWork
}

// open reports whether items of the job are still to be run.
func (l *Ledger) open(j *Job) bool {
	return !j.Ended && len(l.workOf(j.ID).results) < len(j.Tokens)
}

// expired reports whether the job was created before a time and no longer has items to run: its
// retention period is over.
func (l *Ledger) expired(j *Job, before time.Time) bool {
	return j.CreatedAt < before.UnixMilli() && !l.open(j)
}

// Expired is a job that may be removed, with the locations of its values.
type Expired struct {
	ID      string
	Bodies  sardinerock.ContentRef
	Results []Result
}

// Expired returns at most limit jobs to be removed that were created before a time.
func (l *Ledger) Expired(before time.Time, limit int) []Expired {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []Expired
	for id, j := range l.jobs {
		if len(expired) == limit {
			break
		}
		if l.expired(j, before) {
			expired = append(expired, Expired{ID: id, Bodies: j.Bodies, Results: slices.Clone(l.workOf(id).results)})
		}
	}
	return expired
}

// Orphans returns the ids of jobs that aren't known but have records about their items: jobs that
// were removed, and those of which the acceptance hasn't been read yet.
func (l *Ledger) Orphans() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var orphans []string
	for id := range l.work {
		if l.jobs[id] == nil {
			orphans = append(orphans, id)
		}
	}
	return orphans
}

// Page is a part of a job's results. Total is the number of the job's items.
type Page struct {
	Total   int
	Results []Result
	// Open is set while more results may come.
	Open bool
}

// Known reports whether a job exists.
func (l *Ledger) Known(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[id] != nil
}

// Accessible reports whether a job exists that a team may access.
func (l *Ledger) Accessible(id, team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	return j != nil && j.AccessibleBy(team)
}

// Results returns the results of a job from a position on, or false if the job doesn't exist.
func (l *Ledger) Results(id string, from int) (Page, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return Page{}, false
	}
	p := Page{Total: len(j.Tokens), Open: l.open(j)}
	if all := l.workOf(id).results; from < len(all) {
		p.Results = all[from:len(all):len(all)]
	}
	return p, true
}

// Bodies returns where the items of a job are stored, or false if the job doesn't exist.
func (l *Ledger) Bodies(id string) (sardinerock.ContentRef, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return sardinerock.ContentRef{}, false
	}
	return j.Bodies, true
}

// OpenItem is an item that has no result yet.
type OpenItem struct {
	Job       string
	Route     string
	Host      string
	Team      string
	CreatedAt time.Time
	// Config is the version of the configuration under which the job was accepted; 0 if it isn't known.
	Config int64
	Index  int
	// Remaining is the number of items of the job without a result.
	Remaining int
	// Bodies is where the job's items are stored. SeenAt is that of the job.
	Bodies sardinerock.ContentRef
	SeenAt time.Time
	// Failures is the number of recorded failed runs of the item, and Runs the number of runs that
	// may have failed: the unrecorded first one and those whose start is recorded.
	Failures, Runs int
	// FirstOwner and FirstOwnerStart are the job's owner and that owner's process when the job was
	// accepted. Epoch is the number of claims to the job since then.
	FirstOwner      string
	FirstOwnerStart int64
	Epoch           int
	// ClaimedAt is when this entry read the latest claim; zero if there is none.
	ClaimedAt time.Time
}

// Ownership names the entry that runs the items of an open job.
type Ownership struct {
	Job string
	// Owner is an entry's name. It is empty if no owner was recorded.
	Owner string
	// Epoch is the number of claims to the job so far.
	Epoch int
}

// Ownerships returns the owners of the open jobs, or nil before both topics have been loaded.
func (l *Ledger) Ownerships() []Ownership {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.jobsRead || !l.workRead {
		return nil
	}
	all := make([]Ownership, 0, len(l.openJobs))
	for id, j := range l.openJobs {
		all = append(all, Ownership{Job: id, Owner: l.owner(j), Epoch: l.workOf(id).epoch})
	}
	return all
}

// owner returns the entry that runs a job's items.
func (l *Ledger) owner(j *Job) string {
	if w := l.workOf(j.ID); w.epoch > 0 {
		return w.owner
	}
	return j.Owner
}

// Owner returns the entry that runs a job's items. It is empty if the job has no owner or doesn't
// exist.
func (l *Ledger) Owner(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return ""
	}
	return l.owner(j)
}

// Owns reports whether an entry owns open jobs.
func (l *Ledger) Owns(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.openJobs {
		if l.owner(j) == name {
			return true
		}
	}
	return false
}

// OpenItems returns the open items of an entry's jobs. It returns nil before both topics have
// been loaded, since finished items can't be recognized until then.
func (l *Ledger) OpenItems(owner string) []OpenItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.jobsRead || !l.workRead {
		return nil
	}
	var open []OpenItem
	for id, j := range l.openJobs {
		if l.owner(j) != owner {
			continue
		}
		w := l.workOf(id)
		for i := range j.Tokens {
			if w.finished[i] {
				continue
			}
			open = append(open, OpenItem{
				Job: id, Route: j.Route, Host: j.Host, Team: j.Team, CreatedAt: time.UnixMilli(j.CreatedAt), Config: j.Config, Index: i,
				Remaining: len(j.Tokens) - len(w.results), Bodies: j.Bodies, SeenAt: j.SeenAt, Failures: len(w.failures[i]),
				Runs: w.runs(i), FirstOwner: j.Owner, FirstOwnerStart: j.OwnerStart, Epoch: w.epoch, ClaimedAt: w.claimedAt,
			})
		}
	}
	return open
}

// runs returns the number of runs of an item that may have failed. The first run isn't recorded.
func (w *work) runs(index int) int { return 1 + len(w.starts[index]) }

// Started reports whether a change recorded a valid start of a run of an item.
func (l *Ledger) Started(id string, index int, change string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.workOf(id).starts[index][trimRetry(change)]
}

// IsOpen reports whether an item may still be run.
func (l *Ledger) IsOpen(id string, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	return j != nil && !j.Ended && !l.workOf(id).finished[index]
}

// JobOpen reports whether items of a job are still to be run.
func (l *Ledger) JobOpen(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	return j != nil && l.open(j)
}

// WaitingTokens returns the tokens of a team's unfinished items on a route.
func (l *Ledger) WaitingTokens(q QuotaKey) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitingTokens[q]
}

// OpenCounts returns the number of open jobs and of their unfinished items.
func (l *Ledger) OpenCounts() (jobs, items int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.openJobs {
		jobs++
		items += len(j.Tokens) - len(l.workOf(id).results)
	}
	return jobs, items
}

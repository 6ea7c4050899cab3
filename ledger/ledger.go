package ledger

import (
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// Job is one batch job that was accepted.
type Job struct {
	Accepted
	Ended bool

	index map[string]int
}

// work is what was recorded of a job's items, in the order of the store.
type work struct {
	results  []sardinerock.BatchResult
	finished map[int]bool
	progress map[int]Progress
	// steps holds, for each item, the steps that its text is made of.
	steps map[int][]recordedStep
	// failures holds, for each item, the changes that recorded a run that failed.
	failures map[int]map[string]bool
	// keys are those of all its records.
	keys []string
}

// recordedStep is a step that counts.
type recordedStep struct {
	// change recorded it; end is the length of the item's text after it.
	change string
	end    int
}

func newWork() *work {
	return &work{
		finished: map[int]bool{}, progress: map[int]Progress{}, steps: map[int][]recordedStep{}, failures: map[int]map[string]bool{},
	}
}

// noWork stands for jobs of which nothing is recorded; it is never changed.
var noWork = newWork()

// Ledger is the state of all batch jobs. It is folded from two topics that are
// read apart: what was decided about jobs, and what became of their items.
type Ledger struct {
	Events *event.Logger

	mu   sync.Mutex
	jobs map[string]*Job
	work map[string]*work
	// jobsRead and workRead are set once each topic was read.
	jobsRead, workRead bool
	// waiting counts the tokens of unfinished items by route.
	waiting map[string]int64
	// parts holds the beginnings of values that are more than one record.
	parts map[string][]byte
	// changed is closed at each change.
	changed chan struct{}
}

// Prepare makes the ledger usable; it is called once before all else.
func (l *Ledger) Prepare() {
	l.jobs, l.work = map[string]*Job{}, map[string]*work{}
	l.waiting, l.parts = map[string]int64{}, map[string][]byte{}
	l.changed = make(chan struct{})
}

// Loaded says whether both topics were read.
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

// workOf returns what is recorded of a job's items.
func (l *Ledger) workOf(job string) *work {
	if w := l.work[job]; w != nil {
		return w
	}
	return noWork
}

// open says whether items of the job are still to be run.
func (l *Ledger) open(j *Job) bool {
	return !j.Ended && len(l.workOf(j.ID).results) < len(j.Items)
}

// expired says whether nobody may ask for the job any more.
func (l *Ledger) expired(j *Job, before time.Time) bool {
	return j.CreatedAt < before.UnixMilli() && !l.open(j)
}

// HasBefore says whether there are jobs to be removed that came before a time.
func (l *Ledger) HasBefore(before time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if l.expired(j, before) {
			return true
		}
	}
	return false
}

// Orphans returns the jobs that aren't known but have records of their items:
// those that were removed, and those whose acceptance isn't read yet.
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

// Page is a part of a job's results.
type Page struct {
	Total   int
	Results []sardinerock.BatchResult
	// Open is set while more results may come.
	Open bool
}

// Results returns the results of a job from a position on; false if there is no such job.
func (l *Ledger) Results(id string, from int) (Page, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return Page{}, false
	}
	p := Page{Total: len(j.Items), Open: l.open(j)}
	if all := l.workOf(id).results; from < len(all) {
		p.Results = all[from:len(all):len(all)]
	}
	return p, true
}

// Body returns the body of an item; known is false if there is no such job.
func (l *Ledger) Body(id, item string) (body []byte, found, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return nil, false, false
	}
	i, ok := j.index[item]
	if !ok {
		return nil, false, true
	}
	return j.Items[i].Body, true, true
}

// OpenItem is an item that has no result yet.
type OpenItem struct {
	Job       string
	Route     string
	Host      string
	CreatedAt time.Time
	Index     int
	// Left is how many items of the job are open.
	Left     int
	Item     *sardinerock.BatchItem
	Progress Progress
	// Failures is how many runs of the item are recorded as failed.
	Failures int
}

// OpenItems returns the open items of the jobs that are wanted; none before
// both topics were read, since those that are finished can't be told until then.
func (l *Ledger) OpenItems(wanted func(job string) bool) []OpenItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.jobsRead || !l.workRead {
		return nil
	}
	var open []OpenItem
	for id, j := range l.jobs {
		if !l.open(j) || !wanted(id) {
			continue
		}
		w := l.workOf(id)
		for i := range j.Items {
			if w.finished[i] {
				continue
			}
			open = append(open, OpenItem{
				Job: id, Route: j.Route, Host: j.Host, CreatedAt: time.UnixMilli(j.CreatedAt), Index: i,
				Left: len(j.Items) - len(w.results), Item: &j.Items[i], Progress: w.progress[i], Failures: len(w.failures[i]),
			})
		}
	}
	return open
}

// IsOpen says whether an item may still be run.
func (l *Ledger) IsOpen(id string, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	return j != nil && !j.Ended && !l.workOf(id).finished[index]
}

// Waiting returns the tokens of the unfinished items on a route.
func (l *Ledger) Waiting(route string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[route]
}

// Open returns how many jobs are open and how many items they still have.
func (l *Ledger) Open() (jobs, items int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.jobs {
		if l.open(j) {
			jobs++
			items += len(j.Items) - len(l.workOf(id).results)
		}
	}
	return jobs, items
}

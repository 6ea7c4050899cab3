package ledger

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// Job is the state of one batch job.
type Job struct {
	Accepted
	Results []sardinerock.BatchResult
	Ended   bool

	index    map[string]int
	finished []bool
	progress map[int]Progress
	// failures counts the runs of each item that failed.
	failures map[int]int
	// steps counts the records of progress that each finished item has.
	steps []int
}

// Open says whether items of the job are still to be run.
func (j *Job) Open() bool { return !j.Ended && len(j.Results) < len(j.Items) }

// expired says whether nobody may ask for the job any more.
func (j *Job) expired(before time.Time) bool { return j.CreatedAt < before.UnixMilli() && !j.Open() }

// HasBefore says whether there are jobs to be removed that came before a time.
func (l *Ledger) HasBefore(before time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.jobs {
		if j.expired(before) {
			return true
		}
	}
	return false
}

// Ledger is the state of all batch jobs.
type Ledger struct {
	Events *event.Logger

	mu   sync.Mutex
	jobs map[string]*Job
	// waiting counts the tokens of unfinished items by route.
	waiting map[string]int64
	// parts holds the beginnings of values that are more than one record.
	parts map[string][]byte
	// changed is closed at each change.
	changed chan struct{}
}

// Prepare makes the ledger usable; it is called once before all else.
func (l *Ledger) Prepare() {
	l.reset()
	l.changed = make(chan struct{})
}

func (l *Ledger) reset() {
	l.jobs, l.waiting, l.parts = map[string]*Job{}, map[string]int64{}, map[string][]byte{}
}

// Changed returns a channel that is closed at the next change.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Apply takes records in the order of their offsets.
func (l *Ledger) Apply(records []sardinerock.StoreRecord, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reset {
		l.reset()
	}
	for i := range records {
		if err := l.apply(&records[i]); err != nil {
			l.Events.Warn(event.RecordSkipped).Str("key", records[i].Key).Int64("offset", records[i].Offset).Err(err).Msg("record passed over")
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Ledger) apply(r *sardinerock.StoreRecord) error {
	k, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		l.remove(k)
		return nil
	}
	raw := r.Value[1:]
	if r.Value[0] == morePart {
		l.parts[k.whole] = append(l.parts[k.whole], raw...)
		return nil
	}
	if begun, ok := l.parts[k.whole]; ok {
		raw = append(begun, raw...)
		delete(l.parts, k.whole)
	}
	switch k.kind {
	case kindJob:
		return l.accept(raw)
	case kindResult:
		return l.finish(k, raw)
	case kindEnd:
		l.end(k.job)
	case kindProgress:
		return l.proceed(k, raw)
	case kindFailure:
		l.fail(k)
	}
	return nil
}

// remove forgets a job whose record was removed; its other records follow.
func (l *Ledger) remove(k recordKey) {
	if k.kind != kindJob {
		return
	}
	if j := l.jobs[k.job]; j != nil {
		l.end(k.job)
		delete(l.jobs, k.job)
	}
}

func (l *Ledger) accept(raw []byte) error {
	j := &Job{index: map[string]int{}, progress: map[int]Progress{}, failures: map[int]int{}}
	if err := cbor.Unmarshal(raw, &j.Accepted); err != nil {
		return err
	}
	if l.jobs[j.ID] != nil {
		return nil
	}
	j.finished = make([]bool, len(j.Items))
	j.steps = make([]int, len(j.Items))
	for i := range j.Items {
		j.index[j.Items[i].ID] = i
		l.waiting[j.Route] += j.Items[i].Tokens
	}
	l.jobs[j.ID] = j
	return nil
}

func (l *Ledger) finish(k recordKey, raw []byte) error {
	var o outcome
	if err := cbor.Unmarshal(raw, &o); err != nil {
		return err
	}
	j := l.jobs[k.job]
	if j == nil {
		return nil
	}
	i, ok := j.index[o.Item]
	if !ok || j.finished[i] || k.place != len(j.Results) {
		return nil
	}
	text := o.Text
	if o.Rest {
		text = j.progress[i].Text + o.Text
	}
	j.Results = append(j.Results, sardinerock.BatchResult{Item: o.Item, Succeeded: o.Succeeded, Text: text})
	j.finished[i] = true
	j.steps[i] = j.progress[i].Steps
	delete(j.progress, i)
	if !j.Ended {
		l.waiting[j.Route] -= j.Items[i].Tokens
	}
	return nil
}

func (l *Ledger) fail(k recordKey) {
	if j := l.jobs[k.job]; j != nil && k.step == j.failures[k.place] {
		j.failures[k.place]++
	}
}

func (l *Ledger) end(id string) {
	j := l.jobs[id]
	if j == nil || j.Ended {
		return
	}
	j.Ended = true
	for i := range j.Items {
		if !j.finished[i] {
			l.waiting[j.Route] -= j.Items[i].Tokens
		}
	}
}

func (l *Ledger) proceed(k recordKey, raw []byte) error {
	var one step
	if err := cbor.Unmarshal(raw, &one); err != nil {
		return err
	}
	j := l.jobs[k.job]
	if j == nil || k.place >= len(j.Items) || j.finished[k.place] {
		return nil
	}
	p := j.progress[k.place]
	if k.step != p.Steps {
		return nil
	}
	j.progress[k.place] = Progress{LastEvent: one.LastEvent, Text: p.Text + one.Text, Steps: p.Steps + 1}
	return nil
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
	p := Page{Total: len(j.Items), Open: j.Open()}
	if from < len(j.Results) {
		p.Results = j.Results[from:len(j.Results):len(j.Results)]
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

// OpenItems returns the open items of the jobs that are wanted.
func (l *Ledger) OpenItems(wanted func(job string) bool) []OpenItem {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []OpenItem
	for id, j := range l.jobs {
		if !j.Open() || !wanted(id) {
			continue
		}
		for i := range j.Items {
			if j.finished[i] {
				continue
			}
			open = append(open, OpenItem{
				Job: id, Route: j.Route, Host: j.Host, CreatedAt: time.UnixMilli(j.CreatedAt), Index: i,
				Left: len(j.Items) - len(j.Results), Item: &j.Items[i], Progress: j.progress[i], Failures: j.failures[i],
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
	return j != nil && !j.Ended && !j.finished[index]
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
	for _, j := range l.jobs {
		if j.Open() {
			jobs++
			items += len(j.Items) - len(j.Results)
		}
	}
	return jobs, items
}

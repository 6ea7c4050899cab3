package ledger

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
)

// Verdict is what a change comes to.
type Verdict int

// The verdicts.
const (
	// Made means that the change holds, by this plan or since before.
	Made Verdict = iota
	// OverQuota means that the job's tokens don't fit beside those that wait.
	OverQuota
	// Conflict means that another job has the same id.
	Conflict
	// Unknown means that there is no such job.
	Unknown
	// Void means that the change has come too late.
	Void
)

// Plan collects the records of several changes that are appended together. It
// is made while the ledger doesn't change.
type Plan struct {
	// RecordBytes is the largest record of the store.
	RecordBytes int
	Records     []sardinerock.StoreRecord

	ledger *Ledger
	// What the plan itself adds to the ledger, which the later changes of the plan have to see.
	tokens   map[string]int64
	accepted map[string]uint64
	results  map[string]int
	finished map[string]bool
	steps    map[string]Progress
	ended    map[string]bool
}

// NewPlan begins a plan.
func (l *Ledger) NewPlan(recordBytes int) *Plan {
	return &Plan{
		RecordBytes: recordBytes,
		ledger:      l,
		tokens:      map[string]int64{},
		accepted:    map[string]uint64{},
		results:     map[string]int{},
		finished:    map[string]bool{},
		steps:       map[string]Progress{},
		ended:       map[string]bool{},
	}
}

func (p *Plan) add(key string, value any) error {
	records, err := split(key, value, p.RecordBytes)
	if err != nil {
		return err
	}
	p.Records = append(p.Records, records...)
	return nil
}

// Accept plans a job; maxTokens bounds the tokens that wait on its route, 0 is no bound.
func (p *Plan) Accept(a *Accepted, maxTokens int64) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	digest, known := p.accepted[a.ID]
	if j := p.ledger.jobs[a.ID]; j != nil {
		digest, known = j.Digest, true
	}
	if known {
		if digest != a.Digest {
			return Conflict, nil
		}
		return Made, nil
	}
	var tokens int64
	for i := range a.Items {
		tokens += a.Items[i].Tokens
	}
	if maxTokens > 0 && p.ledger.waiting[a.Route]+p.tokens[a.Route]+tokens > maxTokens {
		return OverQuota, nil
	}
	p.tokens[a.Route] += tokens
	p.accepted[a.ID] = a.Digest
	return Made, p.add(jobKey(a.ID), a)
}

// Finish plans the result of an item.
func (p *Plan) Finish(job string, index int, r *sardinerock.BatchResult) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	j := p.ledger.jobs[job]
	if j == nil || index >= len(j.Items) {
		return Unknown, nil
	}
	item := itemName(job, index)
	if j.finished[index] || p.finished[item] {
		return Void, nil
	}
	o := outcome{Item: r.Item, Succeeded: r.Succeeded, Text: r.Text}
	if rest, ok := strings.CutPrefix(r.Text, p.progress(j, index).Text); ok && r.Succeeded {
		o.Text, o.Rest = rest, true
	}
	place := len(j.Results) + p.results[job]
	p.results[job]++
	p.finished[item] = true
	return Made, p.add(resultKey(job, place), &o)
}

// Proceed plans a record of how far an item has come, of what isn't recorded yet.
// Where another entry recorded something else, what it has holds.
func (p *Plan) Proceed(job string, index int, progress Progress) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	j := p.ledger.jobs[job]
	if j == nil || index >= len(j.Items) || j.finished[index] || j.Ended || p.finished[itemName(job, index)] {
		return Void, nil
	}
	old := p.progress(j, index)
	rest, ok := strings.CutPrefix(progress.Text, old.Text)
	if !ok || rest == "" {
		return Void, nil
	}
	p.steps[itemName(job, index)] = Progress{LastEvent: progress.LastEvent, Text: progress.Text, Steps: old.Steps + 1}
	return Made, p.add(stepKey(job, index, old.Steps), &step{LastEvent: progress.LastEvent, Text: rest})
}

// Fail plans a record of a run that failed; known is how many the runner knew
// of before it. Where another entry recorded one meanwhile, both count as one:
// they were the same owner's part of the tries.
func (p *Plan) Fail(job string, index, known int) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	j := p.ledger.jobs[job]
	if j == nil || index >= len(j.Items) || j.finished[index] || j.Ended || j.failures[index] > known {
		return Void, nil
	}
	return Made, p.add(failureKey(job, index, j.failures[index]), true)
}

// progress returns how far an item has come with what the plan itself adds.
func (p *Plan) progress(j *Job, index int) Progress {
	if planned, ok := p.steps[itemName(j.ID, index)]; ok {
		return planned
	}
	return j.progress[index]
}

func itemName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// End plans the end of a job.
func (p *Plan) End(job string) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	j := p.ledger.jobs[job]
	if j == nil {
		return Unknown, nil
	}
	if j.Ended || p.ended[job] {
		return Made, nil
	}
	p.ended[job] = true
	return Made, p.add(endKey(job), true)
}

// Expire plans the removal of the jobs that came before a time, of as many as
// fit into a number of records and at least one.
func (p *Plan) Expire(before time.Time, most int) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	for id, j := range p.ledger.jobs {
		if !j.expired(before) {
			continue
		}
		if len(p.Records) > most {
			return Made, nil
		}
		if err := p.expire(id, j); err != nil {
			return Void, err
		}
	}
	return Made, nil
}

// expire removes the job's own record last: as long as it is there, a later try finds the others.
func (p *Plan) expire(id string, j *Job) error {
	for place := range j.Results {
		if err := p.drop(resultKey(id, place), &j.Results[place]); err != nil {
			return err
		}
	}
	for index := range j.Items {
		for number := range j.steps[index] + j.progress[index].Steps {
			p.Records = append(p.Records, sardinerock.StoreRecord{Key: stepKey(id, index, number) + "/0"})
		}
		for number := range j.failures[index] {
			p.Records = append(p.Records, sardinerock.StoreRecord{Key: failureKey(id, index, number) + "/0"})
		}
	}
	p.Records = append(p.Records, sardinerock.StoreRecord{Key: endKey(id) + "/0"})
	return p.drop(jobKey(id), &j.Accepted)
}

// drop removes all parts of a value.
func (p *Plan) drop(key string, value any) error {
	records, err := split(key, value, p.RecordBytes)
	if err != nil {
		return err
	}
	for _, r := range records {
		p.Records = append(p.Records, sardinerock.StoreRecord{Key: r.Key})
	}
	return nil
}

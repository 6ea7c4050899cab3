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

// Plan collects the records of several changes that are appended together.
// Those of jobs hold only where their topic still ends at the state that the
// plan was made from; those of items hold wherever they are appended.
type Plan struct {
	// RecordBytes is the largest record of the store.
	RecordBytes int
	Records     []sardinerock.StoreRecord
	// Change is the name of the change that is planned next, for the keys of items.
	Change string

	ledger *Ledger
	// What the plan itself adds to the ledger, which the later changes of the plan have to see.
	tokens   map[string]int64
	accepted map[string]uint64
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

// Finish plans the result of an item. The steps of its text that are recorded
// already aren't written again.
func (p *Plan) Finish(job string, index int, r *sardinerock.BatchResult) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	if p.ledger.workOf(job).finished[index] || p.finished[itemName(job, index)] {
		return Void, nil
	}
	o := outcome{Item: r.Item, Succeeded: r.Succeeded, Text: r.Text}
	old := p.progress(job, index)
	if rest, ok := strings.CutPrefix(r.Text, old.Text); ok && r.Succeeded {
		o.Text, o.After = rest, old.Step
	}
	p.finished[itemName(job, index)] = true
	return Made, p.add(itemKey(kindResult, job, index, p.Change), &o)
}

// Proceed plans a record of how far an item has come, of what isn't recorded yet.
// Where another entry recorded something else, what it has holds.
func (p *Plan) Proceed(job string, index int, progress Progress) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	if p.over(job, index) {
		return Void, nil
	}
	old := p.progress(job, index)
	rest, ok := strings.CutPrefix(progress.Text, old.Text)
	if !ok || rest == "" {
		return Void, nil
	}
	p.steps[itemName(job, index)] = Progress{LastEvent: progress.LastEvent, Text: progress.Text, Step: withoutRepeat(p.Change)}
	return Made, p.add(itemKey(kindProgress, job, index, p.Change), &step{LastEvent: progress.LastEvent, Text: rest, After: old.Step})
}

// Fail plans a record of a run that failed.
func (p *Plan) Fail(job string, index int) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	if p.over(job, index) {
		return Void, nil
	}
	return Made, p.add(itemKey(kindFailure, job, index, p.Change), true)
}

// over says whether nothing more is to be recorded of an item.
func (p *Plan) over(job string, index int) bool {
	j := p.ledger.jobs[job]
	return j == nil || j.Ended || p.ledger.workOf(job).finished[index] || p.finished[itemName(job, index)]
}

// progress returns how far an item has come with what the plan itself adds.
func (p *Plan) progress(job string, index int) Progress {
	if planned, ok := p.steps[itemName(job, index)]; ok {
		return planned
	}
	return p.ledger.workOf(job).progress[index]
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
		if !p.ledger.expired(j, before) {
			continue
		}
		if len(p.Records) > most {
			return Made, nil
		}
		p.Records = append(p.Records, sardinerock.StoreRecord{Key: endKey(id) + "/0"})
		if err := p.drop(jobKey(id), &j.Accepted); err != nil {
			return Void, err
		}
	}
	return Made, nil
}

// Clear plans the removal of the records of items whose jobs were removed.
func (p *Plan) Clear(orphans []string, most int) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	for _, id := range orphans {
		if p.ledger.jobs[id] != nil {
			continue
		}
		if len(p.Records) > most {
			return Made, nil
		}
		for _, key := range p.ledger.workOf(id).keys {
			p.Records = append(p.Records, sardinerock.StoreRecord{Key: key})
		}
	}
	return Made, nil
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

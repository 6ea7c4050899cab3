package ledger

import (
	"strconv"
	"time"

	"github.com/sardinerock/sardinerock"
)

// Verdict is the result of a planned change. It is logged as a number.
type Verdict int

// The verdicts of planned changes.
const (
	// Applied means that the change holds, by this plan or already before it.
	Applied Verdict = iota
	// OverQuota means that the tokens of the job and the waiting tokens together exceed the
	// bound.
	OverQuota
	// Conflict means that another job has the same id.
	Conflict
	// NotFound means that the job doesn't exist.
	NotFound
	// Stale means that the change came too late: the state that it depends on has changed.
	Stale
)

// Plan collects the records of several changes that are appended together. Records about jobs are
// valid only if their topic still ends at the state that the plan was made from. Records about
// items are valid wherever they are appended.
type Plan struct {
	// RecordBytes is the size of the largest record that the store accepts.
	RecordBytes int
	Records     []sardinerock.StoreRecord
	// Change is the name of the change that is planned next. It becomes part of the keys of
	// records about items; see ChangeName.
	Change string

	ledger *Ledger
	// The effects of this plan, which its later changes have to take into account.
	tokens   map[QuotaKey]int64
	accepted map[string]*Accepted
	finished map[string]bool
	ended    map[string]bool
}

// NewPlan returns an empty plan on the current state; recordBytes is the size of the largest
// record that the store accepts.
func (l *Ledger) NewPlan(recordBytes int) *Plan {
	return &Plan{
		RecordBytes: recordBytes,
		ledger:      l,
		tokens:      map[QuotaKey]int64{},
		accepted:    map[string]*Accepted{},
		finished:    map[string]bool{},
		ended:       map[string]bool{},
	}
}

func (p *Plan) add(key string, value any) error {
	added, err := records(key, value, p.RecordBytes)
	if err != nil {
		return err
	}
	p.Records = append(p.Records, added...)
	return nil
}

// Accept plans a new job. maxTokens bounds the waiting tokens of the job's team on its route; 0
// means no bound.
func (p *Plan) Accept(a *Accepted, maxTokens int64) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	if v, decided := p.knownVerdict(a, maxTokens); decided {
		return v, nil
	}
	tokens := a.tokens()
	p.tokens[a.quotaKey()] += tokens
	p.accepted[a.ID] = a
	return Applied, p.add(jobKey(a.ID), a)
}

// knownVerdict returns the verdict on a new job if the state already decides it and no record is
// needed.
func (p *Plan) knownVerdict(a *Accepted, maxTokens int64) (Verdict, bool) {
	known := p.accepted[a.ID]
	if j := p.ledger.jobs[a.ID]; j != nil {
		known = &j.Accepted
	}
	switch {
	case known != nil && (known.Digest != a.Digest || !known.AccessibleBy(a.Team)):
		return Conflict, true
	case known != nil:
		return Applied, true
	case maxTokens > 0 && p.ledger.waitingTokens[a.quotaKey()]+p.tokens[a.quotaKey()]+a.tokens() > maxTokens:
		return OverQuota, true
	}
	return Applied, false
}

// KnownVerdict returns the verdict on a new job if it is known from what this entry has read: the
// job was accepted before, conflicts with another one, or exceeds the bound.
func (l *Ledger) KnownVerdict(a *Accepted, maxTokens int64) (v Verdict, decided bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.jobsRead || !l.workRead {
		return Stale, false
	}
	return l.NewPlan(0).knownVerdict(a, maxTokens)
}

// tokens returns the tokens of all items of a job.
func (a *Accepted) tokens() int64 {
	var sum int64
	for _, n := range a.Tokens {
		sum += n
	}
	return sum
}

// Finish plans the result of an item; its text must already be in the store.
func (p *Plan) Finish(job string, index int, o *Outcome) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	if p.ledger.workOf(job).finished[index] || p.finished[itemID(job, index)] {
		return Stale, nil
	}
	p.finished[itemID(job, index)] = true
	return Applied, p.add(itemKey(kindResult, job, index, p.Change), o)
}

// Claim plans that owner takes over the job from the owner of an epoch. Of several claims to the
// same epoch the first in the topic is valid.
func (p *Plan) Claim(job, owner string, epoch int) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	j := p.ledger.jobs[job]
	if j == nil || !p.ledger.open(j) || p.ledger.workOf(job).epoch != epoch {
		return Stale, nil
	}
	return Applied, p.add(itemKey(kindClaim, job, epoch+1, p.Change), owner)
}

// Fail plans a record of a failed run.
func (p *Plan) Fail(job string, index int) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	if p.closed(job, index) {
		return Stale, nil
	}
	return Applied, p.add(itemKey(kindFailure, job, index, p.Change), true)
}

// Start plans a record that the owner of an epoch is about to run an item. The run may be made once
// the record is applied and Ledger.Started confirms it. limit is the number of runs after which no
// further one may start, the unrecorded first one included. If it is reached, Start returns Stale.
func (p *Plan) Start(job string, index, epoch, limit int) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	w := p.ledger.workOf(job)
	if p.closed(job, index) || w.epoch != epoch || w.runs(index) >= limit {
		return Stale, nil
	}
	return Applied, p.add(itemKey(kindStart, job, index, p.Change), &start{Epoch: epoch, Limit: limit})
}

// closed reports whether no more records about an item are needed.
func (p *Plan) closed(job string, index int) bool {
	j := p.ledger.jobs[job]
	return j == nil || j.Ended || p.ledger.workOf(job).finished[index] || p.finished[itemID(job, index)]
}

func itemID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// End plans the end of a job. Its open items are no longer run.
func (p *Plan) End(job string) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	j := p.ledger.jobs[job]
	if j == nil {
		return NotFound, nil
	}
	if j.Ended || p.ended[job] {
		return Applied, nil
	}
	p.ended[job] = true
	return Applied, p.add(endKey(job), true)
}

// Expire plans the removal of jobs created before a time. It adds jobs until the plan has more
// than maxRecords records, and at least one. Jobs that are open or no longer exist are skipped.
func (p *Plan) Expire(jobs []string, before time.Time, maxRecords int) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	for _, id := range jobs {
		j := p.ledger.jobs[id]
		if j == nil || !p.ledger.expired(j, before) {
			continue
		}
		if len(p.Records) > maxRecords {
			return Applied, nil
		}
		p.Records = append(p.Records, sardinerock.StoreRecord{Key: endKey(id) + "/0"})
		if err := p.removeValue(jobKey(id), &j.Accepted); err != nil {
			return Stale, err
		}
	}
	return Applied, nil
}

// RemoveOrphans plans the removal of the records about items of removed jobs. It adds jobs until
// the plan has more than maxRecords records, and at least one.
func (p *Plan) RemoveOrphans(orphans []string, maxRecords int) (Verdict, error) {
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	for _, id := range orphans {
		if p.ledger.jobs[id] != nil {
			continue
		}
		if len(p.Records) > maxRecords {
			return Applied, nil
		}
		for _, key := range p.ledger.workOf(id).keys {
			p.Records = append(p.Records, sardinerock.StoreRecord{Key: key})
		}
	}
	return Applied, nil
}

// removeValue adds tombstones for all parts of a value.
func (p *Plan) removeValue(key string, value any) error {
	toRemove, err := records(key, value, p.RecordBytes)
	if err != nil {
		return err
	}
	for _, r := range toRemove {
		p.Records = append(p.Records, sardinerock.StoreRecord{Key: r.Key})
	}
	return nil
}

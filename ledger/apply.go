package ledger

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/chunk"
	"github.com/sardinerock/sardinerock/event"
)

// ApplyJobs applies records about jobs in the order of their offsets. If reset is set, they
// replace the jobs that are known.
func (l *Ledger) ApplyJobs(records []sardinerock.StoreRecord, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seenAt = time.Now()
	if reset {
		l.seenAt = time.Time{}
		l.jobs, l.jobsRead = map[string]*Job{}, true
		l.rebuildIndexes()
	}
	l.apply(l.JobsTopic, records)
}

// ApplyWork applies records about items in the order of their offsets. If reset is set, they
// replace the records about items that are known.
func (l *Ledger) ApplyWork(records []sardinerock.StoreRecord, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reset {
		l.work, l.workRead = map[string]*work{}, true
		l.rebuildIndexes()
	}
	l.apply(l.WorkTopic, records)
}

// rebuildIndexes computes the waiting tokens and the index of open jobs from scratch.
func (l *Ledger) rebuildIndexes() {
	l.waitingTokens, l.openJobs = map[QuotaKey]int64{}, map[string]*Job{}
	for _, j := range l.jobs {
		if !j.Ended {
			l.waitingTokens[j.quotaKey()] += l.remainingTokens(j)
		}
		l.indexJob(j)
	}
}

// indexJob adds an open job to the index of open jobs, or removes another one from it.
func (l *Ledger) indexJob(j *Job) {
	if l.open(j) {
		l.openJobs[j.ID] = j
	} else {
		delete(l.openJobs, j.ID)
	}
}

// remainingTokens returns the tokens of a job's items without a result.
func (l *Ledger) remainingTokens(j *Job) int64 {
	w := l.workOf(j.ID)
	var tokens int64
	for i, n := range j.Tokens {
		if !w.finished[i] {
			tokens += n
		}
	}
	return tokens
}

func (l *Ledger) apply(topic string, records []sardinerock.StoreRecord) {
	for i := range records {
		if err := l.applyOne(&records[i]); err != nil {
			l.Events.Warn(event.RecordSkipped).Str("topic", topic).Str("key", records[i].Key).Int64("offset", records[i].Offset).Err(err).Msg("record skipped")
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Ledger) applyOne(r *sardinerock.StoreRecord) error {
	k, err := parseKey(r.Key)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		l.remove(k)
		return nil
	}
	if k.aboutItems() {
		w := l.work[k.job]
		if w == nil {
			w = newWork()
			l.work[k.job] = w
		}
		w.keys = append(w.keys, r.Key)
	}
	raw, last := chunk.Part(r)
	if !last {
		l.partialValues[k.valueKey] = append(l.partialValues[k.valueKey], raw...)
		return nil
	}
	if earlier, ok := l.partialValues[k.valueKey]; ok {
		raw = append(earlier, raw...)
		delete(l.partialValues, k.valueKey)
	}
	switch k.kind {
	case kindJob:
		return l.accept(raw)
	case kindEnd:
		l.end(k.job)
	case kindResult:
		return l.finish(k, raw)
	case kindFailure:
		l.fail(k)
	case kindClaim:
		return l.claim(k, raw)
	case kindStart:
		return l.start(k, raw)
	}
	return nil
}

// remove deletes a job, or all records about its items, when the first of their tombstones is
// applied. The other tombstones then have no effect.
func (l *Ledger) remove(k recordKey) {
	if k.aboutItems() {
		delete(l.work, k.job)
		if j := l.jobs[k.job]; j != nil {
			l.indexJob(j)
		}
		return
	}
	if j := l.jobs[k.job]; j != nil && k.kind == kindJob {
		l.end(k.job)
		delete(l.jobs, k.job)
	}
}

func (l *Ledger) accept(raw []byte) error {
	j := &Job{SeenAt: l.seenAt}
	if err := cbor.Unmarshal(raw, &j.Accepted); err != nil {
		return err
	}
	if l.jobs[j.ID] != nil {
		return nil
	}
	l.jobs[j.ID] = j
	l.waitingTokens[j.quotaKey()] += l.remainingTokens(j)
	l.indexJob(j)
	return nil
}

func (l *Ledger) end(id string) {
	j := l.jobs[id]
	if j == nil || j.Ended {
		return
	}
	j.Ended = true
	l.waitingTokens[j.quotaKey()] -= l.remainingTokens(j)
	l.indexJob(j)
}

// finish applies a result. Entries append results without a condition and may run the same item
// at the same time, so an item may have several results: the first one counts.
func (l *Ledger) finish(k recordKey, raw []byte) error {
	var o Outcome
	if err := cbor.Unmarshal(raw, &o); err != nil {
		return err
	}
	w := l.work[k.job]
	if w.finished[k.index] {
		return nil
	}
	w.results = append(w.results, Result{Outcome: o, Index: k.index})
	w.finished[k.index] = true
	if j := l.jobs[k.job]; j != nil && !j.Ended && k.index < len(j.Tokens) {
		l.waitingTokens[j.quotaKey()] -= j.Tokens[k.index]
		l.indexJob(j)
	}
	return nil
}

// fail counts a failed run once, however often its record was appended.
func (l *Ledger) fail(k recordKey) {
	w := l.work[k.job]
	if w.failures[k.index] == nil {
		w.failures[k.index] = map[string]bool{}
	}
	w.failures[k.index][k.change] = true
}

// start counts the start of a run once, however often its record was appended. Two owners may plan
// starts on the same state; the order of their records decides which are within the limit.
func (l *Ledger) start(k recordKey, raw []byte) error {
	var s start
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return err
	}
	w := l.work[k.job]
	if s.Epoch != w.epoch || w.runs(k.index) >= s.Limit {
		return nil
	}
	if w.starts[k.index] == nil {
		w.starts[k.index] = map[string]bool{}
	}
	w.starts[k.index][k.change] = true
	return nil
}

// claim makes an entry the owner of a job. Only the first claim of the next epoch is valid, so
// two entries that both considered the owner unavailable agree on one of them.
func (l *Ledger) claim(k recordKey, raw []byte) error {
	var owner string
	if err := cbor.Unmarshal(raw, &owner); err != nil {
		return err
	}
	if w := l.work[k.job]; k.index == w.epoch+1 {
		w.owner, w.epoch, w.claimedAt = owner, k.index, time.Now()
	}
	return nil
}

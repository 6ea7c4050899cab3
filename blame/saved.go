package blame

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
)

const (
	// chargeRetryTime is the time until the next try to have a trial on record.
	chargeRetryTime = time.Second
	// storeName takes the place of the reporting entry in a change that was read from the store.
	storeName = "store"
)

// savedVerdict returns a verdict as it is kept. Its causes are sorted.
func savedVerdict(v *verdict, trials int, age time.Duration) sardinerock.Verdict {
	var raw []byte
	causes := make([]uint64, len(v.causes))
	for n, c := range v.causes {
		causes[n] = uint64(c)
		raw = binary.BigEndian.AppendUint64(raw, uint64(c))
	}
	return sardinerock.Verdict{Key: xxhash.Sum64(raw), Causes: causes, Count: trials, Age: age}
}

// save has a verdict kept.
func (t *Tracker) save(v *verdict, now time.Time) {
	if t.Verdicts == nil {
		return
	}
	v.saved, v.savedHere = max(v.saved, v.trials), true
	t.Verdicts.Put(savedVerdict(v, v.saved, now.Sub(v.latest)))
}

// discard has what is kept of a verdict deleted.
func (t *Tracker) discard(v *verdict) {
	v.savedHere = false
	if t.Verdicts != nil {
		t.Verdicts.Delete(savedVerdict(v, v.saved, 0))
	}
}

// Restore records a verdict that was kept, without the causes that runs here have shown to be innocent.
func (t *Tracker) Restore(kept sardinerock.Verdict, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Kind: KindVerdict, Age: kept.Age, Trials: kept.Count}
	for _, c := range kept.Causes {
		r.Causes = append(r.Causes, Cause(c))
	}
	slices.Sort(r.Causes)
	t.receiveVerdict(storeName, &r, now.Add(-kept.Age), now)
	if v := t.verdictOn(r.Causes); v != nil {
		v.saved = max(v.saved, kept.Count)
		return
	}
	t.discard(&verdict{causes: r.Causes})
}

// ChargeTrial is called after Send has allowed a run. If that is a trial, its failure is on record before it is sent: an entry that
// starts after the loss of all would send it once more. It returns false, and ends the run, if it isn't on record.
func (t *Tracker) ChargeTrial(ctx context.Context, r *Run, now time.Time) bool {
	if r.trial == nil || t.Verdicts == nil {
		return true
	}
	t.mu.Lock()
	v := t.verdictOn(r.trial)
	if v == nil {
		t.mu.Unlock()
		return true
	}
	trials := max(v.trials, v.saved) + 1
	kept := savedVerdict(v, trials, 0)
	t.mu.Unlock()
	err := t.Verdicts.Charge(ctx, kept)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		v.trialUntil = now.Add(chargeRetryTime)
		t.end(r)
		return false
	}
	v.saved, v.savedHere = trials, true
	return true
}

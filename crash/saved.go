package crash

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock"
)

// save has the failures of a request kept once it is rejected because of them.
func (c *Counter) save(request uint64, r *record, now time.Time) {
	n := r.counted(r.sequence, now)
	if c.Verdicts == nil || n < limit || n <= r.saved {
		return
	}
	r.saved, r.savedHere = n, true
	c.Verdicts.Put(sardinerock.Verdict{Key: request, Count: n, Age: now.Sub(r.sequence.latest)})
}

// discard has what is kept of a request deleted, since it got a response.
func (c *Counter) discard(request uint64, r *record) {
	r.saved, r.savedHere = 0, false
	if c.Verdicts != nil {
		c.Verdicts.Delete(sardinerock.Verdict{Key: request})
	}
}

// Restore records what was kept of a request, unless a response here shows that it no longer counts.
func (c *Counter) Restore(v sardinerock.Verdict, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := now.Add(-v.Age)
	r := c.record(v.Key)
	if latest.Sub(r.served) <= graceTime {
		c.discard(v.Key, r)
		return
	}
	r.saved = max(r.saved, v.Count)
	if v.Count > r.counted(r.sequence, now) {
		if r.sequence.latest.After(latest) {
			latest = r.sequence.latest
		}
		r.sequence = failures{count: v.Count, latest: latest}
	}
}

// ChargeTrial is called after Send has allowed a request. If that is a trial, its failure is on record before it is sent: an entry
// that starts after the loss of all would send it once more. It returns how long the request must not be sent if it isn't on record.
func (c *Counter) ChargeTrial(ctx context.Context, request uint64, now time.Time) (blocked time.Duration) {
	c.mu.Lock()
	r, ok := c.requests.Peek(request)
	if !ok || c.Verdicts == nil || r.counted(r.sequence, now) < limit {
		c.mu.Unlock()
		return 0
	}
	count := max(r.counted(r.sequence, now), r.saved) + 1
	c.mu.Unlock()
	err := c.Verdicts.Charge(ctx, sardinerock.Verdict{Key: request, Count: count})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		r.trialUntil = now.Add(chargeRetryTime)
		return retryAfter
	}
	r.saved, r.savedHere = count, true
	return 0
}

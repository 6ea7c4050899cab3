package await

import (
	"cmp"
	"context"
	"sync"
	"time"
)

const (
	// minTimeout is many times the 6 ms that an append takes without load.
	minTimeout = 120 * time.Millisecond
	// maxTimeout is below the two seconds after which the store itself rejects a waiting append.
	maxTimeout = 1500 * time.Millisecond
	// timeoutFactor is the ratio of the timeout to the mean duration.
	timeoutFactor = 6
	// meanWeight is the inverse weight of one call in the mean duration: 8 means an eighth.
	meanWeight = 8
)

// AdaptiveTimeout computes the timeout of a call to the store, such as an append, from the
// durations of earlier calls. With a fixed timeout of a second, a lost answer would delay the
// job's answer beyond the time within which it has its full value. A retry that is sent
// too early costs one call and does no harm, since appends are idempotent: a retry carries
// the same condition or the same keys. An overloaded store takes 0.25 s per call; the timeout
// then grows with the mean duration. The methods are safe for concurrent use.
type AdaptiveTimeout struct {
	// Min and Max bound the timeout; 0 selects the bounds for appends.
	Min, Max time.Duration

	mu   sync.Mutex
	mean time.Duration
	// timeouts counts the calls that timed out since the last answer.
	timeouts int
}

// Next returns the timeout of the next call. It doubles with each timeout since the last
// answer.
func (t *AdaptiveTimeout) Next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	least, most := cmp.Or(t.Min, minTimeout), cmp.Or(t.Max, maxTimeout)
	timeout := max(timeoutFactor*t.mean, least)
	for range t.timeouts {
		if timeout *= 2; timeout >= most {
			break
		}
	}
	return min(timeout, most)
}

// Answered records that a call was answered, and how long it took.
func (t *AdaptiveTimeout) Answered(duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeouts = 0
	t.mean += (duration - t.mean) / meanWeight
}

// TimedOut records that a call was not answered within the timeout.
func (t *AdaptiveTimeout) TimedOut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeouts++
}

// Sleep waits for d; it returns false if ctx is done before.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Until polls done at the interval until it returns true; it returns false if ctx is done before.
func Until(ctx context.Context, interval time.Duration, done func() bool) bool {
	t := time.NewTicker(interval)
	defer t.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}

package quota

import (
	"math"
	"time"
)

// bucket holds one limit per minute. It may be overdrawn, and takes back what
// was estimated too high; golang.org/x/time/rate does neither.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) refill(now time.Time, perMinute int, share float64) {
	size := bucketSize(perMinute, share)
	if b.at.IsZero() {
		b.level = size
	} else {
		b.level = min(size, b.level+share*float64(perMinute)*now.Sub(b.at).Minutes())
	}
	b.at = now
}

// wait is how long it takes until the bucket holds anything; a limit of 0 never waits.
func (b *bucket) wait(perMinute int, share float64) time.Duration {
	if perMinute <= 0 || b.level > 0 {
		return 0
	}
	return time.Duration((1 - b.level) / (share * float64(perMinute)) * float64(time.Minute))
}

func bucketSize(perMinute int, share float64) float64 {
	return max(1, burstPart*share*float64(perMinute))
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.value = max(0, r.value+amount*float64(time.Minute)/float64(usageWindow))
}

func (r *rate) perMinute(now time.Time) float64 {
	r.decay(now)
	return r.value
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.value *= math.Exp(-now.Sub(r.at).Seconds() / usageWindow.Seconds())
	}
	r.at = now
}

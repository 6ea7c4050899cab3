package quota

import (
	"math"
	"time"
)

// bucket is a token bucket for one limit per minute. Its level may go below zero,
// and an estimate that was too high can be refunded; golang.org/x/time/rate
// supports neither.
type bucket struct {
	level      float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time, perMinute int, share float64) {
	size := bucketSize(perMinute, share)
	if b.refilledAt.IsZero() {
		b.level = size
	} else {
		b.level = min(size, b.level+share*float64(perMinute)*now.Sub(b.refilledAt).Minutes())
	}
	b.refilledAt = now
}

// wait returns the time until the bucket holds one token; 0 where there is no limit.
func (b *bucket) wait(perMinute int, share float64) time.Duration {
	if perMinute <= 0 || b.level > 0 {
		return 0
	}
	return time.Duration((1 - b.level) / (share * float64(perMinute)) * float64(time.Minute))
}

func bucketSize(perMinute int, share float64) float64 {
	return max(1, burstFraction*share*float64(perMinute))
}

func (r *minuteRate) add(now time.Time, amount float64) {
	r.decay(now)
	r.value = max(0, r.value+amount*float64(time.Minute)/float64(usageWindow))
}

func (r *minuteRate) perMinute(now time.Time) float64 {
	r.decay(now)
	return r.value
}

func (r *minuteRate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.value *= math.Exp(-now.Sub(r.updatedAt).Seconds() / usageWindow.Seconds())
	}
	r.updatedAt = now
}

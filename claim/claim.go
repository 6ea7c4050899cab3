package claim

import (
	"time"

	"github.com/sardinerock/sardinerock/buffer"
)

const (
	// drainTimeout is how long running items may continue before a handover.
	drainTimeout = 5 * time.Second
	// HandOverTimeout is how long the new owner waits for the handover before it claims the shard anyway: the old owner
	// may not consider it live.
	HandOverTimeout = 15 * time.Second
	// minOwnerSilence is how long an owner that is not considered live must not have written before its shard is
	// claimed. If two entries reach the log but not each other, both consider the other one failed. Without this wait
	// each claim made the other's results stale before they were recorded: 870 claims and no result in 20 s. An owner
	// with work writes at least every buffer.MinLinger, so slightly more is enough.
	minOwnerSilence = buffer.MinLinger + 500*time.Millisecond
	// minBackoff and maxBackoff bound the time for which an entry doesn't claim a shard that another entry claimed from
	// it. After one of two entries was paused, each may consider the other failed; both see each other as live again
	// well within minBackoff. maxBackoff is for entries that stay partitioned: the owner must have time to record
	// results between two claims.
	minBackoff = 4 * time.Second
	maxBackoff = time.Minute
)

// Policy decides for one entry and one shard. It isn't safe for concurrent use.
type Policy struct {
	// ownerSeen is when the owner last wrote.
	ownerSeen time.Time
	// claimAfter is the earliest time of the next claim, backoff the next delay after a lost shard.
	claimAfter time.Time
	backoff    time.Duration

	// waitingSince is when this entry began to wait for a handover, drainSince when it began to hand the shard over;
	// zero if it doesn't.
	waitingSince time.Time
	drainSince   time.Time
}

// OwnerSeen is called when the owner wrote to the shard's stream.
func (c *Policy) OwnerSeen(now time.Time) { c.ownerSeen = now }

// BackOff is called when another entry claimed the shard from this one. It delays the next claim, by an exponential
// backoff.
func (c *Policy) BackOff(now time.Time) {
	if now.Sub(c.claimAfter) > maxBackoff {
		c.backoff = minBackoff
	}
	c.claimAfter = now.Add(c.backoff)
	c.backoff = min(2*c.backoff, maxBackoff)
}

// ResetWait ends the wait for a handover; it is called while this entry should not or can't claim the shard.
func (c *Policy) ResetWait() { c.waitingSince = time.Time{} }

// MayClaim reports whether this entry may claim the shard. other reports whether another entry owns it, live whether
// that owner is considered live.
func (c *Policy) MayClaim(now time.Time, other, live bool) bool {
	if now.Before(c.claimAfter) {
		return false
	}
	if !other || (!live && now.Sub(c.ownerSeen) >= minOwnerSilence) {
		return true
	}
	if c.waitingSince.IsZero() {
		c.waitingSince = now
	}
	return now.Sub(c.waitingSince) >= HandOverTimeout
}

// Drain starts the handover unless it has started, and reports whether the running items must be cancelled now.
func (c *Policy) Drain(now time.Time) bool {
	if c.drainSince.IsZero() {
		c.drainSince = now
	}
	return now.Sub(c.drainSince) > drainTimeout
}

// Draining reports whether the shard is being handed over. Its items must not start then.
func (c *Policy) Draining() bool { return !c.drainSince.IsZero() }

// EndDrain is called when the handover is done or cancelled.
func (c *Policy) EndDrain() { c.drainSince = time.Time{} }

// Acquired is called when this entry became the owner.
func (c *Policy) Acquired() { c.drainSince, c.waitingSince = time.Time{}, time.Time{} }

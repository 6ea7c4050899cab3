package adapt

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// overloadAfter is how long the queue must be non-empty to mean overload rather than a burst:
	// bursts of the present users are served faster.
	overloadAfter = 5 * time.Second
	// maxWaitTargets is the longest wait of new work under overload, as a multiple of the target for
	// first tokens. It is enough to keep the slots filled between two arrivals.
	maxWaitTargets = 2
	// defaultMaxWait is the longest wait if there is no target.
	defaultMaxWait = 2 * time.Second
)

// StandingQueue distinguishes overload from a burst by how long the queue has not been empty.
//
// Load pattern: saturation. With deadlines alone, the queue grows until each request waits as
// long as its deadline allows: at 3x load and deadlines of 15 s every first token came after
// 11 s, with no more answers in time than with a short queue. A burst is over in seconds, and
// rejecting it would lose work that slots could serve a moment later.
type StandingQueue struct {
	// emptyAt is when the queue was last empty.
	emptyAt time.Time
}

// Observe records the length of the online queue.
func (s *StandingQueue) Observe(now time.Time, waiting int) {
	if waiting == 0 || s.emptyAt.IsZero() {
		s.emptyAt = now
	}
}

// Overloaded reports whether the queue means overload rather than a burst.
func (s *StandingQueue) Overloaded(now time.Time) bool { return now.Sub(s.emptyAt) > overloadAfter }

// MaxWait returns how long new work may wait under overload.
func (s *StandingQueue) MaxWait(l sardinerock.GateLimits) time.Duration {
	if l.FirstTokenTarget <= 0 {
		return defaultMaxWait
	}
	return maxWaitTargets * l.FirstTokenTarget
}

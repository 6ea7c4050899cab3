package limits

import (
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/queue"
)

// The defaults if there is no bundle or it does not set the value.
const (
	DefaultMaxItems        = 200_000
	DefaultMaxAttempts     = 3
	DefaultResultRetention = 48 * time.Hour
)

// bundle returns the current bundle, or nil if there is none; c may be nil.
func bundle(c sardinerock.ConfigSource) *sardinerock.Bundle {
	if c == nil {
		return nil
	}
	snapshot := c.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Bundle
}

// MaxItems returns the maximum number of items of a job.
func MaxItems(c sardinerock.ConfigSource) int {
	if b := bundle(c); b != nil && b.Batch.MaxItems > 0 {
		return b.Batch.MaxItems
	}
	return DefaultMaxItems
}

// MaxAttempts returns after how many failed attempts an item fails.
func MaxAttempts(c sardinerock.ConfigSource) uint32 {
	if b := bundle(c); b != nil && b.Batch.MaxAttempts > 0 {
		return uint32(b.Batch.MaxAttempts)
	}
	return DefaultMaxAttempts
}

// ResultRetention returns how long results stay readable after the end of their job.
func ResultRetention(c sardinerock.ConfigSource) time.Duration {
	if b := bundle(c); b != nil && b.Batch.ResultHours > 0 {
		return time.Duration(b.Batch.ResultHours) * time.Hour
	}
	return DefaultResultRetention
}

// IsOperator reports whether the caller may see and cancel the jobs of all callers.
func IsOperator(c sardinerock.ConfigSource, caller string) bool {
	b := bundle(c)
	return b != nil && slices.ContainsFunc(b.Callers, func(c sardinerock.Caller) bool {
		return c.Name == caller && c.Operator
	})
}

// Share returns the caller's team and weights. A caller that is not in the bundle
// gets a team of its own.
func Share(source sardinerock.ConfigSource, caller string) queue.Share {
	share := queue.Share{Team: "caller " + caller, Caller: caller}
	b := bundle(source)
	if b == nil {
		return share
	}
	for _, c := range b.Callers {
		if c.Name == caller {
			share.Team, share.Weight = c.Team, float64(c.Weight)
		}
	}
	for _, t := range b.Teams {
		if t.Name == share.Team {
			share.TeamWeight = float64(t.Weight)
		}
	}
	return share
}

package entry

import (
	"sync/atomic"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/wire"
)

// callerIndex maps names to callers and teams. Every request looks them up, and a configuration may have 1,800 teams.
type callerIndex struct {
	snapshot *sardinerock.ConfigSnapshot
	callers  map[string]*sardinerock.Caller
	teams    map[string]*sardinerock.Team
}

// callerCache holds the index of the configuration that was requested last.
type callerCache struct {
	index atomic.Pointer[callerIndex]
}

// forSnapshot returns the index of the configuration and builds it if it is not cached.
func (c *callerCache) forSnapshot(snapshot *sardinerock.ConfigSnapshot) *callerIndex {
	x := c.index.Load()
	if x != nil && x.snapshot == snapshot {
		return x
	}
	x = &callerIndex{
		snapshot: snapshot,
		callers:  make(map[string]*sardinerock.Caller, len(snapshot.Bundle.Callers)),
		teams:    make(map[string]*sardinerock.Team, len(snapshot.Bundle.Teams)),
	}
	for i := range snapshot.Bundle.Callers {
		x.callers[snapshot.Bundle.Callers[i].Name] = &snapshot.Bundle.Callers[i]
	}
	for i := range snapshot.Bundle.Teams {
		x.teams[snapshot.Bundle.Teams[i].Name] = &snapshot.Bundle.Teams[i]
	}
	c.index.Store(x)
	return x
}

// limits returns the limits of a caller; all are zero for an unknown one.
func (x *callerIndex) limits(name string) quota.CallerLimits {
	c := x.callers[name]
	if c == nil {
		return quota.CallerLimits{}
	}
	return quota.CallerLimits{RequestsPerMinute: c.RequestsPerMinute, TokensPerMinute: c.TokensPerMinute, MaxInFlight: c.MaxInFlight}
}

// setWeights sets the fair-share weights of the caller and its team in an attempt.
func (x *callerIndex) setWeights(start *wire.Start) {
	c := x.callers[start.Caller]
	if c == nil {
		return
	}
	start.Weight = uint32(c.Weight)
	start.Team = c.Team
	if t := x.teams[c.Team]; t != nil {
		start.TeamWeight = uint32(t.Weight)
	}
}

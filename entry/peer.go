package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/member"
	"github.com/sardinerock/sardinerock/peers"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/ticker"
	"github.com/sardinerock/sardinerock/wire"
)

// maxUsage limits the callers whose usage one ping reports. All 1,800 would take
// 40 KB per ping, and only the busiest callers come near their limits.
const maxUsage = 16

// report builds the report that this entry sends to its peers.
func (e *Entry) report() peers.Report {
	current := e.configManager.Current()
	e.mu.Lock()
	defer e.mu.Unlock()
	report := peers.Report{Leaving: e.leaving}
	if current != nil {
		report.ConfigVersion = current.Version
		report.Usage = e.usage(time.Now(), e.callers.forSnapshot(current))
	}
	return report
}

// usage returns the recent usage of the busiest callers that have a limit. The caller holds e.mu.
func (e *Entry) usage(now time.Time, callers *callerIndex) []*wire.Usage {
	busiest := slices.DeleteFunc(e.limiter.Usage(now), func(u quota.Usage) bool {
		return callers.limits(u.Caller) == (quota.CallerLimits{})
	})
	slices.SortFunc(busiest, func(a, b quota.Usage) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(b.Requests, a.Requests))
	})
	var top []*wire.Usage
	for _, u := range busiest[:min(len(busiest), maxUsage)] {
		top = append(top, &wire.Usage{Caller: u.Caller, Requests: u.Requests, Tokens: u.Tokens})
	}
	return top
}

// usageLoop passes the usage that other entries report for each caller to the limiter.
func (e *Entry) usageLoop(ctx context.Context) {
	ticker.Every(ctx, member.HeartbeatInterval, func() {
		now := time.Now()
		live := len(e.liveEntries())
		var usage []quota.Usage
		reporting := 0
		for _, p := range e.mesh.Peers() {
			if p.Silent(now) {
				continue
			}
			reporting++
			for _, u := range p.Report.Usage {
				usage = append(usage, quota.Usage{Caller: u.Caller, Requests: u.Requests, Tokens: u.Tokens})
			}
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.limiter.SetPeers(now, live, reporting, usage)
	})
}

// self returns this entry as the instance list describes it.
func (e *Entry) self() sardinerock.Instance {
	return sardinerock.Instance{
		ID: e.ID, Role: sardinerock.RoleEntry, Region: e.Region, Zone: e.Zone, Address: e.PeerListener.Addr().String(),
	}
}

// liveEntries returns the ids of the entries that may own shards, including this one.
func (e *Entry) liveEntries() []string { return e.tracker.Live(time.Now()) }

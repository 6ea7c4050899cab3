package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/httpd"
	"github.com/sardinerock/sardinerock/peers"
)

// States of entries in the status.
const (
	stateUp      = "up"
	stateSilent  = "silent"
	stateLeaving = "leaving"
)

// status returns this entry's view of the fleet.
func (e *Entry) status() httpd.Status {
	st := httpd.Status{Process: e.ID, Blocked: e.configManager.Blocked()}
	own := httpd.ProcessStatus{ID: e.ID, Role: sardinerock.RoleEntry, Zone: e.Zone, State: stateUp}
	if e.isLeaving() {
		own.State = stateLeaving
	}
	if current := e.configManager.Current(); current != nil {
		own.Version, own.Since = current.Version, current.Since
	}
	st.Processes = append(st.Processes, own)
	for _, p := range e.mesh.Peers() {
		st.Processes = append(st.Processes, httpd.ProcessStatus{
			ID: p.Instance.ID, Role: sardinerock.RoleEntry, Zone: p.Instance.Zone,
			State: peerState(&p, time.Now()), Version: p.Report.ConfigVersion, Since: p.VersionSince,
		})
	}
	backends, processes := e.sides.Status()
	st.Backends = backends
	st.Processes = append(st.Processes, processes...)
	slices.SortFunc(st.Processes, func(a, b httpd.ProcessStatus) int { return strings.Compare(a.ID, b.ID) })
	return st
}

func peerState(p *peers.Peer, now time.Time) string {
	switch {
	case p.Report.Leaving:
		return stateLeaving
	case p.Silent(now):
		return stateSilent
	default:
		return stateUp
	}
}

package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/front"
	"github.com/sardinerock/sardinerock/peers"
)

// States of backend servers and processes in the status.
const (
	stateUp      = "up"
	stateDown    = "down"
	stateSilent  = "silent"
	stateLeaving = "leaving"
)

// status is what this entry knows of the fleet.
func (e *Entry) status() front.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := front.Status{Process: e.ID}
	own := front.ProcessStatus{ID: e.ID, Role: sardinerock.RoleEntry, Zone: e.Zone, State: stateUp}
	if e.leaving {
		own.State = stateLeaving
	}
	if current := e.keeper.Current(); current != nil {
		own.Version, own.Since = current.Version, current.Since
	}
	st.Processes = append(st.Processes, own)
	for _, p := range e.mesh.Peers() {
		st.Processes = append(st.Processes, front.ProcessStatus{
			ID: p.Instance.ID, Role: sardinerock.RoleEntry, Zone: p.Instance.Zone,
			State: peerState(&p, time.Now()), Version: p.Word.ConfigVersion, Since: p.VersionSince,
		})
	}
	for _, l := range e.links {
		backend, process := sideStatus(l)
		st.Backends = append(st.Backends, backend)
		st.Processes = append(st.Processes, process)
	}
	slices.SortFunc(st.Backends, func(a, b front.BackendStatus) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(st.Processes, func(a, b front.ProcessStatus) int { return strings.Compare(a.ID, b.ID) })
	return st
}

func peerState(p *peers.Peer, now time.Time) string {
	switch {
	case p.Word.Leaving:
		return stateLeaving
	case p.Silent(now):
		return stateSilent
	default:
		return stateUp
	}
}

func sideStatus(l *sideLink) (front.BackendStatus, front.ProcessStatus) {
	backend := front.BackendStatus{ID: l.instance.ID, Zone: l.instance.Zone, Service: l.instance.Service, State: stateDown}
	process := front.ProcessStatus{ID: l.instance.ID, Role: sardinerock.RoleSide, Zone: l.instance.Zone, State: stateSilent}
	if !l.client.Up() || l.last == nil {
		backend.State = stateSilent
		return backend, process
	}
	process.State = stateUp
	process.Version, process.Since = l.last.ConfigVersion, l.since
	switch {
	case l.last.Leaving:
		backend.State, process.State = stateLeaving, stateLeaving
	case l.last.BackendUp:
		backend.State = stateUp
	}
	backend.Slots = int(l.last.Slots)
	backend.OnlineRunning = int(l.last.OnlineRunning)
	backend.OnlineWaiting = int(l.last.OnlineWaiting)
	backend.BatchRunning = int(l.last.BatchRunning)
	for _, m := range l.last.Loaded {
		backend.Loaded = append(backend.Loaded, sardinerock.LoadedModel{Model: m.Model, Version: m.Version, Adapter: m.Adapter})
	}
	return backend, process
}

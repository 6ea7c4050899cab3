package sides

import (
	"slices"
	"strings"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/httpd"
)

// States of sides and their backend servers in the status.
const (
	stateUp      = "up"
	stateDown    = "down"
	stateSilent  = "silent"
	stateLeaving = "leaving"
)

// Status returns the backend servers, sorted by id, and their sides in no order.
func (s *Sides) Status() ([]httpd.BackendStatus, []httpd.ProcessStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var backends []httpd.BackendStatus
	var processes []httpd.ProcessStatus
	for _, l := range s.links {
		backend, process := sideStatus(l)
		backends = append(backends, backend)
		processes = append(processes, process)
	}
	slices.SortFunc(backends, func(a, b httpd.BackendStatus) int { return strings.Compare(a.ID, b.ID) })
	return backends, processes
}

func sideStatus(l *sideLink) (httpd.BackendStatus, httpd.ProcessStatus) {
	backend := httpd.BackendStatus{ID: l.instance.ID, Zone: l.instance.Zone, Service: l.instance.Service, State: stateDown}
	process := httpd.ProcessStatus{ID: l.instance.ID, Role: sardinerock.RoleSide, Zone: l.instance.Zone, State: stateSilent}
	if !l.client.Up() || l.heartbeat == nil {
		backend.State = stateSilent
		return backend, process
	}
	process.State = stateUp
	process.Version, process.Since = l.heartbeat.ConfigVersion, l.versionSince
	switch {
	case l.heartbeat.Leaving:
		backend.State, process.State = stateLeaving, stateLeaving
	case l.heartbeat.BackendUp:
		backend.State = stateUp
	}
	backend.Slots = int(l.heartbeat.Slots)
	backend.OnlineRunning = int(l.heartbeat.OnlineRunning)
	backend.OnlineWaiting = int(l.heartbeat.OnlineWaiting)
	backend.BatchRunning = int(l.heartbeat.BatchRunning)
	for _, m := range l.heartbeat.Loaded {
		backend.Loaded = append(backend.Loaded, sardinerock.LoadedModel{Model: m.Model, Version: m.Version, Adapter: m.Adapter})
	}
	return backend, process
}

package side

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/member"
	"github.com/sardinerock/sardinerock/place"
)

// placementLoop loads and unloads models as the configuration in force requires.
func (s *Side) placementLoop(ctx context.Context) {
	if s.Engine == nil {
		return
	}
	reconciler := &place.Reconciler{
		Engine:              s.Engine,
		Self:                s.ID,
		Process:             log.NewXID().String(),
		Config:              &s.replica,
		Sides:               s.ownInstance,
		InUse:               s.inUse,
		Events:              s.Events,
		StoreBytesPerSecond: s.StoreBytesPerSecond,
	}
	var tracking sync.WaitGroup
	defer tracking.Wait()
	if s.Instances != nil {
		tracker := &member.Tracker{Self: s.self(), List: s.Instances, Events: s.Events}
		reconciler.Sides = func() []sardinerock.Instance { return tracker.Instances(sardinerock.RoleSide) }
		tracking.Go(func() { _ = tracker.Run(ctx) })
	}
	_ = reconciler.Run(ctx)
}

// self returns this side as the instance list describes it.
func (s *Side) self() sardinerock.Instance {
	return sardinerock.Instance{
		ID: s.ID, Role: sardinerock.RoleSide, Region: s.Region, Zone: s.Zone,
		Address: s.Listener.Addr().String(), Service: s.Service,
	}
}

// ownInstance returns only this side, for a placement without an instance list.
func (s *Side) ownInstance() []sardinerock.Instance { return []sardinerock.Instance{s.self()} }

// inUse reports whether requests for a model are queued or running here.
func (s *Side) inUse(m sardinerock.LoadedModel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.start.Model == m.Model && a.start.Version == m.Version && a.start.Adapter == m.Adapter {
			return true
		}
	}
	return false
}

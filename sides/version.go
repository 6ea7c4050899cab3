package sides

import (
	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/route"
)

// grantKey identifies a grant: the permission of a caller to use a model.
type grantKey struct {
	caller string
	model  string
}

// pickVersion returns the model version for an attempt. After a change of version,
// some requests still get the previous one until the change is complete. A resumed
// answer keeps the version that began it. The caller holds s.mu.
func (s *Sides) pickVersion(query route.Query, spec Spec) string {
	if spec.Pinned != "" {
		return spec.Pinned
	}
	older := query
	older.Version = s.previousVersion(spec.Request)
	if older.Version == "" || older.Version == query.Version {
		return query.Version
	}
	shift, complete := s.table.Shift(query, older, spec.Request.ID)
	if complete {
		s.answeredVersions[grantKey{caller: spec.Request.Caller, model: spec.Request.Model}] = query.Version
	}
	if !shift {
		return older.Version
	}
	return query.Version
}

// previousVersion returns the version that last answered requests of the grant, if
// the bundle in force still lists it. The caller holds s.mu.
//
// Example: a bundle moves a caller from version 1 to version 2, and loading takes
// two minutes until the first engine has version 2. Without version 1, all requests
// would be rejected for two minutes, an outage at each change of version. If the
// bundle no longer lists version 1, it was withdrawn and must not answer requests;
// rejecting them is then correct.
func (s *Sides) previousVersion(r *sardinerock.Request) string {
	current := s.ConfigManager.Current()
	if r.Service != "" || current == nil {
		return ""
	}
	previous := s.answeredVersions[grantKey{caller: r.Caller, model: r.Model}]
	for _, m := range current.Bundle.Models {
		for _, v := range m.Versions {
			if m.Name == r.Model && v.Name == previous {
				return previous
			}
		}
	}
	return ""
}

// Answered records the version that answered a request. During a change of version it
// does nothing: pickVersion records the new version once the change is complete.
func (s *Sides) Answered(r *sardinerock.Request, version string) {
	if r.Service != "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.previousVersion(r) == "" {
		s.answeredVersions[grantKey{caller: r.Caller, model: r.Model}] = version
	}
}

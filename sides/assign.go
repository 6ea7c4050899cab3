package sides

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/retry"
	"github.com/sardinerock/sardinerock/route"
	"github.com/sardinerock/sardinerock/wire"
)

// Spec describes the next attempt at a request.
type Spec struct {
	Request *sardinerock.Request
	// Attempt is the number of this attempt, from 1; Tried names the backend servers of the earlier ones.
	Attempt int
	Tried   []string
	// Alone requires a backend server on which nothing else runs, as for an earlier attempt.
	Alone bool
	// Pinned is the model version that produced the tokens delivered so far; empty before the first token.
	Pinned string
}

// Assignment is the backend server chosen for an attempt.
type Assignment struct {
	// Backend is the side's id, Version the model version to use.
	Backend string
	Version string
	// Alone is set if nothing else may run beside the attempt.
	Alone bool

	side    *sideLink
	class   sardinerock.Class
	attempt string
}

// Choose picks a backend server and counts the attempt as in flight there until
// Finished is called. It returns false if no backend server can take the attempt.
func (s *Sides) Choose(now time.Time, spec Spec) (*Assignment, bool) {
	r := spec.Request
	query := route.Query{
		Model: r.Model, Version: r.Version, Adapter: r.Adapter, Service: r.Service,
		Zone: s.Zone, Class: r.Class, Prefixes: r.Prefixes, Exclude: spec.Tried, Fingerprint: r.Fingerprint,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	query.Alone = spec.Alone || s.suspects.Check(now, r.Fingerprint) == retry.Suspect
	if query.Alone {
		// All attempts at a suspect go to the same backend server, also after a failure there.
		query.Exclude = nil
	}
	query.Version = s.pickVersion(query, spec)
	choice, ok := s.table.Pick(now, query)
	if !ok {
		s.Events.Warn(event.RouteNone).Str("request", r.ID).Str("model", r.Model).Str("version", r.Version).Str("service", r.Service).Msg("no backend server for the request; attempt fails")
		return nil, false
	}
	s.table.Started(now, choice.ID, query)
	s.Events.Info(event.RouteChosen).Str("request", r.ID).Str("caller", r.Caller).Str("backend", choice.ID).
		Str("reason", string(choice.Reason)).Int("prefix", choice.MatchedPrefixes).Int("attempt", spec.Attempt).Msg("backend server chosen")
	s.attemptCount++
	a := &Assignment{
		Backend: choice.ID, Version: query.Version, Alone: query.Alone,
		side: s.links[choice.ID], class: r.Class, attempt: strconv.FormatUint(s.attemptCount, 36),
	}
	a.side.inFlight[a.attempt] = inFlightAttempt{fingerprint: r.Fingerprint, alone: a.Alone}
	return a, true
}

// Start queues an attempt for sending to its backend server; an error means that it was not sent.
func (s *Sides) Start(a *Assignment, start *wire.Start) (*link.Attempt, error) {
	start.Attempt = a.attempt
	return a.side.client.Start(start)
}

// Finished ends what Choose counted as in flight. sample is what the attempt
// measured; load is the load from its End frame, or nil.
func (s *Sides) Finished(a *Assignment, sample route.Sample, load *wire.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(a.side.inFlight, a.attempt)
	s.table.Finished(time.Now(), a.Backend, a.class, sample)
	if load == nil {
		return
	}
	s.table.UpdateLoad(a.Backend, route.Load{
		Slots:         int(load.Slots),
		OnlineRunning: int(load.OnlineRunning),
		OnlineWaiting: int(load.OnlineWaiting),
		BatchRunning:  int(load.BatchRunning),
		BatchCredit:   int(load.BatchCredit),
	})
}

// lossID returns an id for the loss of an instance; all entries with attempts there compute the same one.
func lossID(instance string) uint64 { return xxhash.Sum64String(instance) }

package side

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/ticker"
	"github.com/sardinerock/sardinerock/wire"
)

const (
	// probeTimeout bounds one request for the state or the cache events of the backend server.
	probeTimeout = time.Second
	// crashProbeTimeout is the probe timeout after a broken stream: if the process has exited, its address refuses
	// the connection at once.
	crashProbeTimeout = 300 * time.Millisecond
	cacheInterval     = time.Second
	// maxPrefixesPerHeartbeat limits the cache events that one heartbeat reports; older ones are left out.
	maxPrefixesPerHeartbeat = 256
)

// health is the last known state of the backend server.
type health struct {
	up bool
	// generation counts the changes from up to down.
	generation uint64
	loaded     []sardinerock.LoadedModel
	// cacheSequence is the sequence number of the last cache event received.
	cacheSequence int64
}

func (s *Side) probeLoop(ctx context.Context) {
	ticker.Every(ctx, probeInterval, func() { s.probe(ctx, probeTimeout) })
}

// probe requests the engine's state and reports whether it is up. A plain service has
// no state request and counts as up.
func (s *Side) probe(ctx context.Context, timeout time.Duration) bool {
	up := true
	var state sardinerock.EngineState
	if s.Engine != nil {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var err error
		state, err = s.Engine.State(ctx)
		up = err == nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setHealth(up, state.Loaded)
	return up
}

// setHealth stores the result of a probe and sends a change to all entries at once. The caller holds s.mu.
func (s *Side) setHealth(up bool, loaded []sardinerock.LoadedModel) {
	changed := up != s.health.up || up && !slices.Equal(loaded, s.health.loaded)
	if s.health.up && !up {
		s.health.generation++
	}
	s.health.up = up
	if up {
		s.health.loaded = loaded
	}
	if changed {
		s.Events.Info(event.BackendState).Bool("up", up).Int("loaded", len(loaded)).Msg("state of the backend server changed; notifying entries")
		s.sendHeartbeats()
	}
}

// recordCrash marks the requests that ran when the backend server crashed as
// suspects. Any of them may be the cause: if A and B ran and only A were marked, B
// would be retried beside other requests and crash the next backend server. So all
// of them may only run alone until they have completed that way.
//
// A stream also breaks if the network between side and backend server cuts it. If
// the backend server still answers, only the request of that stream is marked, and
// it is not blocked even if it ran alone. If the engine crashed but restarted before
// the probe, the next crash identifies the request.
func (s *Side) recordCrash(a *attempt) {
	alive := s.probe(s.ctx, crashProbeTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := []uint64{a.start.Fingerprint}
	if !alive {
		inFlight = s.runningFingerprints()
	}
	s.Events.Error(event.BackendCrashed).Str("attempt", a.start.Attempt).Str("caller", a.start.Caller).
		Bool("alive", alive).Int("inFlight", len(inFlight)).Msg("stream broke during the request; marking suspects")
	s.suspects.RecordCrash(time.Now(), s.crashID(), inFlight, a.start.Alone && !alive)
	s.quarantineWaiting(time.Now())
	s.sendHeartbeats()
}

func (s *Side) runningFingerprints() []uint64 {
	var all []uint64
	for _, a := range s.attempts {
		if a.cancel != nil {
			all = append(all, a.start.Fingerprint)
		}
	}
	return all
}

// crashID returns an id for the current crash of the backend server; all streams that it broke get the same one.
func (s *Side) crashID() uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(s.ID), s.health.generation))
}

// cacheLoop sends the engine's cache events to the entries. Events may be late or
// missing, so routing uses them only as hints.
func (s *Side) cacheLoop(ctx context.Context) {
	if s.Engine == nil {
		return
	}
	ticker.Every(ctx, cacheInterval, func() {
		s.mu.Lock()
		after := s.health.cacheSequence
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		events, err := s.Engine.CacheEvents(ctx, after)
		if err != nil || len(events) == 0 {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.health.cacheSequence = events[len(events)-1].Sequence
		for session := range s.sessions {
			session.SendHeartbeat(s.cacheHeartbeat(session, events))
		}
	})
}

// cacheHeartbeat builds a heartbeat that also carries changed prefixes. The caller holds s.mu.
func (s *Side) cacheHeartbeat(session *link.Session, events []sardinerock.CacheEvent) *wire.SideBeat {
	heartbeat := s.heartbeat(session, 0)
	for _, e := range events[max(0, len(events)-maxPrefixesPerHeartbeat):] {
		if e.Dropped {
			heartbeat.PrefixesDropped = append(heartbeat.PrefixesDropped, e.Prefix)
		} else {
			heartbeat.PrefixesAdded = append(heartbeat.PrefixesAdded, e.Prefix)
		}
	}
	return heartbeat
}

// heartbeat builds the heartbeat for one entry; echo is the sequence number of the
// heartbeat that it answers, or 0. The caller holds s.mu.
func (s *Side) heartbeat(session *link.Session, echo uint64) *wire.SideBeat {
	now := time.Now()
	state := s.gate.State()
	heartbeat := &wire.SideBeat{
		Echo:              echo,
		Leaving:           s.leaving,
		BackendUp:         s.health.up,
		BackendGeneration: s.health.generation,
		Slots:             uint32(state.Slots),
		OnlineRunning:     uint32(state.OnlineRunning),
		OnlineWaiting:     uint32(state.OnlineWaiting),
		BatchRunning:      uint32(state.BatchRunning),
		BatchCredit:       uint32(s.entryShare(state.BatchCredit)),
		FirstTokenMs:      uint32(state.FirstToken.Milliseconds()),
		TokenGapUs:        uint32(state.TokenGap.Microseconds()),
		Quarantined:       link.ToWire(s.suspects.Snapshot(now)),
	}
	if current := s.replica.Current(); current != nil {
		heartbeat.ConfigVersion = current.Version
	}
	reported, open := s.sessions[session]
	if len(reported) > 0 && slices.Equal(reported, s.health.loaded) {
		heartbeat.LoadedSame = true
		return heartbeat
	}
	if open {
		s.sessions[session] = s.health.loaded
	}
	for _, m := range s.health.loaded {
		heartbeat.Loaded = append(heartbeat.Loaded, &wire.Loaded{Model: m.Model, Version: m.Version, Adapter: m.Adapter})
	}
	return heartbeat
}

// load returns the load that is sent with the End of an attempt. The caller holds s.mu.
func (s *Side) load() *wire.Load {
	state := s.gate.State()
	return &wire.Load{
		Slots:         uint32(state.Slots),
		OnlineRunning: uint32(state.OnlineRunning),
		OnlineWaiting: uint32(state.OnlineWaiting),
		BatchRunning:  uint32(state.BatchRunning),
		BatchCredit:   uint32(s.entryShare(state.BatchCredit)),
	}
}

// entryShare returns one entry's share of the batch credit, rounded up. If 30
// entries were each sent the full credit, each would send that many items, and
// most would be rejected. The caller holds s.mu.
func (s *Side) entryShare(credit int) int {
	n := max(1, len(s.sessions))
	return (max(0, credit) + n - 1) / n
}

// sendHeartbeats sends a heartbeat to all entries now. The caller holds s.mu.
func (s *Side) sendHeartbeats() {
	for session := range s.sessions {
		session.SendHeartbeat(s.heartbeat(session, 0))
	}
}

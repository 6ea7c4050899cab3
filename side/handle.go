package side

import (
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/retry"
	"github.com/sardinerock/sardinerock/wire"
)

var _ link.Handler = (*Side)(nil)

// Opened implements link.Handler. The session gets heartbeats from now on.
func (s *Side) Opened(session *link.Session) {
	s.Events.Info(event.PeerUp).Str("entry", session.EntryID).Msg("entry attached")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = nil
}

// Closed implements link.Handler. It cancels the entry's attempts, since their answers can no longer be delivered.
func (s *Side) Closed(session *link.Session) {
	s.Events.Info(event.PeerDown).Str("entry", session.EntryID).Msg("entry detached")
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	for _, a := range s.attempts {
		if a.session == session {
			s.stop(a, errLinkLost)
		}
	}
}

// Heartbeat implements link.Handler. It answers with a heartbeat.
func (s *Side) Heartbeat(session *link.Session, heartbeat *wire.EntryBeat) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(heartbeat.Quarantined) > 0 {
		s.suspects.Merge(now, link.FromWire(heartbeat.Quarantined))
		s.quarantineWaiting(now)
	}
	session.SendHeartbeat(s.heartbeat(session, heartbeat.Sequence))
	s.requestConfig(session, heartbeat)
}

// Cancel implements link.Handler. An unknown attempt is ignored, since it may have ended.
func (s *Side) Cancel(session *link.Session, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.attempts[attemptKey(session, id)]; a != nil {
		s.stop(a, errCancelled)
	}
}

// Start implements link.Handler. It rejects the attempt or offers it to the gate.
func (s *Side) Start(session *link.Session, start *wire.Start) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.sessions[session]; !open {
		// The link was lost while the frame was read, so no one could cancel the attempt.
		return
	}
	if refusal := s.refuse(now, start); refusal != nil {
		session.SendEnd(refusalEnd(start.Attempt, refusal))
		return
	}
	// The entry may not have received the report of a crash yet that this side knows of.
	start.Alone = start.Alone || s.suspects.Check(now, start.Fingerprint) == retry.Suspect
	a := &attempt{key: attemptKey(session, start.Attempt), session: session, start: start}
	s.attempts[a.key] = a
	s.apply(s.gate.Offer(now, workOf(a, now)))
}

// quarantineWaiting applies verdicts to requests that are already queued in the
// gate. Otherwise ten queued copies of a crashing request would start one after
// another and crash the backend server ten times. The caller holds s.mu.
func (s *Side) quarantineWaiting(now time.Time) {
	for _, a := range s.attempts {
		if a.cancel != nil {
			continue
		}
		verdict := s.suspects.Check(now, a.start.Fingerprint)
		if verdict == retry.Blocked || verdict == retry.Suspect && !a.start.Alone {
			a.start.Alone = true
			s.apply(s.gate.Quarantine(now, a.start.Fingerprint, verdict == retry.Blocked))
		}
	}
}

// refuse returns the refusal of an attempt that must not reach the backend server, or nil. The caller holds s.mu.
func (s *Side) refuse(now time.Time, start *wire.Start) *sardinerock.Refusal {
	switch {
	case s.leaving:
		return &sardinerock.Refusal{Code: sardinerock.CodeShuttingDown, Message: "the backend server is leaving", Outcome: sardinerock.OutcomeNotRun}
	case !s.health.up:
		return &sardinerock.Refusal{Code: sardinerock.CodeNoBackend, Message: "the backend server does not answer", Outcome: sardinerock.OutcomeNotRun}
	case s.suspects.Check(now, start.Fingerprint) == retry.Blocked:
		return retry.BlockedRefusal(sardinerock.OutcomeNotRun)
	default:
		return nil
	}
}

func workOf(a *attempt, now time.Time) sardinerock.Work {
	class := sardinerock.ClassOnline
	if a.start.Batch {
		class = sardinerock.ClassBatch
	}
	return sardinerock.Work{
		Attempt:      a.key,
		Caller:       a.start.Caller,
		Key:          a.start.Key,
		Class:        class,
		PromptTokens: int(a.start.PromptTokens),
		MaxTokens:    int(a.start.MaxTokens),
		Deadline:     now.Add(time.Duration(a.start.LeftMs) * time.Millisecond),
		Team:         a.start.Team,
		TeamWeight:   int(a.start.TeamWeight),
		Weight:       int(a.start.Weight),
		Alone:        a.start.Alone,
		Fingerprint:  a.start.Fingerprint,
	}
}

// stop cancels an attempt, whether queued or running. The caller holds s.mu.
func (s *Side) stop(a *attempt, cause error) {
	if a.cancel != nil {
		a.cancel(cause)
		return
	}
	delete(s.attempts, a.key)
	s.apply(s.gate.Cancel(time.Now(), a.key))
	a.session.SendEnd(&wire.End{
		Attempt: a.start.Attempt,
		Code:    string(sardinerock.CodeCancelled),
		Message: cause.Error(),
		Outcome: uint32(sardinerock.OutcomeNotRun),
	})
}

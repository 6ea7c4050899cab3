package side

import (
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/wire"
)

// requestConfig requests the sections that this side lacks of the entry's configuration version. The caller holds s.mu.
func (s *Side) requestConfig(session *link.Session, heartbeat *wire.EntryBeat) {
	behind, have := s.replica.Behind(heartbeat.ConfigVersion)
	if !behind || s.replica.Advance(heartbeat.ConfigVersion, heartbeat.SideDigest) {
		return
	}
	want := &wire.WantSections{Version: heartbeat.ConfigVersion, Have: have}
	session.Send(&wire.SideFrame{Body: &wire.SideFrame_Want{Want: want}})
}

// Sections implements link.Handler. It brings the received configuration into force or rejects it.
func (s *Side) Sections(_ *link.Session, sections *wire.Sections) {
	received := make([]bundle.Section, 0, len(sections.Sections))
	for _, section := range sections.Sections {
		received = append(received, bundle.Section{Name: section.Name, Digest: section.Digest, Content: section.Content})
	}
	if err := s.replica.Install(sections.Version, sections.Digest, received); err != nil {
		s.Events.Warn(event.BundleRejected).Int64("version", sections.Version).Err(err).Msg("configuration from an entry rejected; the previous one stays in force")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLimits()
	s.sendHeartbeats()
}

// setLimits sets the gate's limits to those of the configuration in force. The caller holds s.mu.
func (s *Side) setLimits() {
	limits, ok := gateLimits(s.replica.Current(), s.Service)
	if ok {
		s.apply(s.gate.SetLimits(time.Now(), limits))
	}
}

// gateLimits returns the limits of one backend server; false if the configuration
// has none. An engine may hold several models and gets the highest limit of each
// kind; the gate adapts the number of slots within these limits.
func gateLimits(c *sardinerock.ConfigSnapshot, service string) (sardinerock.GateLimits, bool) {
	var limits sardinerock.GateLimits
	if c == nil {
		return limits, false
	}
	if service != "" {
		for _, v := range c.Bundle.Services {
			if v.Name == service {
				return sardinerock.GateLimits{MinSlots: v.MaxInFlight, MaxSlots: v.MaxInFlight}, true
			}
		}
		return limits, false
	}
	for _, m := range c.Bundle.Models {
		limits.MinSlots = max(limits.MinSlots, m.MinSlots)
		limits.MaxSlots = max(limits.MaxSlots, m.MaxSlots)
		limits.FirstTokenTarget = max(limits.FirstTokenTarget, time.Duration(m.FirstTokenMs)*time.Millisecond)
	}
	limits.PromptShare = float64(c.Bundle.Batch.PromptPercent) / 100
	return limits, len(c.Bundle.Models) > 0
}

package sides

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/route"
	"github.com/sardinerock/sardinerock/ticker"
	"github.com/sardinerock/sardinerock/wire"
)

const linkInterval = 250 * time.Millisecond

// sideLink is the link to one side, with its attempts in flight.
type sideLink struct {
	instance sardinerock.Instance
	client   *link.Client
	stop     context.CancelFunc
	// heartbeat is the last one received; nil before the first.
	heartbeat *wire.SideBeat
	// versionSince is when the side's configuration version last changed.
	versionSince time.Time
	// inFlight holds the attempts by id; they become suspects if the instance fails.
	inFlight map[string]inFlightAttempt
	sequence uint64
}

// inFlightAttempt is what is needed of an attempt when its instance fails.
type inFlightAttempt struct {
	fingerprint uint64
	alone       bool
}

// linkLoop opens and closes links so that they match this entry's share of the sides.
// A link with attempts in flight stays open.
func (s *Sides) linkLoop(ctx context.Context) {
	ticker.Every(ctx, linkInterval, func() {
		wanted := s.wantedSides()
		s.mu.Lock()
		defer s.mu.Unlock()
		for id, l := range s.links {
			if _, ok := wanted[id]; !ok && len(l.inFlight) == 0 {
				s.dropLink(id, l)
			}
		}
		for id, instance := range wanted {
			if s.links[id] == nil {
				s.addLink(ctx, instance)
			}
		}
	})
}

// wantedSides returns this entry's share of the sides, by id.
func (s *Sides) wantedSides() map[string]sardinerock.Instance {
	wanted := make(map[string]sardinerock.Instance)
	for _, i := range s.Tracker.Subset(s.MaxLinks) {
		wanted[i.ID] = i
	}
	return wanted
}

// addLink opens a link. The caller holds s.mu.
func (s *Sides) addLink(ctx context.Context, instance sardinerock.Instance) {
	ctx, stop := context.WithCancel(ctx)
	l := &sideLink{instance: instance, stop: stop, inFlight: make(map[string]inFlightAttempt)}
	l.client = &link.Client{
		SideID:      instance.ID,
		Address:     instance.Address,
		EntryID:     s.EntryID,
		Zone:        s.Zone,
		Heartbeat:   func() *wire.EntryBeat { return s.buildHeartbeat(l) },
		OnHeartbeat: func(heartbeat *wire.SideBeat) { s.onHeartbeat(l, heartbeat) },
		Sections:    s.sections,
		OnDown:      func(timedOut bool) { s.onDown(l, timedOut) },
		Timing:      s.timing,
		Events:      s.Events,
	}
	s.links[instance.ID] = l
	go l.client.Run(ctx)
}

// dropLink closes a link. The caller holds s.mu.
func (s *Sides) dropLink(id string, l *sideLink) {
	l.stop()
	s.table.Remove(id)
	delete(s.links, id)
}

// timing returns the timing of a link, which depends on the number of links.
func (s *Sides) timing() link.Timing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return link.TimingFor(len(s.links))
}

// buildHeartbeat builds this entry's heartbeat to one side.
func (s *Sides) buildHeartbeat(l *sideLink) *wire.EntryBeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.sequence++
	heartbeat := &wire.EntryBeat{
		Sequence:    l.sequence,
		Leaving:     s.Leaving(),
		Quarantined: link.ToWire(s.suspects.Snapshot(time.Now())),
	}
	if announced := s.announced.Load(); announced != nil {
		heartbeat.ConfigVersion, heartbeat.SideDigest = announced.version, announced.sideDigest
	}
	return heartbeat
}

// onHeartbeat updates the routing table from a side's heartbeat.
func (s *Sides) onHeartbeat(l *sideLink, heartbeat *wire.SideBeat) {
	now := time.Now()
	if heartbeat.Leaving {
		s.Tracker.MarkLeaving(now, l.instance.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[l.instance.ID] != l {
		return
	}
	s.suspects.Merge(now, link.FromWire(heartbeat.Quarantined))
	if l.heartbeat != nil && l.heartbeat.BackendGeneration != heartbeat.BackendGeneration {
		s.table.ResetCache(l.instance.ID)
	}
	if l.heartbeat == nil || l.heartbeat.ConfigVersion != heartbeat.ConfigVersion {
		l.versionSince = now
	}
	if heartbeat.LoadedSame && l.heartbeat != nil {
		heartbeat.Loaded = l.heartbeat.Loaded
	}
	l.heartbeat = heartbeat
	s.table.Update(now, s.backend(l, now))
	if len(heartbeat.PrefixesAdded)+len(heartbeat.PrefixesDropped) > 0 {
		s.table.ApplyCacheEvent(l.instance.ID, heartbeat.PrefixesAdded, heartbeat.PrefixesDropped)
	}
}

// backend converts a side's last heartbeat into a report for routing. The caller holds s.mu.
func (s *Sides) backend(l *sideLink, now time.Time) route.Backend {
	heartbeat := l.heartbeat
	b := route.Backend{
		ID:            l.instance.ID,
		Zone:          l.instance.Zone,
		Service:       l.instance.Service,
		Slots:         int(heartbeat.Slots),
		OnlineRunning: int(heartbeat.OnlineRunning),
		OnlineWaiting: int(heartbeat.OnlineWaiting),
		BatchRunning:  int(heartbeat.BatchRunning),
		BatchCredit:   int(heartbeat.BatchCredit),
		TokenGap:      time.Duration(heartbeat.TokenGapUs) * time.Microsecond,
		Leaving:       heartbeat.Leaving || !s.Tracker.Usable(now, l.instance.ID),
		Up:            heartbeat.BackendUp,
		ConfigVersion: heartbeat.ConfigVersion,
		ReportedAt:    now,
	}
	for _, m := range heartbeat.Loaded {
		b.Loaded = append(b.Loaded, sardinerock.LoadedModel{Model: m.Model, Version: m.Version, Adapter: m.Adapter})
	}
	return b
}

// onDown removes a side whose link is down from routing until its next heartbeat.
//
// A connection that times out doesn't prove that the instance failed: a network
// device between the two may have dropped its state. So no request is suspected,
// and the side returns as soon as the link reconnects. If the connection broke,
// the instance may have failed because of a request, and the requests in flight
// are recorded as possible causes.
func (s *Sides) onDown(l *sideLink, timedOut bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.heartbeat != nil {
		l.heartbeat.BackendUp = false
		s.table.Update(now, s.backend(l, now))
	}
	if timedOut {
		return
	}
	for _, f := range l.inFlight {
		s.suspects.RecordLoss(now, lossID(l.instance.ID), []uint64{f.fingerprint}, f.alone)
	}
}

// sections returns the sections that a side lacks, or nil if this entry has an older version than requested.
func (s *Sides) sections(want *wire.WantSections) *wire.Sections {
	all, version, digest := s.ConfigManager.SideSections()
	if version < want.Version || version == 0 {
		return nil
	}
	answer := &wire.Sections{Version: version, Digest: digest}
	for _, x := range bundle.Missing(all, want.Have) {
		answer.Sections = append(answer.Sections, &wire.Section{Name: x.Name, Digest: x.Digest, Content: x.Content})
	}
	return answer
}

// announced is the configuration in force that heartbeats announce to the sides.
type announced struct {
	version    int64
	sideDigest uint64
}

// announceLoop sends heartbeats at once when a new configuration changes what sides
// use of it; any other new version is announced by the next regular heartbeat.
func (s *Sides) announceLoop(ctx context.Context) {
	for {
		changed := s.ConfigManager.Changed()
		sections, version, _ := s.ConfigManager.SideSections()
		before := s.announced.Load()
		if version > 0 && (before == nil || version > before.version) {
			now := &announced{version: version, sideDigest: bundle.SideDigest(sections)}
			s.announced.Store(now)
			if before == nil || before.sideDigest != now.sideDigest {
				s.sendHeartbeats()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// sendHeartbeats sends a heartbeat to all sides now.
func (s *Sides) sendHeartbeats() {
	s.mu.Lock()
	clients := make([]*link.Client, 0, len(s.links))
	for _, l := range s.links {
		clients = append(clients, l.client)
	}
	s.mu.Unlock()
	for _, c := range clients {
		c.SendHeartbeat()
	}
}

package entry

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/route"
	"github.com/sardinerock/sardinerock/wire"
)

const linkEvery = 250 * time.Millisecond

// sideLink is the link to one side, with what is in flight on it.
type sideLink struct {
	instance sardinerock.Instance
	client   *link.Client
	stop     context.CancelFunc
	last     *wire.SideBeat
	since    time.Time
	// fingerprints of the attempts in flight, for the case that the instance is lost under them.
	inFlight map[string]flight
	sequence uint64
}

// flight is what has to be known of an attempt when its instance is lost.
type flight struct {
	fingerprint uint64
	alone       bool
}

// linkLoop keeps links to the sides that this entry should know.
func (e *Entry) linkLoop(ctx context.Context) {
	every(ctx, linkEvery, func() {
		wanted := e.wantedSides()
		e.mu.Lock()
		defer e.mu.Unlock()
		for id, l := range e.links {
			if _, ok := wanted[id]; !ok && len(l.inFlight) == 0 {
				e.dropLink(id, l)
			}
		}
		for id, instance := range wanted {
			if e.links[id] == nil {
				e.addLink(ctx, instance)
			}
		}
	})
}

// wantedSides picks this entry's share of the sides.
func (e *Entry) wantedSides() map[string]sardinerock.Instance {
	wanted := make(map[string]sardinerock.Instance)
	for _, i := range e.tracker.Subset(e.Links) {
		wanted[i.ID] = i
	}
	return wanted
}

// addLink starts a link. Callers hold e.mu.
func (e *Entry) addLink(ctx context.Context, instance sardinerock.Instance) {
	ctx, stop := context.WithCancel(ctx)
	l := &sideLink{instance: instance, stop: stop, inFlight: make(map[string]flight)}
	l.client = &link.Client{
		SideID:   instance.ID,
		Address:  instance.Address,
		EntryID:  e.ID,
		Zone:     e.Zone,
		Beat:     func() *wire.EntryBeat { return e.beat(l) },
		OnBeat:   func(beat *wire.SideBeat) { e.onBeat(l, beat) },
		Sections: e.sections,
		OnDown:   func(silent bool) { e.onDown(l, silent) },
		Timing:   e.timing,
		Events:   e.Events,
	}
	e.links[instance.ID] = l
	go l.client.Run(ctx)
}

// dropLink ends a link. Callers hold e.mu.
func (e *Entry) dropLink(id string, l *sideLink) {
	l.stop()
	e.table.Remove(id)
	delete(e.links, id)
}

func (e *Entry) timing() link.Timing {
	e.mu.Lock()
	defer e.mu.Unlock()
	return link.TimingFor(len(e.links))
}

// beat builds the heartbeat of this entry to one side.
func (e *Entry) beat(l *sideLink) *wire.EntryBeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.sequence++
	beat := &wire.EntryBeat{
		Sequence:    l.sequence,
		Leaving:     e.leaving,
		Quarantined: link.ToWire(e.suspects.Snapshot(time.Now())),
	}
	if told := e.told.Load(); told != nil {
		beat.ConfigVersion, beat.SideDigest = told.version, told.sideDigest
	}
	return beat
}

// onBeat takes a side's heartbeat into the routing table.
func (e *Entry) onBeat(l *sideLink, beat *wire.SideBeat) {
	now := time.Now()
	if beat.Leaving {
		e.tracker.Leaving(now, l.instance.ID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links[l.instance.ID] != l {
		return
	}
	e.suspects.Merge(now, link.FromWire(beat.Quarantined))
	if l.last != nil && l.last.BackendGeneration != beat.BackendGeneration {
		e.table.CacheReset(l.instance.ID)
	}
	if l.last == nil || l.last.ConfigVersion != beat.ConfigVersion {
		l.since = now
	}
	if beat.LoadedSame && l.last != nil {
		beat.Loaded = l.last.Loaded
	}
	l.last = beat
	e.table.Update(now, e.backend(l, now))
	if len(beat.PrefixesAdded)+len(beat.PrefixesDropped) > 0 {
		e.table.CacheEvent(l.instance.ID, beat.PrefixesAdded, beat.PrefixesDropped)
	}
}

// backend is what routing knows of a side. Callers hold e.mu.
func (e *Entry) backend(l *sideLink, now time.Time) route.Backend {
	beat := l.last
	b := route.Backend{
		ID:            l.instance.ID,
		Zone:          l.instance.Zone,
		Service:       l.instance.Service,
		Slots:         int(beat.Slots),
		OnlineRunning: int(beat.OnlineRunning),
		OnlineWaiting: int(beat.OnlineWaiting),
		BatchRunning:  int(beat.BatchRunning),
		BatchCredit:   int(beat.BatchCredit),
		TokenGap:      time.Duration(beat.TokenGapUs) * time.Microsecond,
		Leaving:       beat.Leaving || !e.tracker.Usable(now, l.instance.ID),
		Up:            beat.BackendUp,
		ConfigVersion: beat.ConfigVersion,
		ReportAt:      now,
	}
	for _, m := range beat.Loaded {
		b.Loaded = append(b.Loaded, sardinerock.LoadedModel{Model: m.Model, Version: m.Version, Adapter: m.Adapter})
	}
	return b
}

// onDown takes a side whose link was lost out of routing until it is heard again.
//
// A silent connection is no proof against the backend server: something between
// the two may have lost track of it. So nothing is held against the side, and
// the new connection, which is tried at once, brings it back. If the instance is
// really lost, its requests may have been the cause, and are noted as such.
func (e *Entry) onDown(l *sideLink, silent bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.last != nil {
		l.last.BackendUp = false
		e.table.Update(now, e.backend(l, now))
	}
	if silent {
		return
	}
	for _, f := range l.inFlight {
		e.suspects.Lost(now, lossID(l.instance.ID), []uint64{f.fingerprint}, f.alone)
	}
}

// sections answers a side that is behind with the sections that it lacks.
func (e *Entry) sections(want *wire.WantSections) *wire.Sections {
	all, version, digest := e.keeper.SideSections()
	if version < want.Version || version == 0 {
		return nil
	}
	answer := &wire.Sections{Version: version, Digest: digest}
	for _, s := range bundle.Missing(all, want.Have) {
		answer.Sections = append(answer.Sections, &wire.Section{Name: s.Name, Digest: s.Digest, Content: s.Content})
	}
	return answer
}

// told is what heartbeats tell sides of the configuration in force.
type told struct {
	version    int64
	sideDigest uint64
}

// newsLoop tells the sides at once of a configuration that says something new to
// them; of any other they hear with the next heartbeat.
func (e *Entry) newsLoop(ctx context.Context) {
	for {
		changed := e.keeper.Changed()
		sections, version, _ := e.keeper.SideSections()
		before := e.told.Load()
		if version > 0 && (before == nil || version > before.version) {
			now := &told{version: version, sideDigest: bundle.SideDigest(sections)}
			e.told.Store(now)
			if before == nil || before.sideDigest != now.sideDigest {
				e.beatAll()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (e *Entry) beatAll() {
	e.mu.Lock()
	clients := make([]*link.Client, 0, len(e.links))
	for _, l := range e.links {
		clients = append(clients, l.client)
	}
	e.mu.Unlock()
	for _, c := range clients {
		c.BeatNow()
	}
}

// every calls f at intervals until ctx is done.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

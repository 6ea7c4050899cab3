package origin

import (
	"context"
	"errors"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// locateTimeout is how long a caller that resumes its stream waits for the records of the store. A read that began
	// before has to end first.
	locateTimeout = time.Second
	// listTimeout is how long it then waits for the list of backend servers, if the records can't be read.
	listTimeout = 300 * time.Millisecond
	// beginTimeout is how long the first event of a stream waits for the records that have to be stored before.
	beginTimeout = time.Second
)

// ErrBeginElsewhere means that a stream may not begin at a version, but may at another one.
var ErrBeginElsewhere = errors.New("origin: the stream can't begin at this version")

// unknown is the finding if nothing shows the origin.
var unknown = Finding{Source: SourceNone, Evidence: EvidenceNone}

// locateRecorded finds out the origin of a stream that no entry knows from the records of the store.
func (l *Locator) locateRecorded(ctx context.Context, stream uint64, r *sardinerock.Route, service string, a *answers) Finding {
	began := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	streams := make(chan map[uint64]recordedStream, 1)
	readStreams := func() {
		all, err := l.Streams.read(readCtx)
		if err != nil {
			all = nil
		}
		streams <- all
	}
	// The records of streams are needed unless there is one version, which is known at entries that have run for a while.
	early := !l.Versions.last().only(service)
	if early {
		go readStreams()
	}
	stored, err := l.Versions.read(readCtx)
	if err != nil {
		return l.locateUnread(ctx, service, a, began)
	}
	s, ok := stored.services[service]
	if service != "" && (!ok || len(s.Versions) == 0) {
		return l.locateNew(readCtx, r, service, a)
	}
	settled := l.settled(stored, r, service)
	if version, ok := s.base(); ok && settled && len(s.Versions) == 1 && !a.several {
		return Finding{Origin: sardinerock.Origin{Service: service, Version: version}, Source: SourceOnly, Evidence: EvidenceRecord}
	}
	if !early {
		go readStreams()
	}
	all := <-streams
	found, recorded := all[stream]
	version, hasBase := s.base()
	switch {
	case all == nil || stream == 0 || !r.Resumable:
		return unknown
	case recorded && found.origin.Known() && time.Since(found.until) < clockSkew:
		l.table.put(stream, known{origin: found.origin, until: found.until}, time.Now())
		return Finding{Origin: found.origin, Source: SourceRecord, Evidence: EvidenceRecord}
	case recorded || !settled || !hasBase || a.several && len(s.Versions) == 1:
		return unknown
	}
	return Finding{Origin: sardinerock.Origin{Service: service, Version: version}, Source: SourceBase, Evidence: EvidenceRecord}
}

// only reports whether a service has had one version.
func (r *records) only(service string) bool {
	if r == nil {
		return false
	}
	s := r.services[service]
	return len(s.Versions) == 1
}

// settled reports whether all streams of a route that are in progress began at a service, by the records.
func (l *Locator) settled(known *records, r *sardinerock.Route, service string) bool {
	if !r.Resumable {
		return service != ""
	}
	recorded, ok := known.routes[routeRecordKey(r)]
	return ok && recorded.settled(service, l.window(), time.Now())
}

// locateNew finds out the origin if the store has no record of a service: then only entries of earlier builds can have
// begun the stream.
func (l *Locator) locateNew(ctx context.Context, r *sardinerock.Route, service string, a *answers) Finding {
	version, v := l.history.view(service, l.window(), time.Now())
	switch {
	case a.several || v != viewOnly && v != viewNew:
		return unknown
	case !l.Current():
		return l.peerView(service, a)
	}
	if err := l.Versions.step(ctx, l); err != nil {
		return unknown
	}
	known := l.Versions.last()
	s := known.services[service]
	if base, ok := s.base(); !ok || len(s.Versions) > 1 || base != version || !l.settled(known, r, service) {
		return unknown
	}
	return Finding{Origin: sardinerock.Origin{Service: service, Version: version}, Source: SourceOnly, Evidence: EvidenceRecord}
}

// peerView returns the only version that this entry lists if its peers have observed it for long enough.
func (l *Locator) peerView(service string, a *answers) Finding {
	version, v := l.history.view(service, l.window(), time.Now())
	if len(a.only) == 0 || a.several || v != viewOnly && v != viewNew {
		return unknown
	}
	for _, only := range a.only {
		if only != version {
			return unknown
		}
	}
	return Finding{Origin: sardinerock.Origin{Service: service, Version: version}, Source: SourceOnly, Evidence: EvidencePeerView}
}

// locateUnread finds out the origin if the records can't be read, or not in time. While an entry is cut off or paused, it isn't
// notified of streams that begin at a version which has joined meanwhile. So its list counts only as of a read since the caller has
// resumed the stream. As long as no entry can read the store, none has learned of another version.
func (l *Locator) locateUnread(ctx context.Context, service string, a *answers, resumed time.Time) Finding {
	if service == "" {
		return unknown
	}
	if f := l.peerView(service, a); f.Origin.Known() {
		return f
	}
	if a.several || len(a.only) > 0 {
		return unknown
	}
	evidence := EvidenceNone
	switch {
	case l.StoreLostByAll():
		evidence = EvidenceOldView
	case l.listRead(ctx, resumed):
		evidence = EvidenceOwnView
	}
	version, v := l.history.view(service, l.window(), time.Now())
	if v != viewOnly || evidence == EvidenceNone {
		return unknown
	}
	return Finding{Origin: sardinerock.Origin{Service: service, Version: version}, Source: SourceOnly, Evidence: evidence}
}

// listRead reports whether the list of backend servers is as of a time, or later; it is read again if it isn't.
func (l *Locator) listRead(ctx context.Context, since time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return l.ReadList(ctx, since)
}

// Prepare returns once streams may begin at the versions and on the routes that are known, or with the error that prevents
// that when ctx ends.
func (l *Locator) Prepare(ctx context.Context) error {
	for {
		err := l.Versions.step(ctx, l)
		if known := l.Versions.last(); known != nil {
			if _, urgent := l.Versions.changes(known, l, time.Now()); !urgent {
				return nil
			}
		}
		if !sleep(ctx, retryDelay) {
			return errors.Join(ctx.Err(), err)
		}
	}
}

// Ready reports whether streams that can be resumed may begin at all: the records are known and in force, or can be read now.
func (l *Locator) Ready(ctx context.Context) bool {
	v := l.Versions
	if v == nil || v.last() != nil && v.inTouch(l, time.Now()) {
		return true
	}
	v.mu.Lock()
	failed := !v.failedAt.IsZero() && time.Since(v.failedAt) < failureTime
	v.mu.Unlock()
	if failed {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	err := v.step(ctx, l)
	return v.last() != nil && (err == nil || v.inTouch(l, time.Now()))
}

// Begin returns once the first event of a stream may be sent to its caller, which may resume the stream on a route until
// a time: then the store shows where it began. After ErrBeginElsewhere it may begin at another version instead.
func (l *Locator) Begin(ctx context.Context, stream uint64, o sardinerock.Origin, r *sardinerock.Route, until time.Time) error {
	if l.Versions != nil && r.Resumable {
		if err := l.record(ctx, stream, o, r, until); err != nil {
			l.count("origins.unrecorded")
			l.Events.Warn(event.StreamUnrecorded).Str("service", o.Service).Str("version", o.Version).Err(err).Msg("the origin of a stream can't be recorded; its events aren't sent")
			return err
		}
	}
	l.Began(stream, o, until)
	return nil
}

func (l *Locator) record(ctx context.Context, stream uint64, o sardinerock.Origin, r *sardinerock.Route, until time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	key := routeRecordKey(r)
	admitted := func() bool {
		return l.Versions.last().admits(o, key, l.history.resumable()[key], time.Now())
	}
	// An entry that is out of touch relies only on records that it reads now.
	for current := l.Versions.inTouch(l, time.Now()); !current || !admitted(); {
		err := l.Versions.step(ctx, l)
		current = current || err == nil
		if current && admitted() {
			break
		}
		if !sleep(ctx, retryDelay) {
			return errors.Join(ErrBeginElsewhere, err)
		}
	}
	known := l.Versions.last()
	s := known.services[o.Service]
	base, ok := s.base()
	switch {
	case ok && base == o.Version || stream == 0:
		return nil
	case ok || time.Since(known.readAt) > outOfTouchTime && !l.StoreLostByAll():
		if err := l.Streams.record(ctx, stream, o, until.Add(resumeMargin)); err != nil {
			if errors.Is(err, errNotRecorded) {
				return errors.Join(ErrBeginElsewhere, err)
			}
			return err
		}
	default:
		// Without a version that streams without a record belong to, one that has none is rejected.
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), beginTimeout)
			defer cancel()
			_ = l.Streams.record(ctx, stream, o, until.Add(resumeMargin))
		}()
	}
	return nil
}

// sleep waits and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Prefers returns the version at which streams of a service need no record of their own, if others can't be recorded at
// present.
func (l *Locator) Prefers(service string) (sardinerock.Origin, bool) {
	if l.Versions == nil || !l.Streams.failing(time.Now()) {
		return sardinerock.Origin{}, false
	}
	return l.Base(service)
}

// Base returns the version at which streams of a service need no record of their own, if there is one.
func (l *Locator) Base(service string) (sardinerock.Origin, bool) {
	if l.Versions == nil {
		return sardinerock.Origin{}, false
	}
	known := l.Versions.last()
	if known == nil {
		return sardinerock.Origin{}, false
	}
	s := known.services[service]
	version, ok := s.base()
	return sardinerock.Origin{Service: service, Version: version}, ok
}

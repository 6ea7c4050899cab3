package origin

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// askTimeout is how long the answers of peers are awaited: many round trips, and far less than the pause
	// after which a caller counts its stream as late.
	askTimeout = 80 * time.Millisecond
	// resumeMargin is how long after a stream's deadline its caller may still resume it.
	resumeMargin = 2 * time.Second
	// outOfTouchTime is how long entries that lost touch with the store, and backend servers that were removed from
	// it, may go on with a version that isn't listed any more.
	outOfTouchTime = 10 * time.Second
	// maxLifetime bounds for how long a stream that another entry names is kept.
	maxLifetime = 10 * time.Minute
	// maxBegun is the number of streams in one notification, which keeps it within one packet.
	maxBegun = 32
)

// Source is how the origin of a stream was found out.
type Source string

// The sources.
const (
	// SourceOwn means that the stream began here, or this entry was notified of it.
	SourceOwn Source = "own"
	// SourcePeer means that another entry knows the stream.
	SourcePeer Source = "peer"
	// SourceRecord means that the store has a record of the stream.
	SourceRecord Source = "record"
	// SourceBase means that the stream began at the version that was the only one before the others, since it has no
	// record of its own.
	SourceBase Source = "base"
	// SourceOnly means that the service has had only one version.
	SourceOnly Source = "only"
	// SourceNone means that the origin isn't known.
	SourceNone Source = "none"
)

// Evidence is what shows the origin of a stream.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceBegun means that the stream began at this entry.
	EvidenceBegun Evidence = "begun"
	// EvidenceNotified means that another entry notified this one, or has just named the origin.
	EvidenceNotified Evidence = "notified"
	// EvidenceOwnView means that this entry has observed one version for long enough, by a list that it has read since.
	EvidenceOwnView Evidence = "ownView"
	// EvidenceOldView is the same with an old list, while no entry can read the store.
	EvidenceOldView Evidence = "oldView"
	// EvidencePeerView means that another entry has observed one version for long enough.
	EvidencePeerView Evidence = "peerView"
	// EvidenceRecord means that the records of the store say so.
	EvidenceRecord Evidence = "record"
	// EvidenceNone means that there is none.
	EvidenceNone Evidence = "none"
)

// Finding is what is known of the origin of a stream.
type Finding struct {
	Origin   sardinerock.Origin
	Source   Source
	Evidence Evidence
	// Age is the time since the evidence was obtained; 0 if it was obtained for this query.
	Age time.Duration
}

// Locator finds out the origins of streams. Its exported fields are set before use; it is safe for concurrent use.
type Locator struct {
	// Peers returns the names of the entries that are notified of a stream and queried for it.
	Peers func(stream uint64) []string
	// Notify sends a message to a peer, and doesn't wait for an answer. Query returns the answer.
	Notify func(peer string, raw []byte)
	Query  func(ctx context.Context, peer string, raw []byte) ([]byte, error)
	// AwaitPeers returns once the entries of the fleet are known, or after a short time.
	AwaitPeers func(ctx context.Context)
	// Current reports whether the list of backend servers is current, StoreLostByAll whether no entry can read it.
	Current        func() bool
	StoreLostByAll func() bool
	// ReadList reports whether the list of backend servers holds all that the store held at a time. It reads the list if necessary.
	ReadList func(ctx context.Context, at time.Time) bool
	// Versions keeps in the store which versions may have begun streams, Streams which did begin one.
	Versions *Versions
	Streams  *Streams
	Events   *event.Logger
	Metrics  metrics.Registry

	table   table
	history history
	// lifetime is how long streams may last.
	lifetime lifetime
}

// SetTable sets the routes in force.
func (l *Locator) SetTable(t *sardinerock.RouteTable) {
	l.lifetime.set(t)
	l.history.setTable(t, time.Now())
}

// SetServers sets the list of backend servers. If a service has got a further version, other entries are notified of
// the streams that began here before.
func (l *Locator) SetServers(list []sardinerock.BackendServer) {
	now := time.Now()
	grown, found := l.history.setServers(list, now)
	for _, service := range found {
		l.Events.Info(event.ServiceFound).Str("service", service).Strs("versions", l.history.versions(service)).Msg("first backend servers of a service; nothing is known of its earlier versions")
	}
	if len(grown) > 0 && l.Versions != nil {
		l.Versions.forgetIfOld(now)
	}
	for _, service := range grown {
		own := l.table.ownOf(service, now)
		l.Events.Info(event.VersionsChanged).Str("service", service).Strs("versions", l.history.versions(service)).Int("streams", len(own)).Msg("a further software version serves; streams go on only at theirs")
		l.notify(own, now)
	}
}

// window returns the time within which another version may have begun a stream that is resumed now.
func (l *Locator) window() time.Duration { return l.lifetime.get() + outOfTouchTime }

// Began records that the first event of a stream is on its way to the caller, which may resume the stream until a
// time.
func (l *Locator) Began(stream uint64, o sardinerock.Origin, until time.Time) {
	if stream == 0 {
		return
	}
	now := time.Now()
	k := known{origin: o, until: until.Add(resumeMargin), own: true}
	if !l.table.put(stream, k, now) {
		l.count("origins.full")
		return
	}
	if _, v := l.history.view(o.Service, l.window(), now); v == viewSeveral {
		l.notify(map[uint64]known{stream: k}, now)
	}
}

// notify notifies peers of streams.
func (l *Locator) notify(streams map[uint64]known, now time.Time) {
	byPeer := map[string][]begun{}
	for stream, k := range streams {
		for _, peer := range l.Peers(stream) {
			byPeer[peer] = append(byPeer[peer], newBegun(stream, k, now))
		}
	}
	for peer, list := range byPeer {
		for len(list) > 0 {
			part := list[:min(maxBegun, len(list))]
			list = list[len(part):]
			raw, err := cbor.Marshal(message{Begun: part})
			if err != nil {
				l.Events.Warn(event.PeerDown).Err(err).Msg("notification of streams can't be encoded; not sent")
				return
			}
			l.Notify(peer, raw)
			l.count("origins.notified")
		}
	}
}

// Answer handles a message of a peer and returns the answer to a query. It doesn't block.
func (l *Locator) Answer(raw []byte) ([]byte, error) {
	m, err := decode(raw)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	for i := range m.Begun {
		l.table.put(m.Begun[i].Stream, m.Begun[i].known(now), now)
	}
	if !m.Query {
		return nil, nil
	}
	var r reply
	if m.Records && l.Versions != nil {
		l.Versions.last().fill(&r, now)
		return cbor.Marshal(r)
	}
	if k, ok := l.table.get(m.Stream, now); ok {
		b := newBegun(m.Stream, k, now)
		r.Begun = &b
	}
	version, v := l.history.view(m.Service, l.window(), now)
	r.Several = v == viewSeveral
	if v == viewOnly && l.Current() {
		r.Only, r.HasOnly = version, true
	}
	return cbor.Marshal(r)
}

// Locate returns the origin of a stream that a caller resumes on a route; it is unknown with SourceNone. stream is 0
// if the caller doesn't name the request that began it.
func (l *Locator) Locate(ctx context.Context, stream uint64, r *sardinerock.Route) Finding {
	now := time.Now()
	if k, ok := l.table.get(stream, now); ok && stream != 0 {
		f := Finding{Origin: k.origin, Source: SourceOwn, Evidence: EvidenceNotified, Age: now.Sub(k.since)}
		if k.own {
			f.Evidence = EvidenceBegun
		}
		return f
	}
	l.AwaitPeers(ctx)
	service := l.history.service(r, l.window(), now)
	answers := l.ask(ctx, stream, service)
	if answers.begun != nil && stream != 0 {
		k := answers.begun.known(now)
		l.table.put(stream, k, now)
		return Finding{Origin: k.origin, Source: SourcePeer, Evidence: EvidenceNotified}
	}
	if l.Versions == nil || service == "" && stream == 0 {
		return unknown
	}
	return l.locateRecorded(ctx, stream, r, service, &answers)
}

// answers are those of the peers to a query.
type answers struct {
	begun   *begun
	only    []string
	several bool
}

// ask queries the peers that may know a stream. It returns at the first that does, or once all have answered or
// askTimeout has passed.
func (l *Locator) ask(ctx context.Context, stream uint64, service string) (a answers) {
	raw, err := cbor.Marshal(message{Stream: stream, Service: service, Query: true})
	if err != nil {
		l.Events.Warn(event.PeerDown).Err(err).Msg("query for a stream can't be encoded; not sent")
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := l.Peers(stream)
	replies := make(chan *reply, len(peers))
	for _, peer := range peers {
		go func() { replies <- l.query(ctx, peer, raw) }()
	}
	for range peers {
		r := <-replies
		if r == nil {
			continue
		}
		if a.begun = r.Begun; a.begun != nil {
			return a
		}
		a.several = a.several || r.Several
		if r.HasOnly {
			a.only = append(a.only, r.Only)
		}
	}
	return a
}

// query returns the answer of a peer, or nil if there is none.
func (l *Locator) query(ctx context.Context, peer string, raw []byte) *reply {
	l.count("origins.asked")
	answer, err := l.Query(ctx, peer, raw)
	var r reply
	if err == nil && len(answer) > 0 {
		err = cbor.Unmarshal(answer, &r)
	}
	if err != nil || len(answer) == 0 {
		l.count("origins.unanswered")
		return nil
	}
	return &r
}

func (l *Locator) count(name string) {
	metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1)
}

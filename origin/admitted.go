package origin

import (
	"slices"
	"time"
)

// admitted is a software version of a service that may have begun streams. Times are Unix milliseconds by the clock of
// the entry that wrote them.
type admitted struct {
	_       struct{} `cbor:",toarray"`
	Version string
	At      int64
	// Left is when no backend server of the version was listed any more; 0 while there is one.
	Left int64
}

// serviceRecord is the record of the versions of a service. A version that isn't in it has begun no stream that can be
// resumed.
type serviceRecord struct {
	// SeenAt is when several versions were last seen, in Unix milliseconds; all that entries of earlier builds read
	// and write.
	SeenAt int64 `cbor:"1,keyasint"`
	// Versions are in order of their admission. A version that came back is admitted once more.
	Versions []admitted `cbor:"2,keyasint,omitempty"`
	// Base is set if the first version was the only one when the others were admitted. As long as that serves, streams
	// without a record of their own began at it.
	Base bool `cbor:"3,keyasint,omitempty"`
	// UnknownUntil is until when streams may go on that entries of earlier builds began at unknown versions, in Unix
	// milliseconds.
	UnknownUntil int64 `cbor:"4,keyasint,omitempty"`
}

// has reports whether backend servers of a version may begin streams.
func (r *serviceRecord) has(version string) bool {
	return slices.ContainsFunc(r.Versions, func(a admitted) bool { return a.Version == version && a.Left == 0 })
}

// base returns the version at which streams without a record of their own began.
func (r *serviceRecord) base() (version string, ok bool) {
	if !r.Base || len(r.Versions) == 0 || r.Versions[0].Left != 0 {
		return "", false
	}
	return r.Versions[0].Version, true
}

// listed is what an entry knows of the versions of a service from the list of backend servers.
type listed struct {
	present []string
	// absent holds for how long other versions haven't been listed. Those of absentAll had left before the entry received
	// its first list.
	absent    map[string]time.Duration
	absentAll time.Duration
}

func (l *listed) absentFor(version string) time.Duration {
	if d, ok := l.absent[version]; ok {
		return d
	}
	return l.absentAll
}

// updated returns the record that follows from a list, and whether it differs. Window is how long a stream can be
// resumed after its version has left.
func (r *serviceRecord) updated(l *listed, window time.Duration, now time.Time) (next serviceRecord, changed bool) {
	if len(l.present) == 0 {
		return *r, false
	}
	at := now.UnixMilli()
	next = serviceRecord{SeenAt: r.SeenAt, Versions: slices.Clone(r.Versions), Base: r.Base, UnknownUntil: r.UnknownUntil}
	if len(next.Versions) == 0 {
		next.create(l, window, at)
		return next, true
	}
	expired := func(a admitted) bool { return a.Left != 0 && at >= a.Left+(window+clockSkew).Milliseconds() }
	first := next.Versions[0]
	next.Versions = slices.DeleteFunc(next.Versions, expired)
	if len(next.Versions) == 0 || next.Versions[0] != first {
		next.Base = false
	}
	if next.UnknownUntil != 0 && at >= next.UnknownUntil {
		next.UnknownUntil = 0
		changed = true
	}
	for _, version := range l.present {
		if !next.has(version) {
			// Only a version that is alone in the record when it is admitted becomes the base.
			next.Versions = append(next.Versions, admitted{Version: version, At: at})
			changed = true
		}
	}
	for i := range next.Versions {
		a := &next.Versions[i]
		if a.Left == 0 && len(next.Versions) > 1 && !slices.Contains(l.present, a.Version) && l.absentFor(a.Version) >= leaveDelay {
			a.Left = at
			changed = true
		}
	}
	if len(next.Versions) == 1 && next.Versions[0].Left == 0 && next.UnknownUntil == 0 {
		next.Base = true
	}
	changed = changed || next.Base != r.Base || len(next.Versions) != len(r.Versions)
	if len(next.Versions) > 1 && (changed || len(l.present) > 1 && at >= r.SeenAt+mixedInterval.Milliseconds()) {
		next.SeenAt = at
		changed = true
	}
	return next, changed
}

// create sets the versions of a record that has none. If an entry of an earlier build wrote it, versions that aren't
// known may have begun streams.
func (r *serviceRecord) create(l *listed, window time.Duration, at int64) {
	if until := r.SeenAt + (window + mixedInterval + clockSkew).Milliseconds(); r.SeenAt != 0 && at < until {
		r.UnknownUntil = until
	}
	for version, d := range l.absent {
		if d < window {
			r.Versions = append(r.Versions, admitted{Version: version, At: at, Left: at})
		}
	}
	for _, version := range l.present {
		r.Versions = append(r.Versions, admitted{Version: version, At: at})
	}
	r.Base = len(r.Versions) == 1 && r.UnknownUntil == 0
	if len(r.Versions) > 1 {
		r.SeenAt = at
	}
}

// routeRecord is the record of the service of a route. Entries of earlier builds read SeenAt from it as 0.
type routeRecord struct {
	// Service is the only service of the route, or empty if there are several.
	Service string `cbor:"5,keyasint"`
	// ChangedAt is when it replaced another one, in Unix milliseconds; 0 if it was the first.
	ChangedAt int64 `cbor:"6,keyasint,omitempty"`
	// Configuration is the version of the configuration in which that was read.
	Configuration int64 `cbor:"7,keyasint"`
}

// settled reports whether all streams of the route that are in progress began at its service.
func (r *routeRecord) settled(service string, window time.Duration, now time.Time) bool {
	return r.Service == service && service != "" && (r.ChangedAt == 0 || now.UnixMilli() >= r.ChangedAt+(window+clockSkew).Milliseconds())
}

package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
)

const (
	// maxStreams bounds the memory of a table. A stream is added once a backend server has sent its first event,
	// so requests that aren't run add none.
	maxStreams = 1 << 16
	// sweepInterval is the time between two removals of expired streams.
	sweepInterval = time.Second
)

// Stream returns the key of the stream that a request began; 0 if no request is named.
func Stream(team, host, request string) uint64 {
	if request == "" {
		return 0
	}
	h := xxhash.New()
	for _, part := range []string{team, host, request} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return max(h.Sum64(), 1)
}

// table holds the origins of streams until they can't be resumed any more; its zero value is ready.
type table struct {
	mu      sync.Mutex
	streams map[uint64]known
	sweptAt time.Time
}

type known struct {
	origin sardinerock.Origin
	// since is when this entry learned of the stream.
	since, until time.Time
	// own is set if the stream began at this entry.
	own bool
}

// put adds a stream. The first origin of a stream stays: a later one would be that of another stream with the
// same request. It returns false if the table is full.
func (t *table) put(stream uint64, k known, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streams == nil {
		t.streams = map[uint64]known{}
	}
	if now.Sub(t.sweptAt) >= sweepInterval {
		t.sweptAt = now
		for s, old := range t.streams {
			if now.After(old.until) {
				delete(t.streams, s)
			}
		}
	}
	k.since = now
	old, exists := t.streams[stream]
	switch {
	case exists && now.Before(old.until):
		k.origin, k.own, k.since = old.origin, k.own || old.own, old.since
		if old.until.After(k.until) {
			k.until = old.until
		}
	case !exists && len(t.streams) >= maxStreams:
		return false
	}
	t.streams[stream] = k
	return true
}

func (t *table) get(stream uint64, now time.Time) (known, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.streams[stream]
	return k, ok && now.Before(k.until)
}

// ownOf returns the streams of a service that began at this entry.
func (t *table) ownOf(service string, now time.Time) map[uint64]known {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := map[uint64]known{}
	for s, k := range t.streams {
		if k.own && k.origin.Service == service && now.Before(k.until) {
			own[s] = k
		}
	}
	return own
}

package origin

import (
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
)

// lifetime is the longest time that a stream of any route may last.
type lifetime struct{ nanos atomic.Int64 }

func (l *lifetime) get() time.Duration { return time.Duration(l.nanos.Load()) }

// set sets the lifetime from the routes in force. It never decreases, since streams of earlier ones may last longer.
func (l *lifetime) set(t *sardinerock.RouteTable) {
	longest := l.get()
	for i := range t.Routes {
		if t.Routes[i].Kind == sardinerock.RouteStream {
			longest = max(longest, t.Routes[i].Timeout)
		}
	}
	l.nanos.Store(int64(longest))
}

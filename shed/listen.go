package shed

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/event"
)

// logInterval is the least time between two log lines on connections that were shed.
const logInterval = time.Second

// Listener closes new connections unread while the limiter says so. Its exported fields are set before the first Accept.
type Listener struct {
	net.Listener
	Limiter *Limiter
	Events  *event.Logger
	Metrics metrics.Registry

	watching atomic.Bool
	// first holds the connections whose first request isn't complete.
	first sync.Map
	// shed counts the connections since the latest log line, at loggedAt. Only Accept uses them.
	shed     int
	loggedAt time.Time
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		d := l.Limiter.Accept(now)
		if d.Watch && l.watching.CompareAndSwap(false, true) {
			go l.watch()
		}
		if d.Read {
			return c, nil
		}
		_ = c.Close()
		l.record(&d, now)
	}
}

// State is to be called with the changes of the states of all connections to an http.Server.
func (l *Listener) State(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		l.first.Store(c, struct{}{})
	case http.StateIdle, http.StateClosed:
		if _, ok := l.first.LoadAndDelete(c); ok {
			l.Limiter.Completed()
		}
	}
}

func (l *Listener) record(d *Decision, now time.Time) {
	metrics.GetOrRegisterCounter("front.shed", l.Metrics).Inc(1)
	l.shed++
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.Events.Warn(event.ConnectionsShed).Int("connections", l.shed).Bool("overloaded", d.Overloaded).Float64("limit", d.Rate).
		Msg("more new connections than this process can serve; closed some unread")
	l.shed, l.loggedAt = 0, now
}

// watch measures the lag of this process while many connections come.
func (l *Listener) watch() {
	defer l.watching.Store(false)
	t := time.NewTimer(SampleInterval)
	defer t.Stop()
	for {
		l.Limiter.Expect(time.Now().Add(SampleInterval))
		t.Reset(SampleInterval)
		<-t.C
		if !l.Limiter.Observe(time.Now()) {
			return
		}
	}
}

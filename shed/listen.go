package shed

import (
	"net"
	"net/http"
	"sync"
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

	mu sync.Mutex
	// first holds the connections whose first request isn't complete.
	first map[net.Conn]*firstRequest
	// shed counts the connections since the latest log line, at loggedAt. Only Accept uses them.
	shed     int
	loggedAt time.Time
}

// firstRequest is the first request on a connection.
type firstRequest struct {
	accepted time.Time
	received bool
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
		if d.Read {
			l.mu.Lock()
			if l.first == nil {
				l.first = map[net.Conn]*firstRequest{}
			}
			l.first[c] = &firstRequest{accepted: now}
			l.mu.Unlock()
			return c, nil
		}
		_ = c.Close()
		l.record(&d, now)
	}
}

// State is to be called with the changes of the states of all connections to an http.Server.
func (l *Listener) State(c net.Conn, s http.ConnState) {
	if s == http.StateNew {
		return
	}
	now := time.Now()
	l.mu.Lock()
	r := l.first[c]
	if r == nil {
		l.mu.Unlock()
		return
	}
	received := r.received
	if s == http.StateActive {
		r.received = true
	} else {
		delete(l.first, c)
	}
	l.mu.Unlock()
	switch {
	case s != http.StateActive:
		l.Limiter.Completed(received, now)
	case !received:
		l.Limiter.Received(now.Sub(r.accepted), now)
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

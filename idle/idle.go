package idle

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Conns closes idle connections of callers after a timeout. The idle timeout of http.Server can't
// change while the server runs, but that of the configuration can.
type Conns struct {
	// Limit returns how long a connection may be idle.
	Limit func() time.Duration

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// State is to be set as the ConnState of an http.Server. It records which connections are idle.
func (i *Conns) State(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.idleSince == nil {
		i.idleSince = map[net.Conn]time.Time{}
	}
	if s == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// CloseExpired closes the connections that have been idle for longer than Limit.
func (i *Conns) CloseExpired(now time.Time) {
	limit := i.Limit()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.idleSince {
		if now.Sub(since) > limit {
			c.Close()
			delete(i.idleSince, c)
		}
	}
}

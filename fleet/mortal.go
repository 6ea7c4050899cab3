package fleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
)

var errDead = errors.New("fleet: the instance is dead")

// mortal is a listener whose connections can all be ended at once.
type mortal struct {
	net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	killed bool
}

// mortalConn takes itself off its listener's books when it is closed.
type mortalConn struct {
	net.Conn
	listener *mortal
}

// Accept implements net.Listener.
func (l *mortal) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		conn.Close()
		return nil, errDead
	}
	l.conns[conn] = struct{}{}
	return &mortalConn{Conn: conn, listener: l}, nil
}

// Close implements net.Conn.
func (c *mortalConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (l *mortal) die() {
	// Closing twice is harmless, and what dies can't tell.
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = true
	for conn := range l.conns {
		conn.Close()
	}
}

func (l *mortal) dead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.killed
}

// mortalLog is a log service that a dead instance can't reach any more.
type mortalLog struct {
	sardinerock.Log
	gone atomic.Bool
}

func (l *mortalLog) die() { l.gone.Store(true) }

// Append implements sardinerock.Log.
func (l *mortalLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if l.gone.Load() {
		return 0, errDead
	}
	return l.Log.Append(ctx, stream, data)
}

// Read implements sardinerock.Log.
func (l *mortalLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]sardinerock.LogRecord, error) {
	if l.gone.Load() {
		return nil, errDead
	}
	return l.Log.Read(ctx, stream, from, wait)
}

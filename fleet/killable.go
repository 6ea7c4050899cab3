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

var errKilled = errors.New("fleet: the instance was killed")

// killableListener is a listener that can be closed together with all its connections.
type killableListener struct {
	net.Listener

	mu sync.Mutex
	// conns are the open connections that were accepted.
	conns  map[net.Conn]struct{}
	killed bool
}

// killableConn removes itself from its listener's conns when it is closed.
type killableConn struct {
	net.Conn
	listener *killableListener
}

// Accept implements net.Listener.
func (l *killableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		conn.Close()
		return nil, errKilled
	}
	l.conns[conn] = struct{}{}
	return &killableConn{Conn: conn, listener: l}, nil
}

// Close implements net.Conn.
func (c *killableConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (l *killableListener) kill() {
	// The listener may be closed already, and a killed process reports no errors.
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = true
	for conn := range l.conns {
		conn.Close()
	}
}

func (l *killableListener) isKilled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.killed
}

// killableLog is a client of the log service whose calls fail once its instance is killed.
type killableLog struct {
	sardinerock.Log
	killed atomic.Bool
}

func (l *killableLog) kill() { l.killed.Store(true) }

// Append implements sardinerock.Log.
func (l *killableLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if l.killed.Load() {
		return 0, errKilled
	}
	return l.Log.Append(ctx, stream, data)
}

// Read implements sardinerock.Log.
func (l *killableLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]sardinerock.LogRecord, error) {
	if l.killed.Load() {
		return nil, errKilled
	}
	return l.Log.Read(ctx, stream, from, wait)
}

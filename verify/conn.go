package verify

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrReset means that a connection that seemed to end in order was reset, or that the other side ended it before it had received
// the whole request. It wraps syscall.ECONNRESET.
var ErrReset = fmt.Errorf("verify: connection ended before the request was received: %w", syscall.ECONNRESET)

// writeGrace bounds how long the end of a connection waits for a write in progress. One whose bytes the other side has received is
// about to return.
const writeGrace = 100 * time.Millisecond

// await reports whether a condition is met within writeGrace.
func await(met func() bool) bool {
	for begin := time.Now(); !met(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > writeGrace {
			return false
		}
	}
	return true
}

// tcpClosed is the state of a connection that was reset and not closed here (TCP_CLOSE of Linux).
const tcpClosed = 7

// Conn is a connection that reports a reset also if a write got the socket's error. The system reports that error once; a read
// then returns what had arrived, and after that an orderly end.
type Conn struct {
	net.Conn
	// raw gives access to the socket; nil if there is none.
	raw syscall.RawConn
	// writing counts the writes in progress, and failed is set once one has failed.
	writing atomic.Int32
	failed  atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// head checks the next head of a response, and inHead is set until its end was read.
	head   Head
	inHead bool
}

// NewConn returns a Conn for a connection that was established.
func NewConn(c net.Conn) *Conn {
	checked := &Conn{Conn: c}
	if s, ok := c.(syscall.Conn); ok {
		// Without the socket, only failed writes show a reset.
		checked.raw, _ = s.SyscallConn()
	}
	return checked
}

// Dialer returns a DialContext of http.Transport that wraps the connections of another one.
func Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// Read implements net.Conn. It returns ErrReset in place of io.EOF if CheckEnd does.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.addHead(b[:n])
	if errors.Is(err, io.EOF) {
		if reset := c.CheckEnd(); reset != nil {
			return n, reset
		}
	}
	return n, err
}

// BeginHead makes the bytes that are read from now on be checked as the head of a response, and the informational heads before
// it. Buffered bytes have been read already and belong to it.
func (c *Conn) BeginHead(buffered []byte) {
	c.mu.Lock()
	c.head, c.inHead = Head{}, true
	c.mu.Unlock()
	c.addHead(buffered)
}

func (c *Conn) addHead(received []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead {
		c.inHead = !c.head.Add(received)
	}
}

// CheckHead returns the error of Head.Check for a response whose head was read since BeginHead.
func (c *Conn) CheckHead(r *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Check(r)
}

// CheckEnd returns ErrReset if the connection, which the other side has ended, was reset, or if the other side hasn't received all
// that was written: then it can't have read the request.
func (c *Conn) CheckEnd() error {
	if !await(func() bool { return c.writing.Load() == 0 }) || c.failed.Load() {
		return ErrReset
	}
	if c.raw == nil {
		return nil
	}
	reset := false
	// An error means that the connection was closed here, or that the system doesn't tell its state.
	_ = c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && (info.State == tcpClosed || info.Unacked > 0 || info.Notsent_bytes > 0)
	})
	if reset {
		return ErrReset
	}
	return nil
}

package fakes

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// forwarderLinger is how long a Forwarder discards what still arrives on a connection that it has ended in one
// direction: a close with unread bytes would be a reset.
const forwarderLinger = time.Second

// Forwarder forwards the bytes of TCP connections to a target, as load balancers in user space do. It accepts a
// connection before it connects to the target, and closes it in order also where the target refused or reset its own.
type Forwarder struct {
	// Target is the host:port to which connections are forwarded.
	Target string
	// BadGateway makes the forwarder answer a request with status 502, and keep the connection open, if the target
	// can't be reached. Otherwise it closes the connection.
	BadGateway bool

	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]bool
	stopped  bool
	// silences counts the calls of Silence.
	silences atomic.Int64
	// delay is that of SetDelay, and down that of SetDown.
	delay atomic.Int64
	down  atomic.Bool
}

// Start listens on a free loopback port and forwards; the error is that of listening.
func (f *Forwarder) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.listener, f.open = l, map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return nil
}

// Address returns the host:port on which the forwarder accepts connections.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Stop closes the listener and all connections.
func (f *Forwarder) Stop() {
	// An error means that it is closed already.
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for c := range f.open {
		c.Close()
	}
}

// Silence makes all open connections go silent for good: they stay open, and nothing passes on them in either direction. New ones
// work.
func (f *Forwarder) Silence() { f.silences.Add(1) }

// SetDelay makes new connections pass their first bytes only after a while.
func (f *Forwarder) SetDelay(d time.Duration) { f.delay.Store(int64(d)) }

// SetDown makes new connections silent from the start, until it is called with false. Those stay silent.
func (f *Forwarder) SetDown(down bool) { f.down.Store(down) }

// muted is a connection that discards what is written once passes returns false.
type muted struct {
	net.Conn
	passes func() bool
}

// Write implements io.Writer.
func (m muted) Write(b []byte) (int, error) {
	if !m.passes() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// track makes Stop close a connection, and returns false if that was called.
func (f *Forwarder) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return false
	}
	f.open[c] = true
	return true
}

func (f *Forwarder) forget(c net.Conn) {
	c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c)
}

func (f *Forwarder) serve(c net.Conn) {
	defer f.forget(c)
	if !f.track(c) {
		return
	}
	silences := f.silences.Load()
	if f.down.Load() {
		// An error means that the other side gave up, or that Stop was called.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	time.Sleep(time.Duration(f.delay.Load()))
	passes := func() bool { return f.silences.Load() == silences }
	target, err := net.Dial("tcp", f.Target)
	if err != nil {
		f.unreachable(c)
		return
	}
	defer f.forget(target)
	if !f.track(target) {
		return
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		// A caller that resets its connection ends that to the target, too.
		if _, err := io.Copy(muted{target, passes}, c); err != nil {
			target.Close()
			return
		}
		closeWrite(target)
	}()
	// An error is that of a reset, which ends the connection in order.
	_, _ = io.Copy(muted{c, passes}, target)
	if !passes() {
		<-left
	}
	end(c)
}

// unreachable ends a connection whose target can't be reached.
func (f *Forwarder) unreachable(c net.Conn) {
	for f.BadGateway {
		if _, err := c.Read(make([]byte, 64<<10)); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
	}
	end(c)
}

// end closes a connection in order.
func end(c net.Conn) {
	closeWrite(c)
	// An error means that the other side has closed it, or goes on sending.
	_ = c.SetReadDeadline(time.Now().Add(forwarderLinger))
	_, _ = io.Copy(io.Discard, c)
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// An error means that the connection has ended already.
		_ = tcp.CloseWrite()
	}
}

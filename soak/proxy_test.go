package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with connections and their data.
type proxyMode int

const (
	forward proxyMode = iota
	// delay forwards each chunk of data after delayTime.
	delay
	// blackhole reads data and discards it, in both directions.
	blackhole
	// dropReplies forwards what clients send and discards the replies.
	dropReplies
	// resetNew resets each new connection.
	resetNew
)

const delayTime = 60 * time.Millisecond

// proxy forwards connections to a service on loopback and injects network faults.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   proxyMode
	conns  map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// retarget forwards new connections to another address.
func (p *proxy) retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func (p *proxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	for c := range p.conns {
		c.Close()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == resetNew {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	b, err := net.Dial("tcp", p.currentTarget())
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[b] = true, true
	p.mu.Unlock()
	go p.copy(b, c, false)
	p.copy(c, b, true)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, b)
	p.mu.Unlock()
}

// copy forwards data until either side closes, and a reset as a reset. Once it has discarded data, it also
// discards the rest, because a stream with a gap would be corrupt, delays the close by a second and resets the
// other side: TCP delivers no orderly close after lost data.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	discard := false
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		mode := p.currentMode()
		discard = discard || n > 0 && (mode == blackhole || mode == dropReplies && answers)
		if mode == delay {
			time.Sleep(delayTime)
		}
		if !discard && n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if discard && errors.Is(err, io.EOF) {
				time.Sleep(time.Second)
			}
			if discard || !errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to the store. It can make the connections that are open go silent for good, while new
// ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// silent is closed when the connections that are open now go silent.
	silent chan struct{}
}

func newProxy(ip, target string) *proxy {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	p := &proxy{listener: l, target: target, silent: make(chan struct{})}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// silence makes the open connections go silent: their bytes are lost in both directions, and they aren't closed.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		go p.serve(c, silent)
	}
}

func (p *proxy) serve(c net.Conn, silent chan struct{}) {
	b, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	go forward(c, b, silent)
	forward(b, c, silent)
}

func forward(from, to net.Conn, silent chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			// The sender's bytes are lost until it closes the connection.
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

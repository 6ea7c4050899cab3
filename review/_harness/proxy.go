package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target, and can hold or drop what passes on them.
type proxy struct {
	address, target string

	mu    sync.Mutex
	conns map[*proxied]struct{}
	// healed is closed when a partition ends; nil without one.
	healed chan struct{}
}

// proxied is one forwarded connection.
type proxied struct {
	client, server net.Conn
	// silent is closed when the connection goes silent.
	silent chan struct{}
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, target: target, conns: map[*proxied]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// cut starts a partition: nothing passes, in either direction, until heal is called. What was sent meanwhile passes then.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// awaitHeal returns once there is no partition.
func (p *proxy) awaitHeal() {
	for {
		p.mu.Lock()
		healed := p.healed
		p.mu.Unlock()
		if healed == nil {
			return
		}
		<-healed
	}
}

// silence makes all open connections silent for good, without a reset; new ones work. It returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.conns)
	for c := range p.conns {
		close(c.silent)
		delete(p.conns, c)
	}
	return n
}

func (p *proxy) serve(client net.Conn) {
	p.awaitHeal()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	c := &proxied{client: client, server: server, silent: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Add(2)
	go p.pass(c, client, server, &group)
	go p.pass(c, server, client, &group)
	group.Wait()
	client.Close()
	server.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// reset closes a connection with a reset, as a port without a listener does.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// pass forwards one direction. Once the connection is silent, it reads and drops.
func (p *proxy) pass(c *proxied, from, to net.Conn, group *sync.WaitGroup) {
	defer group.Done()
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		p.awaitHeal()
		select {
		case <-c.silent:
			if err != nil {
				// The other end learns nothing of it.
				select {}
			}
			continue
		default:
		}
		if n > 0 {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

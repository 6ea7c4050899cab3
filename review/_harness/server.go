package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of a backend server. It speaks the platform's protocol on plain connections, so that a case decides on
// each byte that it sends.
type server struct {
	id, service, address string
	// handle answers a request; it returns false if the connection ends.
	handle func(s *server, c net.Conn, r *http.Request, body []byte) bool
	logf   func(format string, args ...any)

	mu       sync.Mutex
	sequence int
	born     int64
	stopped  bool
}

func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		switch {
		case r.URL.Path == "/health":
			s.logf("server %s: health check", s.id)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		case r.URL.Path == "/v1/hold-take":
			text := fmt.Sprintf(`{"hold":"h%d"}`, time.Now().UnixNano())
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		default:
			if !s.handle(s, c, r, body) {
				return
			}
		}
	}
}

// registration returns the record that the server writes about itself.
func (s *server) registration(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": "mill-hall", "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
}

// beat registers the server every 1.2 s until it is stopped.
func (s *server) beat(w *world, address string) {
	for {
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		r := s.registration("ready")
		if address != "" {
			r["address"] = address
		}
		w.put("keyed.servers", s.id, r)
		time.Sleep(1200 * time.Millisecond)
	}
}

// stopBeat ends the registrations.
func (s *server) stopBeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// reply writes a complete response with a length.
func reply(c net.Conn, id string, status int, extra, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, id, extra, len(body), body)
	return err == nil
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": 5000, "target_latency_ms": 300,
		"priority": 0, "service": service, "max_attempts": 1,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// configuration returns a configuration document.
func configuration(version int, routes []map[string]any, services ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}
}

func engineService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 8, "kv_capacity_tokens": 101495, "kv_token_bytes": 327680, "link_mbps": 1500000.0, "moves": true, "backups": true, "stride": 10,
		"max_count": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
	}}
}

// isPath reports whether a request is for a path below a prefix.
func isPath(r *http.Request, prefix string) bool { return strings.HasPrefix(r.URL.Path, prefix) }

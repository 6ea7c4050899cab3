package fakes

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// restartRetry is the interval at which a crashed host retries to listen on its port, should it be in use.
const restartRetry = 20 * time.Millisecond

// Host serves a fake on one port within this process, and can crash and restart on the same port.
type Host struct {
	Handler http.Handler
	// Address is the host:port to listen on; empty means a free loopback port.
	Address string
	// RestartAfter is the time from a crash to the restart; 0 means no restart.
	RestartAfter time.Duration

	mu sync.Mutex
	// boundAddress is the address of the first listener; a restart listens on it again.
	boundAddress string
	server       *http.Server
	stopped      bool
}

// Start listens and serves; the error is that of listening.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	address := h.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.boundAddress = listener.Addr().String()
	h.serve(listener)
	return nil
}

// URL returns the base URL, the same before and after crashes.
func (h *Host) URL() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return "http://" + h.boundAddress
}

// Crash closes the listener and all connections at once.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return
	}
	h.server.Close()
	h.server = nil
	if h.RestartAfter > 0 {
		time.AfterFunc(h.RestartAfter, h.restart)
	}
}

// Stop closes the listener and all connections; the host doesn't restart.
func (h *Host) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.server != nil {
		h.server.Close()
		h.server = nil
	}
}

func (h *Host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || h.server != nil {
		return
	}
	listener, err := net.Listen("tcp", h.boundAddress)
	if err != nil {
		time.AfterFunc(restartRetry, h.restart)
		return
	}
	h.serve(listener)
}

func (h *Host) serve(listener net.Listener) {
	server := &http.Server{Handler: h.Handler, ReadHeaderTimeout: 10 * time.Second}
	h.server = server
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.Crash()
		}
	}()
}

package relay

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/intake"
)

// errUnbuffered reports a response that is too large to be held.
var errUnbuffered = errors.New("a response without a stated length is too large for a caller that speaks HTTP/1.0")

// heldWriter writes the response to a caller that speaks HTTP/1.0, which knows no chunks: without a length, a broken
// response would look like a complete one. It holds a response without a length until that is complete.
type heldWriter struct {
	http.ResponseWriter
	// holding is set once a head without a length was written. The body holds at most its capacity.
	holding bool
	status  int
	body    []byte
	full    bool
}

// WriteHeader implements http.ResponseWriter.
func (h *heldWriter) WriteHeader(status int) {
	if h.Header().Get("Content-Length") != "" {
		h.ResponseWriter.WriteHeader(status)
		return
	}
	h.holding, h.status = true, status
}

// Write implements http.ResponseWriter.
func (h *heldWriter) Write(b []byte) (int, error) {
	switch {
	case !h.holding:
		return h.ResponseWriter.Write(b)
	case len(h.body)+len(b) > cap(h.body):
		h.full = true
		return 0, errUnbuffered
	}
	h.body = append(h.body, b...)
	return len(b), nil
}

// FlushError implements the method of http.ResponseController.
func (h *heldWriter) FlushError() error {
	if h.holding {
		return nil
	}
	return http.NewResponseController(h.ResponseWriter).Flush()
}

// deliver sends the response with its length.
func (h *heldWriter) deliver() error {
	if !h.holding {
		return nil
	}
	h.holding = false
	h.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	h.ResponseWriter.WriteHeader(h.status)
	_, err := h.ResponseWriter.Write(h.body)
	return err
}

// discard drops the response, so that another one can be sent.
func (h *heldWriter) discard() {
	if h.holding {
		h.holding, h.body = false, nil
		clear(h.Header())
	}
}

// hold prepares to hold the response to a caller that speaks HTTP/1.0. Without memory it holds none.
func (p *proxyRequest) hold() {
	if p.held == nil || p.held.body != nil || !intake.Take(p.request.Context(), maxBufferedResponse) {
		return
	}
	p.held.body = make([]byte, 0, maxBufferedResponse)
	p.heldBytes = maxBufferedResponse
}

// isHeld reports whether no part of the response was sent to the caller although it has started.
func (p *proxyRequest) isHeld() bool { return p.held != nil && p.held.holding }

// rejectUnbuffered ends a request whose response can't be held.
func (p *proxyRequest) rejectUnbuffered() (attemptResult, bool) {
	p.end = conns.EndUnbuffered
	p.reject(http.StatusBadGateway, errUnbuffered.Error(), 0)
	return answered, false
}

package sardinerock

import (
	"net"
	"net/http"
)

// identity is the value of Transfer-Encoding with which net/http sends a response without framing.
const identity = "identity"

// OmitFraming makes a response end with its connection, without a length or chunks. It is called before the head
// is sent.
func OmitFraming(h http.Header) { h.Set("Transfer-Encoding", identity) }

// IsUnframed reports whether a response whose head was sent ends with its connection: that of a caller that speaks
// HTTP/1.0, unless it has a length, or one with OmitFraming.
func IsUnframed(w http.ResponseWriter, r *http.Request) bool {
	h := w.Header()
	return h.Get("Content-Length") == "" && (!r.ProtoAtLeast(1, 1) || h.Get("Transfer-Encoding") == identity)
}

// AbortResponse ends a response whose head was sent so that it doesn't look complete, by a panic with
// http.ErrAbortHandler. That closes the caller's connection, which to a caller without framing is the end of a
// complete response; its connection is reset instead.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if IsUnframed(w, r) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the caller's connection with a reset. Without access to it, the panic of AbortResponse
// closes it.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection has ended already.
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

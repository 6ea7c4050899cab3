package sardinerock

import (
	"context"
	"net"
	"net/http"
)

// identity is the value of Transfer-Encoding with which net/http sends a response without framing.
const identity = "identity"

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is the ConnContext of an http.Server whose handlers call GuardUnframed or AbortResponse.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// OmitFraming makes a response end with its connection, without a length or chunks. It is called before the head
// is sent.
func OmitFraming(h http.Header) { h.Set("Transfer-Encoding", identity) }

// IsUnframed reports whether a response whose head was sent ends with its connection: that of a caller that speaks
// HTTP/1.0, unless it has a length, or one with OmitFraming.
func IsUnframed(w http.ResponseWriter, r *http.Request) bool {
	h := w.Header()
	return h.Get("Content-Length") == "" && (!r.ProtoAtLeast(1, 1) || h.Get("Transfer-Encoding") == identity)
}

// GuardUnframed is called after the head of a response was sent, and EndGuarded at its end. Between the two, the
// connection of a response without framing is reset if this process dies: to its caller, a close would be the end of
// a complete response.
func GuardUnframed(w http.ResponseWriter, r *http.Request) {
	if IsUnframed(w, r) {
		setLinger(r, 0)
	}
}

// EndGuarded ends what GuardUnframed has begun, once all bytes of the response are sent.
func EndGuarded(w http.ResponseWriter, r *http.Request) {
	if !IsUnframed(w, r) {
		return
	}
	// An error means that the caller has disconnected.
	_ = http.NewResponseController(w).Flush()
	setLinger(r, -1)
}

// AbortResponse ends a response whose head was sent so that it doesn't look complete, by a panic with
// http.ErrAbortHandler. That closes the caller's connection, which to a caller without framing is the end of a
// complete response; its connection is reset instead.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if IsUnframed(w, r) {
		if tcp := setLinger(r, 0); tcp != nil {
			// An error means that the connection has ended already.
			_ = tcp.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// setLinger makes a close of the connection of a request a reset (0) or an orderly end (-1), and returns the
// connection below TLS. It returns nil if the server doesn't use ConnContext.
func setLinger(r *http.Request, seconds int) *net.TCPConn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	// An error means that the connection has ended already.
	_ = tcp.SetLinger(seconds)
	return tcp
}

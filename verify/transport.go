package verify

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport is an http.Transport that returns an error in place of a response that breaks the grammar of HTTP/1.1, and whose
// responses end with an error where Conn reports a reset. A request that times out closes all idle connections: if its own went
// silent, the others may have, too, and each would hold a further request until that times out. Its DialContext is one of Dialer.
type Transport struct {
	*http.Transport
	// Framed makes responses without a length and without chunks errors, too: nothing shows that they are complete.
	Framed bool
}

// exchange is a request whose response is checked.
type exchange struct {
	// written is set once the whole request was written.
	written atomic.Bool

	// mu guards conn, the connection that was used last; nil if there is none that checks heads.
	mu   sync.Mutex
	conn *Conn
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn = connOf(info.Conn); e.conn != nil {
		e.conn.BeginHead(nil)
	}
}

// checkHead returns an error if the head of the response breaks the grammar.
func (e *exchange) checkHead(resp *http.Response) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return Status(resp)
	}
	return e.conn.CheckHead(resp)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	e := &exchange{}
	trace := &httptrace.ClientTrace{GotConn: e.gotConn, WroteRequest: func(info httptrace.WroteRequestInfo) { e.written.Store(info.Err == nil) }}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		t.closeSilent(r.Context())
		return nil, err
	}
	resp.Request = r
	err = e.checkHead(resp)
	if err == nil && t.Framed && !isFramed(resp) {
		err = fmt.Errorf("%w: response without framing", ErrMalformed)
	}
	if err != nil {
		resp.Body.Close()
		// The connection of a response without a body is idle by now, and must not be used again.
		t.CloseIdleConnections()
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, exchange: e, resp: resp, transport: t}
	}
	return resp, nil
}

// closeSilent closes the idle connections if a request that failed has timed out.
func (t *Transport) closeSilent(ctx context.Context) {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
}

// isFramed reports whether a response states its length, is sent in chunks, or has no body.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// connOf returns the Conn that a connection is or wraps, or nil.
func connOf(c net.Conn) *Conn {
	switch c := c.(type) {
	case *Conn:
		return c
	case interface{ NetConn() net.Conn }:
		return connOf(c.NetConn())
	}
	return nil
}

// body checks what follows the body of a response. An end that only the end of the connection marks proves nothing if it comes before
// the request was written: http.Transport reads while it writes.
type body struct {
	io.ReadCloser
	exchange  *exchange
	resp      *http.Response
	transport *Transport
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		if err != nil {
			b.transport.closeSilent(b.resp.Request.Context())
		}
		return n, err
	}
	if !isFramed(b.resp) && !await(b.exchange.written.Load) {
		return n, ErrReset
	}
	if malformed := Trailer(b.resp); malformed != nil {
		return n, malformed
	}
	return n, err
}

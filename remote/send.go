package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/verify"
)

// Limits of the connections to one backend server or platform service.
const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 20 * time.Second
	maxIdlePerHost = 64
	maxErrorBody   = 4 << 10
	maxReplyBody   = 64 << 20
)

// errSealed fails writes of http.Transport to a connection after its request was reported as not sent.
var errSealed = errors.New("remote: connection is sealed against writes, its request was reported as not sent")

// Sender sends requests to one peer and reports for each failed request whether
// any byte of it was written.
//
// http.Transport doesn't report this: its error for a pooled connection that the
// peer has closed is the same whether or not the request was written, and it
// retries some requests by itself. So each connection counts the bytes written.
// If a request fails and none of its bytes were written, its connection is first
// sealed, which fails all further writes; only then is the request reported as
// not sent.
type Sender struct {
	// URL is the peer's base URL, without a trailing slash.
	URL string

	once      sync.Once
	transport *verify.Transport
}

// countingConn counts the bytes written to a connection and can be sealed against further writes.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// NetConn returns the connection whose bytes are counted.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countingConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal fails all further writes if nothing was written since count was read; it reports whether it did.
func (c *countingConn) seal(count int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != count {
		return false
	}
	c.sealed = true
	return true
}

// nonReplayableBody keeps http.Transport from retrying a request by itself. The
// transport retries requests without a body if the method or a header marks them
// as idempotent, but only the caller knows whether a request may be repeated.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonReplayableBody) Close() error { return nil }

// attempt records the connection that carries a request, and that connection's
// write count before the request.
type attempt struct {
	mu    sync.Mutex
	conn  *countingConn
	count int64
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if conn, ok := info.Conn.(*countingConn); ok {
		a.conn, a.count = conn, conn.count()
	}
}

// sealIfUnsent reports whether nothing of the request was written; if so, it
// seals the connection so that nothing can be written later.
func (a *attempt) sealIfUnsent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn == nil || a.conn.seal(a.count)
}

func (s *Sender) init() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := verify.Dialer(dialer.DialContext)
	s.transport = &verify.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConns:        maxIdlePerHost,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Send sends one request; the caller closes the response's body. An error that
// wraps sardinerock.ErrNotSent proves that nothing of the request was written.
func (s *Sender) Send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	s.once.Do(s.init)
	a := &attempt{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	r, err := http.NewRequestWithContext(traced, method, s.URL+path, nil)
	if err != nil {
		return nil, merry.Prependf(errors.Join(err, sardinerock.ErrNotSent), "%s %s", method, path)
	}
	if header != nil {
		r.Header = header
	}
	r.Body = nonReplayableBody{bytes.NewReader(body)}
	r.ContentLength = int64(len(body))
	response, err := s.transport.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	if a.sealIfUnsent() {
		err = errors.Join(err, sardinerock.ErrNotSent)
	} else if ctx.Err() != nil {
		// The peer received the request and did not answer in time. Other pooled
		// connections may be unresponsive as well, and new ones are cheap.
		s.transport.CloseIdleConnections()
	}
	return nil, merry.Prependf(err, "%s %s%s", method, s.URL, path)
}

// Close closes the idle connections; requests in progress go on.
func (s *Sender) Close() {
	s.once.Do(s.init)
	s.transport.CloseIdleConnections()
}

// call sends a request and decodes the JSON response into a T. A status outside 2xx gives a *StatusError.
func call[T any](ctx context.Context, s *Sender, method, path string, body []byte) (T, error) {
	var answer T
	header := http.Header{}
	if body != nil {
		header.Set("Content-Type", "application/json")
	}
	response, err := s.Send(ctx, method, path, header, body)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if err := checkStatus(response); err != nil {
		return answer, err
	}
	if response.StatusCode == http.StatusNoContent {
		return answer, nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBody)).Decode(&answer); err != nil {
		return answer, merry.Prependf(err, "%s %s%s: answer", method, s.URL, path)
	}
	// The transport reuses a connection only if the body was read to its end.
	_, _ = io.Copy(io.Discard, response.Body)
	return answer, nil
}

// StatusError is a response with a status outside 2xx; Message is its body, up to 4 KiB.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

func checkStatus(response *http.Response) error {
	if response.StatusCode/100 == 2 {
		return nil
	}
	message, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil {
		return err
	}
	return &StatusError{Status: response.StatusCode, Message: string(bytes.TrimSpace(message))}
}

// withStatus adds sentinel to err if err is a response with that status.
func withStatus(err error, status int, sentinel error) error {
	var answered *StatusError
	if errors.As(err, &answered) && answered.Status == status {
		return errors.Join(sentinel, err)
	}
	return err
}

// joinIf adds sentinel to err if err wraps cause.
func joinIf(err, cause, sentinel error) error {
	if errors.Is(err, cause) {
		return errors.Join(sentinel, err)
	}
	return err
}

package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinerock/sardinerock/verify"
)

const (
	// dialTimeout is several hundred times the usual time to connect to another entry.
	dialTimeout = 300 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections to one peer.
	maxIdleConns = 2
	// maxResponseBytes bounds a response: results of up to about one megabyte and their framing.
	maxResponseBytes = 4 << 20
	// maxResponseHead bounds the head of a response, which may forward that of a backend server.
	maxResponseHead = 128 << 10
)

// NewClient returns an HTTP client for calls to peers.
func NewClient() *http.Client {
	return &http.Client{Transport: &verify.Transport{Framed: true, Transport: &http.Transport{
		DialContext:         verify.Dialer((&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHead,
	}}}
}

// response buffers a complete response until it is known which one the caller gets.
type response struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (resp *response) Header() http.Header {
	if resp.header == nil {
		resp.header = http.Header{}
	}
	return resp.header
}

// WriteHeader implements http.ResponseWriter.
func (resp *response) WriteHeader(status int) {
	if resp.status == 0 {
		resp.status = status
	}
}

// Write implements http.ResponseWriter.
func (resp *response) Write(b []byte) (int, error) {
	resp.WriteHeader(http.StatusOK)
	return resp.body.Write(b)
}

// conclusive reports whether the response settles the call. One that says "unknown" or "not
// done" may be answered differently by another entry.
func (resp *response) conclusive() bool { return resp.rank() == 0 || resp.rank() == 2 }

// write sends the response to the caller.
func (resp *response) write(w http.ResponseWriter) {
	if resp.status == 0 {
		// The caller disconnected before there was a response.
		resp.status = http.StatusServiceUnavailable
	}
	for name, values := range resp.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(resp.body.Len()))
	w.WriteHeader(resp.status)
	// An error means that the caller disconnected; there is no one to report it to.
	_, _ = w.Write(resp.body.Bytes())
}

// preferred returns which of two responses on the same job the caller gets. Of two of the same rank, it is one that says
// when to come back.
func preferred(a, b *response) *response {
	if a == nil || b.rank() < a.rank() || b.rank() == a.rank() && a.header.Get("Retry-After") == "" {
		return b
	}
	return a
}

// rank orders responses by which one is true if both were received; lower is preferred. An
// acceptance is true whichever entry reports it. A response that leaves the result unknown is
// preferred to a rejection by the other entry: the caller would take a rejection to mean that
// the job will not run, although it may still be accepted.
func (resp *response) rank() int {
	switch {
	case resp.status/100 == 2:
		return 0
	case resp.status == 0 || resp.status/100 == 5 && resp.status != http.StatusServiceUnavailable:
		return 1
	case resp.status != http.StatusServiceUnavailable:
		return 2
	}
	return 3
}

// forwardTo sends a request to one peer. Without a response it is unknown whether the peer
// processed the request, unless the connection could not be established.
func (p *Proxy) forwardTo(ctx context.Context, r *http.Request, peer string, body []byte) (*response, error) {
	url := *r.URL
	url.Scheme, url.Host = "http", peer
	call, err := http.NewRequestWithContext(ctx, r.Method, url.String(), bytes.NewReader(body))
	if err != nil {
		return &response{status: http.StatusServiceUnavailable}, err
	}
	call.Host, call.Header = r.Host, r.Header.Clone()
	call.Header.Del("Connection")
	httpResp, err := p.Client.Do(call)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return &response{status: http.StatusServiceUnavailable}, err
		}
		return &response{status: http.StatusGatewayTimeout}, err
	}
	defer httpResp.Body.Close()
	resp := &response{status: httpResp.StatusCode, header: httpResp.Header}
	n, err := resp.body.ReadFrom(io.LimitReader(httpResp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return &response{status: http.StatusGatewayTimeout}, fmt.Errorf("read response of peer %s: %w", peer, err)
	case n > maxResponseBytes:
		return &response{status: http.StatusGatewayTimeout}, fmt.Errorf("read response of peer %s: more than %d bytes", peer, maxResponseBytes)
	}
	return resp, nil
}

package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock"
)

// maxHealthBytes bounds the part of the body of a health check that is read.
const maxHealthBytes = 4 << 10

// Errors of CheckInstance.
var (
	// ErrOtherInstance means that another instance answers at the address: the one that is meant has ended.
	ErrOtherInstance = errors.New("another instance answers at the backend server's address")
	// ErrUnidentified means that the answer doesn't say which instance it is from: it may be that of an intermediary.
	ErrUnidentified = errors.New("the answer to the health check names no instance")
)

// CheckInstance returns nil if a backend server, asked on a new connection, states that it is the instance that is
// meant, healthy or not. The error wraps ErrOtherInstance or ErrUnidentified, or is one of Send. A
// connection that is accepted states nothing, since a forwarder or a supervisor may accept it.
func (c *Conns) CheckInstance(ctx context.Context, b *sardinerock.BackendServer, healthPath string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// On a connection that was used before, a late response to another request could pass for the answer.
	cn, err := c.dial(ctx, b.Address, timeout)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	// A request that waits for a slot until its deadline is answered then.
	call := c.Dialect.HealthCall(healthPath, b.Name, timeout*2/3)
	resp, err := c.send(ctx, b, call, call.Header, timeout, cn)
	if err != nil {
		return err
	}
	defer resp.Finish()
	// The head states all that is needed. The body is read so that the connection can be kept.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxHealthBytes))
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest, resp.Instance != "" && resp.Instance != b.Name:
		return fmt.Errorf("%w: %w", ErrIncomplete, ErrOtherInstance)
	case resp.Instance == "" && !turnedAway(resp):
		return fmt.Errorf("%w: status %d", ErrUnidentified, resp.StatusCode)
	}
	return nil
}

// turnedAway reports whether a response rejects a request for want of a slot. An instance that isn't meant answers 421
// instead.
func turnedAway(resp *Response) bool {
	return resp.NotRun && (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests)
}

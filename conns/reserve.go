package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// reserveTimeout bounds a reservation, which takes a round trip of 2 ms and doesn't wait
	// for a slot. A backend server that doesn't respond to it would not start the request
	// either. The timeout leaves the request more than half of the 300 ms that its caller allows.
	reserveTimeout = 120 * time.Millisecond
	// reservationTTL is how long a slot stays reserved. The request is sent right after the
	// reservation.
	reservationTTL = 400 * time.Millisecond
	// maxReservationBytes bounds the response, which holds only a name.
	maxReservationBytes = 4 << 10
)

// Reservation is a slot of a backend server that is reserved for one request.
type Reservation struct {
	// Name is the backend server's identifier of the reservation.
	Name string
	// conn is the connection on which the reservation was made; nil if that can't be reused.
	conn *conn
}

// Close closes the connection of a reservation that isn't used. The slot becomes free when the
// reservation expires.
func (r *Reservation) Close() {
	if r.conn != nil {
		r.conn.Close()
	}
}

// Reserve reserves a slot of a backend server, and memory for a number of tokens, for at most
// maxTTL. It returns nil if there is no room, and an error if the backend server gave no valid
// response. An unused reservation expires by itself.
//
// An idle connection may have been closed without notice, or may no longer respond although new
// ones work. A closed one fails at once, and the reservation is repeated on a new one: a
// duplicate reservation does no harm. One that doesn't respond causes a timeout, after which too
// little time is left for a second attempt; the next request to this backend server uses a new
// connection.
func (c *Conns) Reserve(ctx context.Context, b *sardinerock.BackendServer, tokens int64, maxTTL time.Duration) (*Reservation, error) {
	r, err := c.reserve(ctx, b, tokens, maxTTL)
	if err == nil || ctx.Err() != nil {
		return r, err
	}
	c.closeIdle(b.ID)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, err
	}
	return c.reserve(ctx, b, tokens, maxTTL)
}

func (c *Conns) reserve(ctx context.Context, b *sardinerock.BackendServer, tokens int64, maxTTL time.Duration) (*Reservation, error) {
	call := c.Dialect.ReserveCall(tokens, min(reservationTTL, maxTTL))
	resp, err := c.send(ctx, b, call, call.Header, reserveTimeout, nil)
	if err != nil {
		return nil, err
	}
	if err := resp.SetReadDeadline(time.Now().Add(reserveTimeout)); err != nil {
		resp.Finish()
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	body, err := io.ReadAll(io.LimitReader(resp, maxReservationBytes))
	// A JSON body that is cut off can't be parsed, so it needs no framing.
	if err != nil && !errors.Is(err, ErrUnproven) {
		resp.Finish()
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	name, err := c.Dialect.ReadReservation(resp.StatusCode, body)
	if err != nil || name == "" {
		resp.Finish()
		return nil, err
	}
	return &Reservation{Name: name, conn: resp.release()}, nil
}

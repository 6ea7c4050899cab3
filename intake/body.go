package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxWait is how long a request waits for memory that others hold.
	maxWait = 500 * time.Millisecond
	// firstBuffer is the size of the first buffer for a body that doesn't state its length, in bytes.
	firstBuffer = 4 << 10
	// BodyTimeout is the longest time that a client may take to send a body.
	BodyTimeout = time.Minute
)

// The reasons for which a body isn't read.
var (
	ErrTooLarge = errors.New("the body is larger than the configuration allows")
	ErrNoMemory = errors.New("there is no memory for the request")
	ErrTooSlow  = errors.New("the body wasn't received in time")
)

// Take takes bytes of memory for a request, given its context, until its end. It reports whether there are as many.
func Take(ctx context.Context, bytes int64) bool {
	c := fromContext(ctx)
	return c == nil || c.take(bytes)
}

// TakeEstimate is like Take for a number of bytes that is estimated from above: a request that nobody else leaves without
// memory gets it in any case.
func TakeEstimate(ctx context.Context, bytes int64) bool {
	c := fromContext(ctx)
	return c == nil || c.await(bytes, c.holder.TakeUpTo)
}

// Give gives back what Take has taken.
func Give(ctx context.Context, bytes int64) {
	if c := fromContext(ctx); c != nil {
		c.holder.Give(bytes)
	}
}

func (c *Conn) take(bytes int64) bool { return c.await(bytes, c.holder.Take) }

// await takes bytes; it waits for those that others have to give back.
func (c *Conn) await(bytes int64, take func(int64, time.Time) (bool, <-chan struct{})) bool {
	var timeout <-chan time.Time
	for {
		ok, wait := take(bytes, time.Now())
		if ok || wait == nil {
			return ok
		}
		if timeout == nil {
			t := time.NewTimer(maxWait)
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-wait:
		case <-c.yielded:
			return false
		case <-timeout:
			return false
		}
	}
}

// ReadBody reads the whole body of a request, since a retry sends it again. A body of more than limit bytes is an error;
// there is no limit if it is 0. The deadline is that of the whole body; the read also ends with ctx. After an error, Abandon
// need not be called.
func ReadBody(ctx context.Context, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	body, err := readBody(ctx, r, limit, deadline)
	if err != nil {
		Abandon(r)
	}
	return body, err
}

func readBody(ctx context.Context, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	c := fromContext(r.Context())
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		c.reject(reasonBody)
		return nil, ErrTooLarge
	}
	undo := func() {}
	if c != nil {
		_ = c.SetReadDeadline(deadline)
		undo = c.endReadWith(ctx)
	}
	body, err := readAll(r, limit)
	undo()
	switch {
	case c == nil:
		return body, err
	case err == nil:
		_ = c.SetReadDeadline(time.Time{})
		return body, c.complete()
	case c.mustYield():
		return nil, ErrNoMemory
	case isTimeout(err):
		c.reject(reasonSlow)
		return nil, ErrTooSlow
	case errors.Is(err, ErrNoMemory):
		c.reject(reasonMemory)
	case errors.Is(err, ErrTooLarge):
		c.reject(reasonBody)
	}
	return nil, err
}

// Abandon is called before the rejection of a request whose body won't be read. The rest of it is received for a while, so
// that the connection can be kept.
func Abandon(r *http.Request) {
	if c := fromContext(r.Context()); c != nil && r.Body != nil && r.Body != http.NoBody {
		_ = c.SetReadDeadline(time.Now().Add(drainTime))
	}
}

// Handler bounds the time of reading the bodies of the requests to next, and gives back what a request holds after it.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := fromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		if hasBody {
			_ = c.SetReadDeadline(time.Now().Add(BodyTimeout))
		}
		if !c.chargeHeader(r.Header) || !hasBody && c.complete() != nil {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfterSeconds)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if c.listener.Budget.Crowded(time.Now()) {
			w.Header().Set("Connection", "close")
		}
		defer c.holder.GiveAll()
		next.ServeHTTP(w, r)
	})
}

// endReadWith ends reads from the client once ctx ends. The function that it returns undoes that.
func (c *Conn) endReadWith(ctx context.Context) (undo func()) {
	var mu sync.Mutex
	undone := false
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if !undone {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	})
	return func() {
		if !stop() {
			mu.Lock()
			defer mu.Unlock()
			undone = true
		}
	}
}

func (c *Conn) reject(why reason) {
	if c != nil {
		c.listener.reject(why)
	}
}

// complete records that a request was received.
func (c *Conn) complete() error {
	if c != nil && !c.holder.Complete() {
		return ErrNoMemory
	}
	return nil
}

// readAll reads a body, each buffer of which is taken from the budget before it is allocated.
func readAll(r *http.Request, limit int64) ([]byte, error) {
	ctx := r.Context()
	if r.ContentLength > 0 {
		if !Take(ctx, r.ContentLength) {
			return nil, ErrNoMemory
		}
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	if !Take(ctx, firstBuffer) {
		return nil, ErrNoMemory
	}
	body := make([]byte, 0, firstBuffer)
	for {
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		size := 2 * cap(body)
		if limit > 0 {
			// One byte more than the limit shows that a body exceeds it.
			size = min(size, int(limit)+1)
		}
		if !Take(ctx, int64(size)) {
			return nil, ErrNoMemory
		}
		larger := make([]byte, len(body), size)
		copy(larger, body)
		Give(ctx, int64(cap(body)))
		body = larger
	}
}

package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/budget"
	"github.com/sardinerock/sardinerock/verify"
)

const (
	// dialTimeout is hundreds of times the usual time to connect. If it expires, the instance is down.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the backend server announces no timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleFraction is the part of the backend server's idle timeout after which a connection
	// is closed here. Without this margin, a request could be sent while the backend server
	// closes the connection, and its outcome would be unknown.
	idleFraction = 0.6
	// readBufferBytes has room for the head of a response and one or two events.
	readBufferBytes = 4 << 10
	// receiveBuffer is the size of the receive buffer of a connection, in bytes; the system doubles it. Bytes that
	// were received and not read are memory of the process, of which the system would grant each connection megabytes.
	receiveBuffer = 128 << 10
	// maxHeadBytes bounds the head of a response, together with the informational ones before it.
	maxHeadBytes = 64 << 10
	// bytesPerByte and bytesPerLine are what a head takes for each byte and for each line, most of it for the map of its lines.
	bytesPerByte, bytesPerLine = 2, 160
	// maxStrayBytes bounds the body of a response to another request, which is discarded.
	maxStrayBytes = 256 << 10
	// maxStrayResponses is how many responses to other requests are discarded before the one
	// to the request that was sent.
	maxStrayResponses = 2
)

// Errors of requests to backend servers.
var (
	// ErrNotSent means that no part of the request was sent: it did not run.
	ErrNotSent = errors.New("conns: request not sent to the backend server")
	// ErrIncomplete means that the request was sent and no complete response was received: it may
	// have run.
	ErrIncomplete = errors.New("conns: no complete response received")
	// ErrBrokenOff means that the backend server closed or reset the connection before its response
	// was complete. It accompanies ErrIncomplete, which alone is a timeout, a connection closed here,
	// or bytes that are no response.
	ErrBrokenOff = errors.New("connection ended by the backend server")
	// ErrUnproven means that the response ended when the backend server closed the connection, and has
	// neither a length nor chunks: it is either complete, or the backend server ended.
	ErrUnproven = errors.New("conns: response without framing ended with its connection")
	// ErrOtherOrigin means that the stream can't go on at the backend server, which has another service or
	// software version than the one that began it. It accompanies ErrNotSent.
	ErrOtherOrigin = errors.New("backend server has another software version than the stream")
	// ErrMalformedRequest means that the request has a value that would change its form. It accompanies ErrNotSent.
	ErrMalformedRequest = errors.New("request has a value that can't be sent")
	// ErrTooLarge means that the backend server sent more bytes than a head, a response to another request, an
	// event or a body may have. It accompanies ErrIncomplete.
	ErrTooLarge = errors.New("more bytes received than a response may have")
	// ErrInsideEvent means that a stream ended inside an event. It accompanies ErrIncomplete and
	// ErrBrokenOff.
	ErrInsideEvent = errors.New("stream ended inside an event")
)

// Conns manages the connections to all backend servers.
type Conns struct {
	Dialect sardinerock.Dialect
	// Held, if set, counts what the responses in progress hold.
	Held *budget.Held
	// Memory bounds what the heads and events of all responses in progress hold together; nil for no bound.
	Memory *budget.Budget

	mu sync.Mutex
	// idle holds the idle connections by the id of their backend server.
	idle map[string][]*conn
}

// conn is one connection to a backend server.
type conn struct {
	*verify.Conn
	reader *bufio.Reader
	// raw gives access to the socket, to check for received bytes without reading them.
	raw syscall.RawConn
	// expires is when the connection is closed if it is still idle.
	expires time.Time
	reused  bool
	// ended is set once the backend server has closed or reset the connection.
	ended bool
	// limited is set while at most budget more bytes may be read.
	limited bool
	budget  int
	// exceeded is set once more bytes would have been read.
	exceeded bool
	// held counts what the response in progress holds: bytes of heads and the buffer of its events. headCharge is the memory
	// of the parsed heads, and room that of all. inHead is set while a head is read.
	held                              *budget.Held
	headBytes, headCharge, eventBytes int64
	room                              Room
	inHead                            bool
	// noRoom is set once there was no memory for the response.
	noRoom atomic.Bool
}

// limit bounds the bytes that are read from now on, besides those in the reader's buffer.
func (c *conn) limit(bytes int) { c.limited, c.budget = true, bytes }

func (c *conn) unlimit() { c.limited = false }

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	if c.limited {
		if c.budget <= 0 {
			c.exceeded = true
			return 0, ErrTooLarge
		}
		b = b[:min(len(b), c.budget)]
	}
	n, err := c.Conn.Read(b)
	c.budget -= n
	if c.inHead {
		if err := c.holdHead(b[:n]); err != nil {
			return 0, err
		}
	}
	c.ended = c.ended || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// holdHead takes memory for a part of a head, which may be followed by a part of the body.
func (c *conn) holdHead(part []byte) error {
	part = part[:headLength(part)]
	c.headBytes += int64(len(part))
	c.held.Add(budget.Heads, int64(len(part)))
	c.headCharge += int64(bytesPerByte*len(part) + bytesPerLine*bytes.Count(part, []byte{'\n'}))
	return c.hold()
}

// headLength returns how much of b belongs to heads, all of it if none ends there.
func headLength(b []byte) int {
	end, length := []byte("\r\n\r\n"), 0
	for {
		i := bytes.Index(b[length:], end)
		if i < 0 {
			break
		}
		length += i + len(end)
	}
	if length == 0 {
		return len(b)
	}
	return length
}

// holdEvents takes memory for the buffer of events.
func (c *conn) holdEvents(size int) error {
	c.held.Add(budget.Events, int64(size)-c.eventBytes)
	c.eventBytes = int64(size)
	return c.hold()
}

func (c *conn) hold() error {
	err := c.room.Set(c.headCharge + c.eventBytes)
	if err != nil {
		c.noRoom.Store(true)
	}
	return err
}

// giveBack records that the response in progress holds nothing any more. It reports whether the connection can be kept, which
// isn't about to be closed for others.
func (c *conn) giveBack() bool {
	c.held.Add(budget.Events, -c.eventBytes)
	c.held.Add(budget.Heads, -c.headBytes)
	c.headBytes, c.headCharge, c.eventBytes = 0, 0, 0
	return !c.room.Close()
}

// yield is called when the response has to make room for others.
func (c *conn) yield() {
	c.noRoom.Store(true)
	c.Close()
}

// incomplete wraps the error of a response that isn't complete.
func (c *conn) incomplete(err error) error {
	switch {
	case c.noRoom.Load():
		return fmt.Errorf("%w: %w: %w", ErrIncomplete, ErrNoRoom, err)
	case c.exceeded:
		// Not every parser returns the error of the last read.
		return fmt.Errorf("%w: %w: %w", ErrIncomplete, ErrTooLarge, err)
	case c.ended:
		return fmt.Errorf("%w: %w: %w", ErrIncomplete, ErrBrokenOff, err)
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}

// Response is the response to one request. Finish must be called when it is no longer needed.
type Response struct {
	*http.Response
	sardinerock.ResponseInfo

	conns      *Conns
	serverID   string
	conn       *conn
	stopCancel func() bool
	// complete is set once the body was read to its end.
	complete bool
	// err is the error that ended the body early, or nil.
	err error
}

// CloseExpired closes the connections that were idle for too long, and those to backend servers
// for which live returns false.
func (c *Conns) CloseExpired(live func(id string) bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if live(id) && now.Before(cn.expires) {
				kept = append(kept, cn)
			} else {
				cn.Close()
			}
		}
		if c.idle[id] = kept; len(kept) == 0 {
			delete(c.idle, id)
		}
	}
}

// closeIdle closes the idle connections to a backend server.
func (c *Conns) closeIdle(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[id] {
		cn.Close()
	}
	delete(c.idle, id)
}

// takeIdle returns an idle connection that can be reused, or nil. It closes those that can't.
func (c *Conns) takeIdle(id string, now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		list := c.idle[id]
		if len(list) == 0 {
			return nil
		}
		cn := list[len(list)-1]
		c.idle[id] = list[:len(list)-1]
		if now.Before(cn.expires) && cn.usable() {
			cn.reused = true
			return cn
		}
		cn.Close()
	}
}

// usable reports whether the connection is open and has no unread bytes. Bytes after a
// complete response belong to no request, but would be read as the response to the next one.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// dial connects to a backend server. Its timeout is dialTimeout, or headTimeout if that is set and
// shorter.
func (c *Conns) dial(ctx context.Context, address string, headTimeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: setReceiveBuffer}
	if headTimeout > 0 {
		d.Timeout = min(dialTimeout, headTimeout)
	}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	socket, ok := raw.(*net.TCPConn)
	if !ok {
		raw.Close()
		return nil, fmt.Errorf("conns: %s: not a TCP connection", address)
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		raw.Close()
		return nil, err
	}
	cn := &conn{Conn: verify.NewConn(raw), raw: rawConn, held: c.Held}
	cn.room.Budget, cn.room.Yield = c.Memory, cn.yield
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn, nil
}

// setReceiveBuffer sets the receive buffer of a socket before it connects.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without it, the system's default applies.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}

// Send sends one attempt of a call and returns the response once its head was received. The
// connection is closed when ctx ends, which makes the backend server stop working on it. An error
// wraps ErrNotSent or ErrIncomplete, except if the read deadline can't be cleared afterwards.
//
// If the call has a reservation, it is sent over the connection on which the reservation was
// made, since that one has just responded. An idle connection may have been closed without
// notice; if a request gets a reset, its outcome is unknown.
func (c *Conns) Send(ctx context.Context, b *sardinerock.BackendServer, call *sardinerock.Call, a sardinerock.Attempt, reserved *Reservation) (*Response, error) {
	if !a.Position.Allows(b) {
		if reserved != nil {
			reserved.Close()
		}
		return nil, fmt.Errorf("%w: %w: %s %s, want %s %s", ErrNotSent, ErrOtherOrigin, b.Service, b.Version, a.Position.Origin.Service, a.Position.Origin.Version)
	}
	if reserved == nil {
		return c.send(ctx, b, call, c.Dialect.AttemptHeader(call, a), a.HeadTimeout, nil)
	}
	a.Reservation = reserved.Name
	return c.send(ctx, b, call, c.Dialect.AttemptHeader(call, a), a.HeadTimeout, reserved.conn)
}

// send sends a call over cn. If cn is nil, it uses an idle connection, or else a new one.
func (c *Conns) send(ctx context.Context, b *sardinerock.BackendServer, call *sardinerock.Call, header http.Header, headTimeout time.Duration, cn *conn) (*Response, error) {
	if cn == nil {
		cn = c.takeIdle(b.ID, time.Now())
	}
	if cn == nil {
		var err error
		if cn, err = c.dial(ctx, b.Address, headTimeout); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stopCancel := context.AfterFunc(ctx, func() { cn.Close() })
	resp, err := c.exchange(cn, b.ID, call, header, headTimeout)
	if err != nil {
		stopCancel()
		cn.giveBack()
		cn.Close()
		return nil, err
	}
	resp.stopCancel = stopCancel
	return resp, nil
}

// exchange sends a call over a connection and reads the head of the response to it.
func (c *Conns) exchange(cn *conn, id string, call *sardinerock.Call, header http.Header, headTimeout time.Duration) (*Response, error) {
	raw, err := encode(call, header)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	n, err := cn.Write(raw)
	if err != nil && n == 0 {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	sent := err == nil
	if headTimeout > 0 {
		if err := cn.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
	}
	for range maxStrayResponses + 1 {
		cn.limit(maxHeadBytes)
		cn.inHead = true
		httpResp, err := c.readHead(cn, call.Method) //nolint:bodyclose // the body ends with the connection, which Finish closes or keeps
		cn.inHead = false
		if err != nil {
			return nil, cn.incomplete(err)
		}
		resp := &Response{Response: httpResp, ResponseInfo: c.Dialect.ReadResponse(httpResp), conns: c, serverID: id, conn: cn}
		if !sent {
			resp.Close = true
		}
		if resp.CallID == call.ID || resp.CallID == "" && resp.NotRun {
			cn.unlimit()
			return resp, cn.SetReadDeadline(time.Time{})
		}
		// This is a late second response to an earlier request. The response to this request
		// follows it, if there is one.
		cn.limit(maxStrayBytes)
		if _, err := io.Copy(io.Discard, httpResp.Body); err != nil {
			return nil, fmt.Errorf("read a response to another request: %w", cn.incomplete(err))
		}
	}
	return nil, fmt.Errorf("%w: received only responses to other requests", ErrIncomplete)
}

// readHead reads the head of a response and skips informational ones (1xx).
func (c *Conns) readHead(cn *conn, method string) (*http.Response, error) {
	// The head may begin with bytes that were read with the body of a response to another request. As many bytes as are buffered
	// can be peeked.
	buffered, _ := cn.reader.Peek(cn.reader.Buffered())
	cn.BeginHead(buffered)
	for {
		httpResp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := cn.CheckHead(httpResp); err != nil {
			return nil, err
		}
		if httpResp.StatusCode >= http.StatusOK {
			return httpResp, nil
		}
	}
}

// Framing says how the end of the body is marked.
func (r *Response) Framing() Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramingChunked
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	}
	return FramingNone
}

// Server returns the id of the backend server that sent the response.
func (r *Response) Server() string { return r.serverID }

// Read reads the body. It returns io.EOF only at an end that the framing proves. If the connection is closed
// after a body without framing, it returns ErrUnproven: a backend server that ends closes its connections,
// too. Any other error means that the body is incomplete.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		r.err = r.conn.incomplete(err)
		return n, r.err
	case r.Framing() == FramingNone:
		return n, ErrUnproven
	}
	if err := verify.Trailer(r.Response); err != nil {
		r.err = r.conn.incomplete(err)
		return n, r.err
	}
	r.complete = true
	return n, io.EOF
}

// endInsideEvent records that the body ended inside an event, and returns the error that says so.
func (r *Response) endInsideEvent() error {
	r.complete = false
	r.err = fmt.Errorf("%w: %w: %w", ErrIncomplete, ErrBrokenOff, ErrInsideEvent)
	return r.err
}

// Bounded returns a reader of the body that fails with ErrTooLarge after a number of bytes, unless the response states its size.
func (r *Response) Bounded(bytes int64) io.Reader {
	if r.Framing() == FramingLength {
		return r
	}
	return &boundedBody{Response: r, left: bytes}
}

type boundedBody struct {
	*Response
	left int64
}

// Read reads the body.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.Response.Read(p)
	if b.left -= int64(n); b.left < 0 && err == nil {
		err = b.tooLarge()
	}
	return n, err
}

// tooLarge records that the body has more bytes than it may have, and returns the error that says so.
func (r *Response) tooLarge() error {
	r.complete = false
	r.err = fmt.Errorf("%w: %w", ErrIncomplete, ErrTooLarge)
	return r.err
}

// noRoom records that there is no memory for the body, and returns the error that says so.
func (r *Response) noRoom() error {
	r.complete = false
	r.err = fmt.Errorf("%w: %w", ErrIncomplete, ErrNoRoom)
	return r.err
}

// CheckEnd returns an error that wraps ErrIncomplete and ErrBrokenOff if the connection of a response without framing, whose body
// was read to its end, was reset since. It is nil as long as nothing shows that.
func (r *Response) CheckEnd() error {
	if err := r.conn.CheckEnd(); err != nil {
		r.err = fmt.Errorf("%w: %w: %w", ErrIncomplete, ErrBrokenOff, err)
	}
	return r.err
}

// Err returns the error that ended the body before its end, or nil.
func (r *Response) Err() error { return r.err }

// SetReadDeadline sets the time by which all further reads must complete; the zero time means no limit.
func (r *Response) SetReadDeadline(t time.Time) error { return r.conn.SetReadDeadline(t) }

// release detaches the connection from the response and returns it if it can be reused.
// Otherwise it closes the connection and returns nil.
func (r *Response) release() *conn {
	running := r.stopCancel()
	small := r.conn.giveBack()
	if !running || !small || !r.complete || r.Close || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		return nil
	}
	if r.conn.SetDeadline(time.Time{}) != nil {
		r.conn.Close()
		return nil
	}
	return r.conn
}

// Finish keeps the connection for reuse if the response was read completely, and closes it otherwise.
func (r *Response) Finish() {
	cn := r.release()
	if cn == nil {
		return
	}
	idleTimeout := defaultIdleTimeout
	if r.IdleTimeout > 0 {
		idleTimeout = time.Duration(float64(r.IdleTimeout) * idleFraction)
	}
	r.conns.keepIdle(r.serverID, cn, idleTimeout)
}

func (c *Conns) keepIdle(id string, cn *conn, timeout time.Duration) {
	cn.expires = time.Now().Add(timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	c.idle[id] = append(c.idle[id], cn)
}

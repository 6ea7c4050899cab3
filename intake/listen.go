package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/budget"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// receiveBuffer is the size of the receive buffer of a connection, in bytes. Bytes that were received and not read are
	// memory of the process.
	receiveBuffer = 16 << 10
	// headMargin is added to the time that the configuration allows for a head.
	headMargin = time.Second
	// HeadTimeout is how long a client may take to send a head if the configuration doesn't say, and to send its first byte.
	HeadTimeout = 10 * time.Second
	// MaxHeadTimeout is the longest time that the configuration can allow for a head.
	MaxHeadTimeout = time.Minute
	// readAhead is how much net/http reads ahead of the end of a head, in bytes.
	readAhead = 4 << 10
	// logInterval is the least time between two log lines of a listener on clients that had to yield.
	logInterval = time.Second
	// drainInterval is the time between two checks for connections without a request in progress, and newTime how long a
	// connection may be open then until its first byte.
	drainInterval = 20 * time.Millisecond
	newTime       = 5 * time.Second
)

// Listener accepts the connections of clients to one address. Its exported fields are set before the first Accept.
type Listener struct {
	net.Listener
	// Name is the name of the clients in log lines and in metrics.
	Name   string
	Budget *budget.Budget
	// Limits returns the limits of the configuration; nil if the clients have none.
	Limits func() sardinerock.CallerLimits
	// Refused, if set, is called with connections that are closed unread.
	Refused func(net.Conn)
	Events  *event.Logger
	Metrics metrics.Registry

	mu sync.Mutex
	// counts are the clients that had to yield or were rejected since the latest log line, at loggedAt.
	counts   map[reason]int
	loggedAt time.Time
}

// reason is why a client was rejected. It is the end of the name of a metric.
type reason string

const (
	reasonConnections reason = "connections"
	reasonMemory      reason = "memory"
	reasonHead        reason = "head"
	reasonBody        reason = "body"
	reasonSlow        reason = "slow"
)

// Listen listens on a TCP address. The connections have a small receive buffer.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: setReceiveBuffer}
	return c.Listen(context.Background(), "tcp", address)
}

// setReceiveBuffer sets the receive buffer of a socket before it listens; those of its connections inherit it.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without it, the system's default applies.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &Conn{Conn: raw, listener: l, yielded: make(chan struct{}), headDeadline: now.Add(HeadTimeout)}
		if c.holder = l.Budget.Open(now, c.yield); c.holder != nil {
			return c, nil
		}
		_ = raw.Close()
		l.reject(reasonConnections)
		if l.Refused != nil {
			l.Refused(raw)
		}
	}
}

// State is to be called with the changes of the states of all connections to an http.Server.
func (l *Listener) State(c net.Conn, s http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		conn.headComplete()
	case http.StateIdle:
		conn.requestEnded()
	}
}

// Drain closes connections as soon as no request is in progress on them, until none is left or ctx ends. Unlike
// http.Server.Shutdown it has requests answered whose heads were received in part when it began. It is called after Close.
func (l *Listener) Drain(ctx context.Context) error {
	drained := await.Until(ctx, drainInterval, func() bool {
		l.Budget.CloseIdle(time.Now(), newTime)
		return l.Budget.Usage().Connections == 0
	})
	if !drained {
		return ctx.Err()
	}
	return nil
}

// limits returns the limits of the configuration.
func (l *Listener) limits() sardinerock.CallerLimits {
	if l.Limits == nil {
		return sardinerock.CallerLimits{}
	}
	return l.Limits()
}

// reject counts a client that was rejected or had to yield, and logs how many there were, at most once in logInterval.
func (l *Listener) reject(why reason) {
	metrics.GetOrRegisterCounter("intake."+l.Name+"."+string(why), l.Metrics).Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[reason]int{}
	}
	l.counts[why]++
	now := time.Now()
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	u := l.Budget.Usage()
	l.Events.Warn(event.ClientsRejected).Str("clients", l.Name).Int("connections", l.counts[reasonConnections]).Int("memory", l.counts[reasonMemory]).
		Int("head", l.counts[reasonHead]).Int("body", l.counts[reasonBody]).Int("slow", l.counts[reasonSlow]).
		Int("open", u.Connections).Int64("bytes", u.Bytes).Msg("clients were rejected because of a limit")
	l.counts, l.loggedAt = nil, now
}

// UpdateGauges updates the metrics of what the clients use.
func (l *Listener) UpdateGauges() {
	u := l.Budget.Usage()
	metrics.GetOrRegisterGauge("intake."+l.Name+".open", l.Metrics).Update(int64(u.Connections))
	metrics.GetOrRegisterGauge("intake."+l.Name+".bytes", l.Metrics).Update(u.Bytes)
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is the ConnContext of an http.Server whose handlers use this package.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	ctx = sardinerock.ConnContext(ctx, c)
	if conn, ok := c.(*Conn); ok {
		ctx = context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// fromContext returns the connection of a request, or nil if it wasn't accepted by a Listener.
func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// phase is the part of a request that a connection expects or receives.
type phase = int32

const (
	phaseHead phase = iota
	phaseBody
)

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
	holder   *budget.Holder
	phase    atomic.Int32
	// headBytes is the size of what was received of the present head, headCharge what was charged for it, and headDeadline when
	// it has to be complete; only the goroutine that reads heads and serves requests uses them.
	headBytes    int
	headCharge   int64
	headDeadline time.Time

	mu sync.Mutex
	// hasYielded is set, and yielded is closed, once the client had to yield.
	hasYielded bool
	yielded    chan struct{}
	closeOnce  sync.Once
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends what is sent to the client.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.holder.Close)
	return err
}

// yield is called when the client has to yield.
func (c *Conn) yield(r budget.Reason) {
	c.mu.Lock()
	if !c.hasYielded {
		c.hasYielded = true
		close(c.yielded)
		// The read in progress fails, and its request is rejected.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if r == budget.ForBytes {
		c.listener.reject(reasonMemory)
		return
	}
	_ = c.Conn.Close()
	if r == budget.ForConnection {
		c.listener.reject(reasonConnections)
	}
}

// SetReadDeadline implements net.Conn. The deadline of a head isn't put off, nor is the end of a client that has to yield.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasYielded {
		return nil
	}
	if c.phase.Load() == phaseHead && !c.headDeadline.IsZero() && (t.IsZero() || t.After(c.headDeadline)) {
		t = c.headDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. A client that doesn't read what is sent to it is disconnected.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err != nil && isTimeout(err) {
		c.listener.reject(reasonSlow)
		_ = c.Conn.Close()
	}
	return n, err
}

// headComplete is called when the head of a request was read.
func (c *Conn) headComplete() {
	c.holder.Begin(time.Now())
	c.phase.Store(phaseBody)
	c.headBytes, c.headDeadline = 0, time.Time{}
	_ = c.SetReadDeadline(time.Time{})
}

// requestEnded is called when a request was answered and its connection is kept.
func (c *Conn) requestEnded() {
	c.phase.Store(phaseHead)
	c.headCharge = 0
	c.holder.End(time.Now())
}

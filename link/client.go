package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/wire"
)

// Errors of an attempt at the entry's end of a link.
var (
	// ErrNotSent means that the attempt was not sent: the side did not receive it.
	ErrNotSent = errors.New("link: attempt was not sent")
	// ErrLost means that the link went down after the attempt was sent: it may have run.
	ErrLost = errors.New("link: connection lost under the attempt")
)

const (
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// Client is an entry's end of the link to one side.
type Client struct {
	// SideID and Address are the side's id and network address.
	SideID  string
	Address string
	// EntryID and Zone are sent to the side in the Hello frame.
	EntryID string
	Zone    string
	// Heartbeat returns the next heartbeat to send.
	Heartbeat func() *wire.EntryBeat
	// OnHeartbeat is called with each heartbeat of the side.
	OnHeartbeat func(*wire.SideBeat)
	// Sections returns the configuration sections that the side requests; nil sends none.
	Sections func(*wire.WantSections) *wire.Sections
	// OnDown is called each time the link goes down; timedOut means that heartbeats were not answered.
	OnDown func(timedOut bool)
	// Timing returns the timing of a new connection.
	Timing func() Timing
	// Dial opens a connection; nil means TCP.
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Events *event.Logger

	mu      sync.Mutex
	current *session
}

// session is one connection of a link.
type session struct {
	out      *outbox[*wire.EntryFrame]
	done     chan struct{}
	received atomic.Uint64
	mu       sync.Mutex
	attempts map[string]*Attempt
}

// Attempt is one attempt at a request on a link.
type Attempt struct {
	// ID is carried by all frames of the attempt.
	ID string

	session *session
	sent    atomic.Bool
	mu      sync.Mutex
	frames  []*wire.SideFrame
	err     error
	ready   chan struct{}
}

// Run connects the link and reconnects it with backoff until ctx is done.
func (c *Client) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		timedOut, err := c.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		c.Events.Warn(event.LinkDown).Str("side", c.SideID).Bool("silent", timedOut).Err(err).Msg("link down; reconnecting")
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// Up reports whether the link has a connection on which the side has answered.
func (c *Client) Up() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current != nil && c.current.received.Load() > 0
}

// Start queues an attempt for sending. The error is ErrNotSent.
func (c *Client) Start(start *wire.Start) (*Attempt, error) {
	c.mu.Lock()
	s := c.current
	c.mu.Unlock()
	if s == nil {
		return nil, ErrNotSent
	}
	a := &Attempt{ID: start.Attempt, session: s, ready: make(chan struct{}, 1)}
	s.mu.Lock()
	s.attempts[a.ID] = a
	s.mu.Unlock()
	frame := &wire.EntryFrame{Body: &wire.EntryFrame_Start{Start: start}}
	if err := s.out.put(frame); err != nil {
		s.remove(a.ID)
		return nil, ErrNotSent
	}
	return a, nil
}

// Next returns the attempt's next frame. The error is ErrNotSent or ErrLost if the link went down, or ctx's error.
func (a *Attempt) Next(ctx context.Context) (*wire.SideFrame, error) {
	for {
		a.mu.Lock()
		if len(a.frames) > 0 {
			frame := a.frames[0]
			a.frames = a.frames[1:]
			a.mu.Unlock()
			return frame, nil
		}
		err := a.err
		a.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-a.ready:
		}
	}
}

// Cancel requests the side to stop the attempt; its later frames are dropped.
func (a *Attempt) Cancel() {
	a.session.remove(a.ID)
	frame := &wire.EntryFrame{Body: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Attempt: a.ID}}}
	// If the link is closed, the side has cancelled the attempt already.
	_ = a.session.out.put(frame)
}

// push adds a frame or the final error and wakes Next.
func (a *Attempt) push(frame *wire.SideFrame, err error) {
	a.mu.Lock()
	if frame != nil {
		a.frames = append(a.frames, frame)
	}
	if err != nil && a.err == nil {
		a.err = err
	}
	a.mu.Unlock()
	select {
	case a.ready <- struct{}{}:
	default:
	}
}

func (s *session) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, id)
}

func (s *session) find(id string) *Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[id]
}

func (s *session) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// sendRecorder records that a Start frame is sent: from then on the attempt may run.
type sendRecorder struct {
	stream  wire.DRPCSide_AttachClient
	session *session
}

// Send implements sender. The attempt is marked as sent before the write, since
// the side may have received the whole frame even if the write fails.
func (r sendRecorder) Send(frame *wire.EntryFrame) error {
	if start := frame.GetStart(); start != nil {
		if a := r.session.find(start.Attempt); a != nil {
			a.sent.Store(true)
		}
	}
	return r.stream.Send(frame)
}

// connect runs one session until it fails or ctx is done; timedOut means that heartbeats were not answered.
func (c *Client) connect(ctx context.Context) (timedOut bool, err error) {
	conn, err := c.dial(ctx)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rpc := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = rpc.Close() }()
	// Closing the drpc connection may block on a write to a peer that doesn't read;
	// closing the socket first aborts that write.
	defer conn.Close()
	stream, err := wire.NewDRPCSideClient(rpc).Attach(ctx)
	if err != nil {
		return false, err
	}
	s := &session{
		out:      newOutbox[*wire.EntryFrame](),
		done:     make(chan struct{}),
		attempts: make(map[string]*Attempt),
	}
	hello := &wire.Hello{EntryId: c.EntryID, Zone: c.Zone}
	if err := s.out.put(&wire.EntryFrame{Body: &wire.EntryFrame_Hello{Hello: hello}}); err != nil {
		return false, err
	}
	c.setCurrent(s)
	defer func() { c.closeSession(s, timedOut) }()

	ended := make(chan error, 3)
	go func() {
		ended <- s.out.write(s.done, sendRecorder{stream: stream, session: s}, flusher(stream.(drpcStream)))
	}()
	go func() { ended <- c.read(stream, s) }()
	keepAliveDone := make(chan struct{})
	go func() {
		defer close(keepAliveDone)
		timedOut = c.keepAlive(ctx, s)
		if timedOut {
			ended <- errTimeout
		}
	}()
	select {
	case err = <-ended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	cancel()
	<-keepAliveDone
	return timedOut, err
}

var errTimeout = errors.New("link: no frame received within the timeout")

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, c.Address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", c.Address)
}

func (c *Client) setCurrent(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = s
}

// closeSession ends a session: attempts still queued fail with ErrNotSent, sent
// ones with ErrLost. OnDown is called before that. Otherwise the retries would be
// routed to this side again and use up their attempts on a closed link.
func (c *Client) closeSession(s *session, timedOut bool) {
	c.setCurrent(nil)
	if c.OnDown != nil {
		c.OnDown(timedOut)
	}
	s.out.close()
	close(s.done)
	s.mu.Lock()
	attempts := s.attempts
	s.attempts = make(map[string]*Attempt)
	s.mu.Unlock()
	for _, a := range attempts {
		if a.sent.Load() {
			a.push(nil, ErrLost)
		} else {
			a.push(nil, ErrNotSent)
		}
	}
}

func (c *Client) read(stream wire.DRPCSide_AttachClient, s *session) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		if s.received.Add(1) == 1 {
			c.Events.Info(event.LinkUp).Str("side", c.SideID).Msg("link up")
		}
		c.dispatch(s, frame)
	}
}

func (c *Client) dispatch(s *session, frame *wire.SideFrame) {
	switch body := frame.Body.(type) {
	case *wire.SideFrame_Beat:
		c.OnHeartbeat(body.Beat)
	case *wire.SideFrame_Want:
		sections := c.Sections(body.Want)
		if sections != nil {
			_ = s.out.put(&wire.EntryFrame{Body: &wire.EntryFrame_Sections{Sections: sections}})
		}
	case *wire.SideFrame_Tokens:
		c.deliver(s, body.Tokens.Attempt, frame)
	case *wire.SideFrame_End:
		c.deliver(s, body.End.Attempt, frame)
		s.remove(body.End.Attempt)
	}
}

// deliver passes a frame to its attempt. A frame of an attempt that was cancelled is
// dropped: assigned to another attempt, it would put one caller's tokens into another
// caller's answer.
func (c *Client) deliver(s *session, id string, frame *wire.SideFrame) {
	a := s.find(id)
	if a == nil {
		c.Events.Info(event.FrameDropped).Str("side", c.SideID).Str("attempt", id).Msg("frame of a cancelled or unknown attempt dropped")
		return
	}
	a.push(frame, nil)
}

// keepAlive sends heartbeats and returns true if they are not answered in time.
//
// Timeouts are counted in ticks, not by the clock: a process that was paused for a
// minute would otherwise time out all its links when it continues, although the
// answers are in its socket buffers.
func (c *Client) keepAlive(ctx context.Context, s *session) bool {
	timing := c.Timing()
	ticker := time.NewTicker(timing.Tick)
	defer ticker.Stop()
	c.sendHeartbeat(s)
	received := s.received.Load()
	sinceHeartbeat, idle := 0, 0
	// unanswered counts the ticks since the oldest heartbeat after which no frame was received.
	awaiting, unanswered := true, 0
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		sinceHeartbeat++
		idle++
		if now := s.received.Load(); now != received {
			received = now
			idle = 0
			awaiting, unanswered = false, 0
		}
		if awaiting {
			unanswered++
		}
		if unanswered > timing.TimeoutTicks {
			c.Events.Warn(event.LinkSilent).Str("side", c.SideID).Msg("heartbeats not answered in time; reconnecting")
			return true
		}
		// Any frame, also one with tokens, counts as an answer.
		probe := !awaiting && idle >= timing.ProbeTicks && s.inFlight() > 0
		if probe || sinceHeartbeat >= timing.HeartbeatTicks {
			c.sendHeartbeat(s)
			sinceHeartbeat = 0
			awaiting = true
		}
	}
}

func (c *Client) sendHeartbeat(s *session) {
	_ = s.out.put(&wire.EntryFrame{Body: &wire.EntryFrame_Beat{Beat: c.Heartbeat()}})
}

// SendHeartbeat sends a heartbeat now, for an update that should not wait for the next regular one.
func (c *Client) SendHeartbeat() {
	c.mu.Lock()
	s := c.current
	c.mu.Unlock()
	if s != nil {
		c.sendHeartbeat(s)
	}
}

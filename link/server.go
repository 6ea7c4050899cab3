package link

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sardinerock/sardinerock/wire"
)

// Session is a side's end of the link to one entry.
type Session struct {
	// EntryID and Zone are those of the entry's Hello frame.
	EntryID string
	Zone    string

	out      *outbox[*wire.SideFrame]
	received atomic.Uint64
}

// Send queues a frame for the entry; it is dropped if the link is down.
func (s *Session) Send(frame *wire.SideFrame) {
	_ = s.out.put(frame)
}

// SendHeartbeat queues a heartbeat.
func (s *Session) SendHeartbeat(heartbeat *wire.SideBeat) {
	s.Send(&wire.SideFrame{Body: &wire.SideFrame_Beat{Beat: heartbeat}})
}

// SendEnd queues the last frame of an attempt.
func (s *Session) SendEnd(end *wire.End) {
	s.Send(&wire.SideFrame{Body: &wire.SideFrame_End{End: end}})
}

// Handler handles the frames of entries. Calls for one session are sequential.
type Handler interface {
	Opened(s *Session)
	Heartbeat(s *Session, heartbeat *wire.EntryBeat)
	Start(s *Session, start *wire.Start)
	Cancel(s *Session, attempt string)
	Sections(s *Session, sections *wire.Sections)
	// Closed is called once the link is down; nothing can be sent on it any more.
	Closed(s *Session)
}

// Server accepts links from entries.
type Server struct {
	Handler Handler
	// IdleTimeout is the time without a frame from an entry after which its link is closed.
	IdleTimeout time.Duration
}

// Serve accepts links on l until ctx is done.
func (v *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterSide(mux, v); err != nil {
		return err
	}
	return drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).Serve(ctx, l)
}

// Attach implements wire.DRPCSideServer: it runs one session.
func (v *Server) Attach(stream wire.DRPCSide_AttachStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	s := &Session{EntryID: hello.GetEntryId(), Zone: hello.GetZone(), out: newOutbox[*wire.SideFrame]()}
	v.Handler.Opened(s)
	defer v.Handler.Closed(s)
	defer s.out.close()

	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	ended := make(chan error, 3)
	go func() { ended <- s.out.write(ctx.Done(), stream, flusher(stream.(drpcStream))) }()
	go func() { ended <- v.read(stream, s) }()
	go func() { ended <- v.checkIdle(ctx, s) }()
	select {
	case err = <-ended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	return err
}

func (v *Server) read(stream wire.DRPCSide_AttachStream, s *Session) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		s.received.Add(1)
		switch body := frame.Body.(type) {
		case *wire.EntryFrame_Beat:
			v.Handler.Heartbeat(s, body.Beat)
		case *wire.EntryFrame_Start:
			v.Handler.Start(s, body.Start)
		case *wire.EntryFrame_Cancel:
			v.Handler.Cancel(s, body.Cancel.Attempt)
		case *wire.EntryFrame_Sections:
			v.Handler.Sections(s, body.Sections)
		}
	}
}

// idleTicks is the number of ticks in IdleTimeout. If the side itself was paused, the pause counts as one tick only.
const idleTicks = 10

// checkIdle returns errTimeout once no frame was received for IdleTimeout.
func (v *Server) checkIdle(ctx context.Context, s *Session) error {
	ticker := time.NewTicker(v.IdleTimeout / idleTicks)
	defer ticker.Stop()
	received := s.received.Load()
	idle := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		idle++
		if now := s.received.Load(); now != received {
			received = now
			idle = 0
		}
		if idle > idleTicks {
			return errTimeout
		}
	}
}

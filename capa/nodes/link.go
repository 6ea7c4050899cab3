package nodes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/sample"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/wire"
)

// answering is a side that answers heartbeats, and attempts with tokens at a fixed rate.
type answering struct {
	gap    time.Duration
	tokens int
	beats  atomic.Int64
	// ended stops the answers, which would else go on into the next measurement.
	ended chan struct{}
}

// Opened implements link.Handler.
func (a *answering) Opened(*link.Session) {}

// Closed implements link.Handler.
func (a *answering) Closed(*link.Session) {}

// Cancel implements link.Handler.
func (a *answering) Cancel(*link.Session, string) {}

// Sections implements link.Handler.
func (a *answering) Sections(*link.Session, *wire.Sections) {}

// Beat implements link.Handler.
func (a *answering) Beat(s *link.Session, beat *wire.EntryBeat) {
	a.beats.Add(1)
	s.SendBeat(&wire.SideBeat{
		Sequence: beat.Sequence, Echo: beat.Sequence, ConfigVersion: beat.ConfigVersion,
		BackendUp: true, Slots: 24, OnlineRunning: 10, BatchRunning: 12, BatchCredit: 2, FirstTokenMs: 400, TokenGapUs: 30000,
		BackendGeneration: 1, LoadedSame: true, // What is loaded travels only when it has changed.
	})
}

// Start implements link.Handler.
func (a *answering) Start(s *link.Session, start *wire.Start) {
	go func() {
		ticker := time.NewTicker(a.gap)
		defer ticker.Stop()
		for i := range a.tokens {
			select {
			case <-ticker.C:
			case <-a.ended:
				return
			}
			token := &wire.Token{Index: uint32(i), Text: " word"}
			s.Send(&wire.SideFrame{Body: &wire.SideFrame_Tokens{Tokens: &wire.Tokens{Attempt: start.Attempt, Tokens: []*wire.Token{token}}}})
		}
		s.SendEnd(&wire.End{Attempt: start.Attempt, FinishReason: "stop"})
	}()
}

// linked is a number of links over loopback, both ends in this process.
type linked struct {
	side    *answering
	clients []*link.Client
	bytes   atomic.Int64
	stop    func()
}

func startLinks(n int, side *answering, timing link.Timing) (*linked, error) {
	ctx, cancel := context.WithCancel(context.Background())
	side.ended = make(chan struct{})
	l := &linked{side: side}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	var running sync.WaitGroup
	server := &link.Server{Handler: side, SilentAfter: time.Minute}
	running.Go(func() { _ = server.Serve(ctx, listener) })
	for i := range n {
		c := &link.Client{
			SideID: fmt.Sprint("side", i), Address: listener.Addr().String(), EntryID: "entry-0001", Zone: "zone-a",
			Beat: func() *wire.EntryBeat {
				return &wire.EntryBeat{Sequence: 1000, ConfigVersion: 38000, SideDigest: 1 << 60}
			},
			OnBeat:   func(*wire.SideBeat) {},
			Sections: func(*wire.WantSections) *wire.Sections { return nil },
			Timing:   func() link.Timing { return timing },
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				var d net.Dialer
				conn, err := d.DialContext(ctx, "tcp", address)
				return sample.Count(conn, &l.bytes), err
			},
		}
		l.clients = append(l.clients, c)
		running.Go(func() { c.Run(ctx) })
	}
	l.stop = func() {
		cancel()
		close(side.ended)
		_ = listener.Close()
		running.Wait()
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, c := range l.clients {
		for !c.Up() {
			if time.Now().After(deadline) {
				l.stop()
				return nil, errors.New("links did not come up")
			}
			time.Sleep(time.Millisecond)
		}
	}
	return l, nil
}

// beatTiming is ten heartbeats a second on each link, so that a short window has many.
var beatTiming = link.Timing{Tick: 100 * time.Millisecond, IdleTicks: 1, ActiveTicks: 1, SilentTicks: 50}

// Links gives what heartbeats and idle links cost.
func Links(r *meter.Report) error {
	const window = 3 * time.Second
	var bytes, cpuTime, mem []meter.Point
	for _, n := range []int{15, 30, 60, 120} {
		before := meter.Memory()
		l, err := startLinks(n, &answering{}, beatTiming)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		beats, sent, used := l.side.beats.Load(), l.bytes.Load(), meter.CPU()
		time.Sleep(window)
		beats, sent, used = l.side.beats.Load()-beats, l.bytes.Load()-sent, meter.CPU()-used
		size := float64(n)
		bytes = append(bytes, meter.At(float64(beats), float64(sent)))
		cpuTime = append(cpuTime, meter.At(float64(beats), float64(used.Microseconds())))
		mem = append(mem, meter.At(size, meter.Memory()-before))
		l.stop()
	}
	r.Slope("heartbeat and answer: payload bytes, both directions", "B in 3 s", "heartbeat pair", bytes...)
	r.Slope("heartbeat and answer: CPU, both ends", "us in 3 s", "heartbeat pair", cpuTime...)
	r.Slope("idle link: memory, both ends", "B", "link", mem...)
	return nil
}

// Tokens gives what passing tokens from side to entry costs, at 20 tokens a second and stream.
func Tokens(r *meter.Report) error {
	var cpuTime, bytes, mem []meter.Point
	const window = 3 * time.Second
	for _, streams := range []int{20, 80, 240} {
		const links = 20
		idle := link.Timing{Tick: 100 * time.Millisecond, IdleTicks: 24, ActiveTicks: 24, SilentTicks: 50}
		l, err := startLinks(links, &answering{gap: 50 * time.Millisecond, tokens: 10000}, idle)
		if err != nil {
			return err
		}
		before := meter.Memory()
		ctx, cancel := context.WithCancel(context.Background())
		var tokens atomic.Int64
		var reading sync.WaitGroup
		for i := range streams {
			a, err := l.clients[i%links].Start(&wire.Start{Attempt: fmt.Sprint("attempt-", i), RequestId: "r", Caller: "caller", Path: "/v1/chat/completions", Body: make([]byte, 2000)})
			if err != nil {
				cancel()
				return err
			}
			reading.Go(func() {
				for {
					frame, err := a.Next(ctx)
					if err != nil {
						return
					}
					tokens.Add(int64(len(frame.GetTokens().GetTokens())))
				}
			})
		}
		time.Sleep(time.Second)
		got, sent, used := tokens.Load(), l.bytes.Load(), meter.CPU()
		time.Sleep(window)
		got, sent, used = tokens.Load()-got, l.bytes.Load()-sent, meter.CPU()-used
		bytes = append(bytes, meter.At(float64(got), float64(sent)))
		cpuTime = append(cpuTime, meter.At(float64(got), float64(used.Microseconds())))
		mem = append(mem, meter.At(float64(streams), meter.Memory()-before))
		cancel()
		l.stop()
		reading.Wait()
	}
	r.Slope("token from side to entry: payload bytes", "B in 3 s", "token", bytes...)
	r.Slope("token from side to entry: CPU, both ends, without the HTTP side", "us in 3 s", "token", cpuTime...)
	r.Slope("attempt in flight: memory on the link, both ends", "B", "attempt", mem...)
	return nil
}

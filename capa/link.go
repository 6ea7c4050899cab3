package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/wire"
)

// counted is a connection whose payload bytes in both directions are counted.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// answering is a side that answers heartbeats, and attempts with tokens at a fixed rate.
type answering struct {
	gap    time.Duration
	tokens int
	beats  atomic.Int64
}

func (a *answering) Opened(*link.Session)                   {}
func (a *answering) Closed(*link.Session)                   {}
func (a *answering) Cancel(*link.Session, string)           {}
func (a *answering) Sections(*link.Session, *wire.Sections) {}

func (a *answering) Beat(s *link.Session, beat *wire.EntryBeat) {
	a.beats.Add(1)
	s.SendBeat(&wire.SideBeat{
		Sequence: beat.Sequence, Echo: beat.Sequence, ConfigVersion: beat.ConfigVersion, ConfigDigest: beat.ConfigDigest,
		BackendUp: true, Slots: 24, OnlineRunning: 10, BatchRunning: 12, BatchCredit: 2, FirstTokenMs: 400, TokenGapUs: 30000,
		BackendGeneration: 1, Loaded: []*wire.Loaded{{Model: "draft-large", Version: "2026-11"}, {Model: "draft-large", Version: "2026-11", Adapter: "panels"}},
	})
}

func (a *answering) Start(s *link.Session, start *wire.Start) {
	go func() {
		ticker := time.NewTicker(a.gap)
		defer ticker.Stop()
		for i := range a.tokens {
			<-ticker.C
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
				return &wire.EntryBeat{Sequence: 1000, ConfigVersion: 38000, ConfigDigest: fmt.Sprintf("%064x", i)}
			},
			OnBeat:   func(*wire.SideBeat) {},
			Sections: func(*wire.WantSections) *wire.Sections { return nil },
			Timing:   func() link.Timing { return timing },
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				var d net.Dialer
				conn, err := d.DialContext(ctx, "tcp", address)
				return counted{conn, &l.bytes}, err
			},
		}
		l.clients = append(l.clients, c)
		running.Go(func() { c.Run(ctx) })
	}
	l.stop = func() {
		cancel()
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

// measureLinks gives what heartbeats and idle links cost.
func measureLinks(r *report) error {
	const window = 3 * time.Second
	var bytes, cpuTime, mem []point
	for _, n := range []int{15, 30, 60, 120} {
		before := memory()
		l, err := startLinks(n, &answering{}, beatTiming)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		beats, sent, used := l.side.beats.Load(), l.bytes.Load(), cpu()
		time.Sleep(window)
		beats, sent, used = l.side.beats.Load()-beats, l.bytes.Load()-sent, cpu()-used
		size := float64(n)
		bytes = append(bytes, point{float64(beats), float64(sent)})
		cpuTime = append(cpuTime, point{float64(beats), float64(used.Microseconds())})
		mem = append(mem, point{size, memory() - before})
		l.stop()
	}
	r.slope("heartbeat and answer: payload bytes, both directions", "B in 3 s", "heartbeat pair", bytes...)
	r.slope("heartbeat and answer: CPU, both ends", "us in 3 s", "heartbeat pair", cpuTime...)
	r.slope("idle link: memory, both ends", "B", "link", mem...)
	return nil
}

// measureTokens gives what passing tokens from side to entry costs, at 20 tokens a second and stream.
func measureTokens(r *report) error {
	var cpuTime, bytes, mem []point
	const window = 3 * time.Second
	for _, streams := range []int{20, 80, 240} {
		const links = 20
		idle := link.Timing{Tick: 100 * time.Millisecond, IdleTicks: 24, ActiveTicks: 24, SilentTicks: 50}
		l, err := startLinks(links, &answering{gap: 50 * time.Millisecond, tokens: 10000}, idle)
		if err != nil {
			return err
		}
		before := memory()
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
		got, sent, used := tokens.Load(), l.bytes.Load(), cpu()
		time.Sleep(window)
		got, sent, used = tokens.Load()-got, l.bytes.Load()-sent, cpu()-used
		bytes = append(bytes, point{float64(got), float64(sent)})
		cpuTime = append(cpuTime, point{float64(got), float64(used.Microseconds())})
		mem = append(mem, point{float64(streams), memory() - before})
		cancel()
		l.stop()
		reading.Wait()
	}
	r.slope("token from side to entry: payload bytes", "B in 3 s", "token", bytes...)
	r.slope("token from side to entry: CPU, both ends, without the HTTP side", "us in 3 s", "token", cpuTime...)
	r.slope("attempt in flight: memory on the link, both ends", "B", "attempt", mem...)
	return nil
}

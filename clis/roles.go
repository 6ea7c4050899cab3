package clis

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/phuslu/log"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/entry"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/remote"
	"github.com/sardinerock/sardinerock/side"
)

func (p *Program) addRoles() {
	e := &conf.Entry{}
	p.add(&p.parser.Subcommand, "entry", "run an entry: takes callers' requests and jobs", e,
		func(ctx context.Context) error { return p.runEntry(ctx, e) })
	s := &conf.Side{}
	p.add(&p.parser.Subcommand, "side", "run a side: the gate beside one backend server", s,
		func(ctx context.Context) error { return p.runSide(ctx, s) })
}

// logQueue is how many lines may wait for whoever reads them.
const logQueue = 16 << 10

// newLogger writes lines in the background. Written in place, a reader of the
// log that stops would stop the process with it: each routing decision writes
// one. Lines that find the queue full are dropped; stop writes the rest.
func newLogger(w io.Writer, level, process string) (events *event.Logger, stop func()) {
	writer := &logWriter{queue: &log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: logQueue, DiscardOnFull: true}}
	events = &event.Logger{
		Process: process,
		Sink:    &log.Logger{Level: log.ParseLevel(level), Writer: writer},
	}
	return events, writer.stop
}

// logWriter drops lines that come after its stop. The queue panics on them, and
// a goroutine that ends a moment after the process's own end still writes one:
// the process would end with code 2 after a graceful stop.
type logWriter struct {
	mu      sync.RWMutex
	queue   *log.AsyncWriter
	stopped bool
}

// WriteEntry implements log.Writer.
func (w *logWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.stopped {
		return 0, nil
	}
	return w.queue.WriteEntry(e)
}

// stop writes what is queued.
func (w *logWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	// Nobody is left to be told that the last lines could not be written.
	_ = w.queue.Close()
}

func listen(flag, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("--%s: %w", flag, err)
	}
	return l, nil
}

func (p *Program) runEntry(ctx context.Context, s *conf.Entry) error {
	callers, err := listen("caller-address", s.CallerAddress)
	if err != nil {
		return err
	}
	peers, err := listen("peer-address", s.PeerAddress)
	if err != nil {
		return err
	}
	events, stop := newLogger(p.Err, s.LogLevel, s.ID)
	defer stop()
	e := &entry.Entry{
		ID:              s.ID,
		Region:          s.Region,
		Zone:            s.Zone,
		CallerListener:  callers,
		PeerListener:    peers,
		Log:             &remote.Log{Sender: remote.Sender{URL: s.LogURL}},
		Instances:       &remote.Instances{Sender: remote.Sender{URL: s.InstancesURL}},
		Shards:          s.Shards,
		Seed:            s.Seed,
		Signers:         s.Keys,
		SignOffsNeeded:  s.SignOffsNeeded,
		Policy:          s.Policy,
		Events:          events,
		ShutdownTimeout: s.ShutdownTimeout,
		AppendBudget:    s.AppendBudget,
	}
	return e.Run(ctx)
}

func (p *Program) runSide(ctx context.Context, s *conf.Side) error {
	l, err := listen("address", s.Address)
	if err != nil {
		return err
	}
	events, stop := newLogger(p.Err, s.LogLevel, s.ID)
	defer stop()
	r := &side.Side{
		ID:              s.ID,
		Region:          s.Region,
		Zone:            s.Zone,
		Listener:        l,
		Service:         s.ServiceName,
		Instances:       instances(s.InstancesURL),
		Signers:         s.Keys,
		SignOffsNeeded:  s.SignOffsNeeded,
		Policy:          s.Policy,
		Events:          events,
		ShutdownTimeout: s.ShutdownTimeout,
	}
	if s.ServiceURL != "" {
		r.Plain = &remote.Service{Sender: remote.Sender{URL: s.ServiceURL}}
	} else {
		r.Engine = &remote.Engine{Sender: remote.Sender{URL: s.EngineURL}}
	}
	return r.Run(ctx)
}

func instances(url string) sardinerock.InstanceList {
	if url == "" {
		return nil
	}
	return &remote.Instances{Sender: remote.Sender{URL: url}}
}

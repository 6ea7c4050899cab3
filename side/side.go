package side

import (
	"context"
	"crypto/ed25519"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/retry"
	"github.com/sardinerock/sardinerock/ticker"
)

// Defaults for fields that are zero.
const (
	DefaultShutdownTimeout = 30 * time.Second
	// DefaultFirstTokenTimeout is three times the longest wait for a first token that the service targets allow.
	DefaultFirstTokenTimeout = 3 * time.Second
	// DefaultTokenTimeout, for each later token, is 40 times the usual gap between tokens.
	DefaultTokenTimeout = 2 * time.Second
	// DefaultIdleTimeout is the longest time without a frame from an entry; in a large fleet heartbeats come every 2.4 s.
	DefaultIdleTimeout = 8 * time.Second

	gateInterval    = 20 * time.Millisecond
	probeInterval   = 500 * time.Millisecond
	drainFlushDelay = 200 * time.Millisecond
)

// Side is the process beside one backend server.
type Side struct {
	// ID is the instance's id, Region and Zone its location.
	ID     string
	Region string
	Zone   string
	// Listener accepts links from entries.
	Listener net.Listener
	// Service names the plain service beside this side; empty beside a model engine.
	Service string
	// Engine or Plain is the backend server.
	Engine sardinerock.Engine
	Plain  sardinerock.PlainService
	// Instances is the list by which models are placed; if nil, every model of the bundle is loaded here.
	Instances sardinerock.InstanceList
	// Signers holds the public keys of accepted sign-offs, by name; SignOffsNeeded is how many a bundle needs.
	Signers        map[string]ed25519.PublicKey
	SignOffsNeeded int
	// StoreBytesPerSecond is the weight store's rate for the whole fleet; 0 doesn't spread loads over time.
	StoreBytesPerSecond int64
	// Policy is empty or PolicyFifo.
	Policy string
	Events *event.Logger
	// ShutdownTimeout limits how long a shutdown waits for running requests.
	ShutdownTimeout time.Duration
	// FirstTokenTimeout limits the wait for the first token, TokenTimeout that for each later one.
	FirstTokenTimeout time.Duration
	TokenTimeout      time.Duration
	// IdleTimeout is the time without a frame from an entry after which its link is closed.
	IdleTimeout time.Duration

	mu       sync.Mutex
	gate     sardinerock.Gate
	suspects retry.Suspects
	// sessions maps each link to the loaded models that were last sent on it.
	sessions map[*link.Session][]sardinerock.LoadedModel
	attempts map[string]*attempt
	health   health
	replica  bundle.Replica
	leaving  bool
	running  sync.WaitGroup
	ctx      context.Context
}

// Run serves until ctx is done, then waits for running requests and returns. The error
// is that of a listener that failed.
func (s *Side) Run(ctx context.Context) error {
	s.prepare()
	// Requests outlive ctx, so that a shutdown lets them finish.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	s.ctx = work

	server := &link.Server{Handler: s, IdleTimeout: s.IdleTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(work, s.Listener) }()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.gateLoop, s.probeLoop, s.cacheLoop, s.placementLoop} {
		loops.Go(func() { loop(work) })
	}
	s.Events.Info(event.Started).Str("role", string(sardinerock.RoleSide)).Str("zone", s.Zone).
		Str("address", s.Listener.Addr().String()).Msg("side started")

	var err error
	select {
	case err = <-served:
		err = errors.Join(errors.New("side: stopped serving without a shutdown request"), err)
	case <-ctx.Done():
		s.drain()
	}
	stopWork()
	loops.Wait()
	s.Events.Info(event.Stopped).Msg("side stopped")
	return err
}

func (s *Side) prepare() {
	setDefault(&s.ShutdownTimeout, DefaultShutdownTimeout)
	setDefault(&s.FirstTokenTimeout, DefaultFirstTokenTimeout)
	setDefault(&s.TokenTimeout, DefaultTokenTimeout)
	setDefault(&s.IdleTimeout, DefaultIdleTimeout)
	s.gate = newGate(s.Policy)
	s.sessions = make(map[*link.Session][]sardinerock.LoadedModel)
	s.attempts = make(map[string]*attempt)
	s.replica.Signers = s.Signers
	s.replica.SignOffsNeeded = s.SignOffsNeeded
	s.replica.Events = s.Events
	s.health.up = s.Engine == nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// drain notifies the entries that the side is leaving, returns queued requests and
// all batch work to them, and waits for running online requests.
func (s *Side) drain() {
	s.Events.Info(event.Stopping).Msg("side is shutting down")
	s.mu.Lock()
	s.leaving = true
	s.apply(s.gate.Drain(time.Now()))
	s.sendHeartbeats()
	s.mu.Unlock()

	finished := make(chan struct{})
	go func() {
		s.running.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(s.ShutdownTimeout):
		s.Events.Error(event.Failed).Msg("shutdown timed out; stopping with requests still running")
	}
	// Give the links time to send the frames that are still queued.
	time.Sleep(drainFlushDelay)
}

func (s *Side) gateLoop(ctx context.Context) {
	ticker.Every(ctx, gateInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(s.gate.Tick(time.Now()))
	})
}

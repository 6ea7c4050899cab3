package entry

import (
	"context"
	"crypto/ed25519"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/config"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/httpd"
	"github.com/sardinerock/sardinerock/jobs"
	"github.com/sardinerock/sardinerock/member"
	"github.com/sardinerock/sardinerock/peers"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/retry"
	"github.com/sardinerock/sardinerock/sides"
)

// Defaults for fields that are zero.
const (
	DefaultShards          = 16
	DefaultShutdownTimeout = 30 * time.Second
	// DefaultMaxLinks fits 11,000 sides, of which each is linked to 2 of 370 entries: about 60 links per entry.
	DefaultMaxLinks = 60
)

// Entry is one entry process.
type Entry struct {
	// ID is the instance's id, Region and Zone its location.
	ID     string
	Region string
	Zone   string
	// CallerListener accepts connections of callers and operators, PeerListener those of other entries.
	CallerListener net.Listener
	PeerListener   net.Listener
	// Log is the platform's log, Instances its list of instances.
	Log       sardinerock.Log
	Instances sardinerock.InstanceList
	// Shards is the number of job shards; it must be the same in every entry.
	Shards int
	// MaxLinks limits the number of sides that this entry keeps links to.
	MaxLinks int
	// Seed seeds the random choices of routing, so that a run can be repeated.
	Seed uint64
	// Signers holds the public keys of accepted sign-offs, by name; SignOffsNeeded is how many a bundle needs.
	Signers        map[string]ed25519.PublicKey
	SignOffsNeeded int
	// Policy is empty or "fifo", the baseline; an entry has no use for it, only sides apply it.
	Policy string
	Events *event.Logger
	// ShutdownTimeout limits how long a shutdown waits for running requests.
	ShutdownTimeout time.Duration
	// AppendBudget is the number of log appends per second that the whole fleet may make.
	AppendBudget float64

	configManager *config.Manager
	manager       *jobs.Manager
	handler       *httpd.Server
	tracker       *member.Tracker
	mesh          *peers.Mesh
	metrics       metrics.Registry
	callers       callerCache
	sides         *sides.Sides

	mu      sync.Mutex
	budget  retry.Budget
	limiter quota.Limiter
	leaving bool
}

// Run serves until ctx is done, then waits for running requests and returns. The error
// is that of a listener that failed.
func (e *Entry) Run(ctx context.Context) error {
	e.prepare()
	// Running requests outlive ctx, so that a shutdown lets them finish.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	jobsCtx, stopJobs := context.WithCancel(work)
	defer stopJobs()

	server := &http.Server{Handler: e.handler, ReadHeaderTimeout: 10 * time.Second, ConnContext: sardinerock.ConnContext}
	failed := make(chan error, 3)
	go func() { failed <- server.Serve(e.CallerListener) }()
	go func() { failed <- e.mesh.Run(work) }()
	var loops sync.WaitGroup
	loops.Go(func() { _ = e.configManager.Run(work) })
	loops.Go(func() { _ = e.tracker.Run(work) })
	loops.Go(func() { e.sides.Run(work) })
	loops.Go(func() { e.usageLoop(work) })
	var jobsDone sync.WaitGroup
	jobsDone.Go(func() { _ = e.manager.Run(jobsCtx) })
	e.Events.Info(event.Started).Str("role", string(sardinerock.RoleEntry)).Str("zone", e.Zone).
		Str("address", e.CallerListener.Addr().String()).Msg("entry started")

	var err error
	select {
	case err = <-failed:
		err = errors.Join(errors.New("entry: stopped serving without a shutdown request"), err)
	case <-ctx.Done():
		e.drain(server, stopJobs, &jobsDone)
	}
	stopJobs()
	jobsDone.Wait()
	stopWork()
	loops.Wait()
	e.Events.Info(event.Stopped).Msg("entry stopped")
	return err
}

func (e *Entry) prepare() {
	if e.Shards == 0 {
		e.Shards = DefaultShards
	}
	if e.MaxLinks == 0 {
		e.MaxLinks = DefaultMaxLinks
	}
	if e.ShutdownTimeout == 0 {
		e.ShutdownTimeout = DefaultShutdownTimeout
	}
	e.metrics = metrics.NewRegistry()
	e.configManager = &config.Manager{
		Log:            e.Log,
		Process:        e.ID,
		Signers:        e.Signers,
		SignOffsNeeded: e.SignOffsNeeded,
		Events:         e.Events,
		Peers:          func(ctx context.Context) []config.Offer { return e.mesh.Offers(ctx) },
	}
	e.tracker = &member.Tracker{Self: e.self(), List: e.Instances, Events: e.Events}
	e.mesh = &peers.Mesh{
		EntryID:  e.ID,
		Listener: e.PeerListener,
		Tracker:  e.tracker,
		Report:   e.report,
		Offer:    e.configManager.Offer,
	}
	e.sides = &sides.Sides{
		EntryID:       e.ID,
		Zone:          e.Zone,
		MaxLinks:      e.MaxLinks,
		Seed:          e.Seed,
		Tracker:       e.tracker,
		ConfigManager: e.configManager,
		Leaving:       e.isLeaving,
		Events:        e.Events,
	}
	e.sides.Prepare()
	e.manager = &jobs.Manager{
		Log:     e.Log,
		Runner:  e,
		Config:  e.configManager,
		EntryID: e.ID,
		Shards:  e.Shards,
		Live:    e.liveEntries,
		Events:  e.Events,

		AppendsPerSecond: e.AppendBudget,
	}
	e.handler = &httpd.Server{
		Online:    e,
		Jobs:      e.manager,
		Files:     e.manager,
		Publisher: e.configManager,
		Status:    e.status,
		Ready:     e.ready,
		Events:    e.Events,
		Metrics:   e.metrics,
		Clock:     time.Now,
	}
}

// ready returns the reason why this entry should receive no requests, or nil if it should.
func (e *Entry) ready() error {
	switch {
	case e.isLeaving():
		return errors.New("the entry is shutting down")
	case e.configManager.Current() == nil:
		return errors.New("no configuration is in force yet")
	default:
		return nil
	}
}

func (e *Entry) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// notReadyDelay is how long an entry still answers during shutdown before it
// closes its listener, so that the load balancer sees that it is not ready.
const notReadyDelay = 500 * time.Millisecond

// drain releases the job shards to other entries, then waits for running requests.
func (e *Entry) drain(server *http.Server, stopJobs func(), jobsDone *sync.WaitGroup) {
	e.Events.Info(event.Stopping).Msg("entry is shutting down")
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	time.Sleep(notReadyDelay)
	stopJobs()
	ctx, cancel := context.WithTimeout(context.Background(), e.ShutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		e.Events.Error(event.Failed).Err(err).Msg("shutdown did not finish; closing connections with requests still running")
		_ = server.Close()
	}
	jobsDone.Wait()
}

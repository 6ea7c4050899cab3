package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/record"
	"github.com/sardinerock/sardinerock/reject"
	"github.com/sardinerock/sardinerock/retain"
	"github.com/sardinerock/sardinerock/shards"
	"github.com/sardinerock/sardinerock/stream"
)

// Defaults of Manager's fields.
const (
	defaultShards           = 16
	defaultAppendsPerSecond = 300
	defaultRetention        = 24 * time.Hour
	defaultMaxUnrecorded    = 4096
	defaultItemTimeout      = 10 * time.Minute
	defaultIdleFollow       = time.Minute
	defaultChunkBytes       = 256 << 10
	defaultCheckpointEvery  = 10 * time.Minute

	// reconcileInterval is the interval at which ownership, checkpoints and buffered results are checked.
	reconcileInterval = 50 * time.Millisecond
)

// Manager accepts batch jobs at one entry and runs items of the shards that this entry owns. The exported
// fields are set before first use.
type Manager struct {
	// Log is the platform's log, Runner runs items in the fleet's idle slots, Config returns the bundle in force.
	Log    sardinerock.Log
	Runner sardinerock.BatchRunner
	Config sardinerock.ConfigSource
	// EntryID is the id of this entry, as in Live.
	EntryID string
	// Shards is the number of shards of the whole fleet, the same at all entries; 0 means 16.
	Shards int
	// Live returns the ids of the entries that are considered live, including this one; nil means only this one.
	Live   func() []string
	Events *event.Logger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// AppendsPerSecond is the whole fleet's limit on appends for batch jobs; 0 means 300.
	AppendsPerSecond float64
	// Retention is the minimum time for which the log keeps records; 0 means 24 h.
	Retention time.Duration
	// CheckpointEvery is the interval at which the owner of a shard with new records writes a checkpoint; 0 means
	// 10 min, or an eighth of Retention if that is shorter.
	CheckpointEvery time.Duration
	// MaxUnrecorded bounds the results of this entry that are not in the log yet; 0 means 4096.
	MaxUnrecorded int
	// ItemTimeout bounds one attempt to run an item; 0 means 10 min.
	ItemTimeout time.Duration
	// IdleFollow is how long a shard of another entry is followed after the last call that needed it; 0 means 1 min.
	IdleFollow time.Duration
	// ChunkBytes is the size of the items at which a chunk is appended as one record; 0 means 256 KiB.
	ChunkBytes int

	once   sync.Once
	shared *shards.Shared

	// mu guards processors and stopped. It is locked before a processor's own mutex.
	mu         sync.Mutex
	processors map[int]*processor
	stopped    bool

	ready  atomic.Bool
	outage bool
}

// processor is a followed shard with the number of calls that use it, which Manager.mu guards.
type processor struct {
	*shards.Processor
	m        *Manager
	users    int
	lastUsed time.Time
}

func (m *Manager) setUp() {
	m.once.Do(func() {
		setDefault(&m.Shards, defaultShards)
		setDefault(&m.AppendsPerSecond, defaultAppendsPerSecond)
		setDefault(&m.Retention, defaultRetention)
		setDefault(&m.CheckpointEvery, min(defaultCheckpointEvery, m.Retention/retain.CheckpointsPerRetention))
		setDefault(&m.MaxUnrecorded, defaultMaxUnrecorded)
		setDefault(&m.ItemTimeout, defaultItemTimeout)
		setDefault(&m.IdleFollow, defaultIdleFollow)
		setDefault(&m.ChunkBytes, defaultChunkBytes)
		if m.Now == nil {
			m.Now = time.Now
		}
		if m.Live == nil {
			m.Live = func() []string { return []string{m.EntryID} }
		}
		m.processors = map[int]*processor{}
		m.shared = shards.NewShared()
		m.shared.Log, m.shared.Runner, m.shared.Config = m.Log, m.Runner, m.Config
		m.shared.EntryID, m.shared.Events, m.shared.Now = m.EntryID, m.Events, m.Now
		m.shared.AppendsPerSecond, m.shared.Budget = m.AppendsPerSecond, stream.NewBudget(m.AppendsPerSecond)
		m.shared.Retention, m.shared.CheckpointEvery = m.Retention, m.CheckpointEvery
		m.shared.MaxUnrecorded, m.shared.ItemTimeout = m.MaxUnrecorded, m.ItemTimeout
		m.shared.Reader = record.NewReader(m.Log)
	})
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Run claims shards and runs their items until ctx is done. Then it records the finished results and releases
// the shards.
func (m *Manager) Run(ctx context.Context) error {
	m.setUp()
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	m.mu.Lock()
	m.shared.Base = base
	for _, p := range m.processors {
		p.Start(base)
	}
	m.mu.Unlock()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.reconcileLoop(gctx) })
	g.Go(func() error { return m.shared.Dispatch(gctx) })
	err := g.Wait()
	m.releaseAll()
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	stop()
	m.shared.RunGroup.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Ready reports whether this entry reads the log and has caught up with the shards that it should own.
func (m *Manager) Ready() bool { return m.ready.Load() }

// reconcileLoop calls reconcile periodically until ctx is done.
func (m *Manager) reconcileLoop(ctx context.Context) error {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		m.reconcile()
	}
}

// reconcile updates ownership, checkpoints and buffered results of all shards, and the entry's readiness.
func (m *Manager) reconcile() {
	live := m.Live()
	m.shared.Budget.SetProcesses(len(live))
	m.logOutage()
	preferred := m.shared.Owners.PreferredShards(m.EntryID, m.Shards, live)
	for shard := range preferred {
		m.ensureFollowed(shard)
	}
	caughtUp := true
	for _, p := range m.allProcessors() {
		wanted := preferred[p.ID]
		p.Reconcile(wanted, m.shared.Owners.PreferredOwner(p.ID), m.shared.Owners.IsLive)
		if wanted && !p.CaughtUp() {
			caughtUp = false
		}
		if !wanted {
			m.dropIdle(p)
		}
	}
	m.ready.Store(caughtUp)
	m.shared.WakeDispatcher()
}

func (m *Manager) allProcessors() []*processor {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*processor, 0, len(m.processors))
	for _, p := range m.processors {
		all = append(all, p)
	}
	return all
}

// ensureFollowed starts to follow the shard if needed. It doesn't count as a use.
func (m *Manager) ensureFollowed(shard int) *processor {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processorLocked(shard)
}

func (m *Manager) processorLocked(shard int) *processor {
	p := m.processors[shard]
	if p == nil {
		p = &processor{Processor: shards.New(m.shared, shard), m: m, lastUsed: m.Now()}
		m.processors[shard] = p
		if m.shared.Base != nil && !m.stopped {
			p.Start(m.shared.Base)
		}
	}
	return p
}

// use returns the processor of a shard. The shard is followed at least until IdleFollow after release is called.
func (m *Manager) use(shard int) (p *processor, release func()) {
	m.setUp()
	m.mu.Lock()
	defer m.mu.Unlock()
	p = m.processorLocked(shard)
	p.users++
	return p, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		p.users--
		p.lastUsed = m.Now()
	}
}

// dropIdle stops following a shard that was not used for IdleFollow. Otherwise each of hundreds of entries would
// read every stream permanently after a single request for it.
func (m *Manager) dropIdle(p *processor) {
	m.mu.Lock()
	idle := p.users == 0 && m.Now().Sub(p.lastUsed) > m.IdleFollow && !p.Busy()
	if idle {
		delete(m.processors, p.ID)
	}
	m.mu.Unlock()
	if idle {
		p.Stop()
	}
}

// logFailing returns a refusal with the outcome "not run" while the log takes no appends, otherwise nil.
func (m *Manager) logFailing() *sardinerock.Refusal {
	if m.shared.Health.FailingSince(m.Now()).IsZero() {
		return nil
	}
	return reject.LogUnavailable(sardinerock.OutcomeNotRun, "the log takes no records at the moment; nothing was accepted")
}

// logOutage logs the start and the end of an outage of the log.
func (m *Manager) logOutage() {
	failing := !m.shared.Health.FailingSince(m.Now()).IsZero()
	if failing == m.outage {
		return
	}
	m.outage = failing
	if failing {
		m.Events.Warn(event.LogOutage).Int64("unrecorded", m.shared.Unrecorded.Load()).Msg("the log takes no appends; results are buffered and new jobs rejected")
		return
	}
	m.Events.Info(event.LogBack).Int64("unrecorded", m.shared.Unrecorded.Load()).Msg("the log takes appends again")
}

// releaseAll records the finished results and releases all shards, within shards.ReleaseTimeout.
func (m *Manager) releaseAll() {
	m.shared.Stopping.Store(true)
	ctx, cancel := context.WithTimeout(m.shared.Base, shards.ReleaseTimeout)
	defer cancel()
	var g errgroup.Group
	for _, p := range m.allProcessors() {
		g.Go(func() error {
			p.DrainAndRelease(ctx)
			return nil
		})
	}
	_ = g.Wait()
}

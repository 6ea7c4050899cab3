package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blame"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/budget"
	"github.com/sardinerock/sardinerock/commit"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/invoke"
	"github.com/sardinerock/sardinerock/items"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/owner"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/tally"
)

const (
	// pollInterval is the time between two checks for free slots. Bursts of online requests
	// end within a second, so a slot left free for a fraction of that costs little.
	pollInterval = 25 * time.Millisecond
	// idlePollInterval applies while this entry owns no job; a new job wakes the runner at
	// once.
	idlePollInterval = 100 * time.Millisecond
	// retryDelay is how long an item waits after a failed run, and a job after a failed read.
	retryDelay = 200 * time.Millisecond
	// clockSkewMargin is added to the age at which an item is given up. The creation time of
	// a job comes from the clock of another entry, which may differ by seconds, and an item
	// given up too early is lost to its caller.
	clockSkewMargin = 10 * time.Second
	// progressTimeout bounds one write of progress; the next write holds the whole text
	// again.
	progressTimeout = 3 * time.Second
)

// Runner runs the items of batch jobs.
type Runner struct {
	// Name is this entry's name, as used for the owner of a job.
	Name string
	// ProcessStart identifies this process among those of the same name, as in messages to other
	// entries.
	ProcessStart int64
	Batch        sardinerock.BatchDialect
	Table        func() *sardinerock.RouteTable
	// ConfigurationAge returns how long ago the configuration in force was proven to be the newest.
	ConfigurationAge func() time.Duration
	Ledger           *ledger.Ledger
	// Recorder appends the results and failures of items to the store.
	Recorder *commit.Appender
	// Blobs stores the bodies of items, their progress and the texts of results.
	Blobs *blobs.Client
	Pool  *pool.Pool
	Conns *conns.Conns
	// Memory bounds what the texts of all items take together; nil for no bound.
	Memory *budget.Budget
	// Blame knows which parts of prompts end backend servers.
	Blame *blame.Tracker
	// Tally knows of failed runs that aren't recorded yet.
	Tally *tally.Tally
	// Pace limits how many items start at once.
	Pace *items.Pacer
	// SlotFreed is called when an item has released a slot that is now free.
	SlotFreed func(service, server string)
	// WaitingElsewhere returns how many items the other entries could start.
	WaitingElsewhere func() int
	// SumWaiting returns the sum over the other entries of a weight of how many items each could start.
	SumWaiting func(weight func(waiting int) int) int
	// Owners returns the names of the entries that run items.
	Owners func() []string
	// OwnerView returns what this entry knows about the others, among them those that took over
	// its jobs; false while too little is known.
	OwnerView func() (owner.View, bool)
	// OwnershipCurrent reports whether items may be started: the age of this entry's view of
	// job ownership is below the time without contact after which another entry takes over
	// its jobs, or the store cannot be read.
	OwnershipCurrent func() bool
	// WorkingFor returns for how long appends to the store have succeeded, and SteadyFor for how long this
	// entry has read the state of jobs without interruption; 0 if not now.
	WorkingFor, SteadyFor func() time.Duration
	// SetActive is called in each round with whether this entry has jobs. While it has, the
	// node reads the topics of jobs at short intervals.
	SetActive func(active bool)
	// ViewAge returns the maximum age of the state received from other entries.
	ViewAge func() time.Duration
	// RunningElsewhere returns the short keys of the items that other live entries run.
	RunningElsewhere func() map[uint32]bool
	Events           *event.Logger
	Metrics          metrics.Registry

	invoker *invoke.Invoker

	mu    sync.Mutex
	items map[uint64]*item
	// jobs holds what was read of the jobs whose items this entry runs.
	jobs     map[string]*loadedJob
	wake     chan struct{}
	stopping bool
	// waiting is how many items could be started in the last round and finish in time.
	waiting   int
	estimator items.Estimator
	// excess decides when items are preempted since others report more requests than slots.
	excess items.Excess
	// headroom is how many slots items leave free, by service.
	headroom map[string]*headroom
	// firstOutput is set if an item's first output is to be saved at once.
	firstOutput bool
	// olderLogged is the version of the newest configuration of a job that a log line says is newer than the one here.
	olderLogged int64
	// progressSavedAt is when progress was last written to the store.
	progressSavedAt time.Time
	group           sync.WaitGroup
}

// item is a batch item that this entry has started, or given up.
type item struct {
	open ledger.OpenItem
	// body is the item as its caller sent it.
	body *sardinerock.BatchItem
	key  uint64
	// running is set while the item holds a slot.
	running bool
	server  string
	// service is that of the server.
	service string
	started time.Time
	due     time.Time
	cancel  context.CancelFunc
	// preempted is set when the current run was cancelled, for online work or because another
	// entry has taken over the job.
	preempted bool
	timing    invoke.Timing
	// position is after the last event whose data is in text.
	position sardinerock.Position
	// unprovenAfter is invoke.Item.UnprovenAfter of the last run.
	unprovenAfter string
	text          []byte
	// room is the memory of the text.
	room   conns.Room
	events int
	// savedBytes is the length of the text that was last saved to the store.
	savedBytes int
	// complete is set once the item's result is final; its progress is no longer saved.
	complete bool
	// failures counts the responses that reported a failed run.
	failures int
	// breaks counts the runs during which the backend server ended.
	breaks items.Breaks
	// hadOutput is set if the item has had a text, also if it has started over since.
	hadOutput bool
	// noRoomSince is since when no backend server of the text's version has had a free slot while others had; zero
	// if one had. noRoom is set once the item needn't wait for one any longer.
	noRoomSince time.Time
	noRoom      bool
	// accounted is set if the next failed run of the item is accounted for: see needsStart.
	accounted bool
	// saveFirstOutput is set if the first output has to be saved at once. It shows the next owner
	// that the item isn't one that fails at each run. saveNow is set when that output has come.
	saveFirstOutput, saveNow bool
	// recordingStart is set while the start of a run is being recorded.
	recordingStart bool
	// held is set once a log line says that the item waits because of its prompt.
	held bool
	// waitsForCalm is set once a log line says that the item waits since its owners were lost.
	waitsForCalm bool
	// retryAt is the earliest time of the next run.
	retryAt time.Time
}

// Prepare initializes the runner; it must be called once before any other method.
func (r *Runner) Prepare() {
	r.items = map[uint64]*item{}
	r.jobs = map[string]*loadedJob{}
	r.headroom = map[string]*headroom{}
	r.invoker = &invoke.Invoker{Batch: r.Batch, Table: r.Table, Pool: r.Pool, Conns: r.Conns, Events: r.Events}
	r.wake = make(chan struct{}, 1)
}

// Run starts items until ctx ends, then aborts all runs and waits for them.
func (r *Runner) Run(ctx context.Context) {
	begin := time.Now()
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.group.Wait()
			return
		case <-t.C:
		case <-r.wake:
		}
		t.Reset(r.updateActive())
		r.PreemptAllExcess()
		r.observeOnline(time.Now())
		r.cancelEnded()
		r.saveProgress(ctx)
		r.evictJobs()
		r.abortTakenOver()
		// Wait until the messages of the other entries have arrived, which list the slots
		// they use.
		if time.Since(begin) >= r.ViewAge() {
			r.startWaiting(ctx)
		}
	}
}

// updateActive reports to the node whether this entry has jobs, and returns the time until
// the next round.
func (r *Runner) updateActive() time.Duration {
	r.mu.Lock()
	items := len(r.items)
	r.mu.Unlock()
	active := items > 0 || r.Ledger.Owns(r.Name)
	r.SetActive(active)
	if active {
		return pollInterval
	}
	return idlePollInterval
}

// StopStarting prevents further items from starting; those that run continue.
func (r *Runner) StopStarting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// AbortAll aborts the running items; another entry resumes them.
func (r *Runner) AbortAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.items {
		if i.running {
			i.cancel()
		}
	}
}

// Drain waits until no item runs, or ctx ends.
func (r *Runner) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Running returns the short keys of the items that hold slots, in ascending order.
func (r *Runner) Running() []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []uint32
	for k, i := range r.items {
		if i.running {
			keys = append(keys, items.ShortKey(k))
		}
	}
	slices.Sort(keys)
	return keys
}

// cancelEnded aborts items whose job was ended or whose result another entry has recorded.
func (r *Runner) cancelEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, i := range r.items {
		if r.Ledger.IsOpen(i.open.Job, i.open.Index) {
			continue
		}
		if i.running {
			i.cancel()
		} else {
			r.discardProgress(i)
			i.room.Close()
			delete(r.items, k)
		}
	}
}

// Wake starts a round at once instead of at the next poll.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
		// A round is already pending.
	}
}

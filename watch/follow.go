package watch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/clock"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// defaultWait is the default of Follower.Wait. A connection that hangs is detected a little later.
	defaultWait = time.Second
	// retryWait is the wait of a read after one that failed or is overdue. It is to show at once whether the store can be read. It
	// isn't 0, which is for reads of large pages with longer timeouts.
	retryWait = time.Millisecond
	// minBackoff and maxBackoff bound the time from a failed read to the next one; rejected calls are billed too.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxLoadAge is the age at which an incomplete load is discarded: the records that follow
	// its pages may be deleted before they are read.
	maxLoadAge = 10 * time.Second
	// outageTimeout is how long reads have to fail before the topic counts as lost.
	outageTimeout = time.Second
)

// Follower follows one topic of the store and passes its records to Apply.
type Follower struct {
	Store sardinerock.Store
	Topic string
	// Apply is called with records in the order of their offsets. After a gap, reset is set and
	// the records are the newest of each key: all other keys are deleted.
	Apply func(records []sardinerock.StoreRecord, reset bool)
	// ApplyPartial, if set, is called with each page of the first load as it arrives: the newest
	// records, in the order of their keys. They are usable before the rest is loaded.
	ApplyPartial func(records []sardinerock.StoreRecord)
	// OnRecovery, if set, is called when a read succeeds after an outage of the store, and when a page reports one. Only the failure of
	// a read on a new connection, sent after another read had failed or was overdue, shows an outage: connections also go silent
	// while the store works.
	OnRecovery func()
	// Wait is how long a read waits for new records at the end of the topic; 0 is 1 s.
	Wait time.Duration
	// WriteOnce states that each key of the topic is written once, so that a load can read the
	// records from the first offset on: they are no more than the newest of each key, a
	// quarter smaller in their raw form, and cheaper to read. If the first records are deleted, a load
	// reads the newest of each key.
	WriteOnce bool
	// Loader, if set, returns the newest record of each key in one page. A load tries it first and
	// falls back to the store.
	Loader func(ctx context.Context) (sardinerock.StorePage, error)
	// Interval is the least time between two reads. Without it, a topic with many writers
	// causes a call for each append.
	Interval time.Duration
	// IdleInterval, if set, replaces Interval while no call of Activate is in effect.
	IdleInterval time.Duration
	Events       *event.Logger

	// loads holds a value during a load, and syncs one while EnsureCurrent reads.
	loads, syncs chan struct{}
	// activeUsers counts the calls of Activate in effect; wake ends waitInterval early.
	activeUsers atomic.Int64
	wake        chan struct{}

	mu     sync.Mutex
	next   int64
	loaded bool
	// partlyLoaded is set once ApplyPartial was called.
	partlyLoaded bool
	// confirmed is when the latest read that reached the end of the topic was sent, and
	// confirmedBoot the same by the boot clock, which advances while the machine is suspended.
	confirmed     time.Time
	confirmedBoot time.Duration
	// loading holds the pages of an incomplete load.
	loading *loading
	// progress is closed and replaced when next or confirmed is updated.
	progress chan struct{}
	// failingSince is the time of the first failed read after the last successful one.
	failingSince time.Time
	lost         bool
	// workingSince is the time of the first successful read after the last outage.
	workingSince time.Time
	// overdue is set if a read was overdue after the last successful one.
	overdue bool
	// outage is the failure that showed that the store, and not only a connection to it, was unavailable after the last
	// successful read; nil if none did.
	outage error
	// servedAt is the latest time at which the store is known to have served the topic.
	servedAt time.Time
}

// Prepare initializes f. It is called once, before all other methods.
func (f *Follower) Prepare() {
	f.progress, f.wake = make(chan struct{}), make(chan struct{}, 1)
	f.loads, f.syncs = make(chan struct{}, 1), make(chan struct{}, 1)
}

// Activate makes Run read at Interval instead of IdleInterval until release is called.
func (f *Follower) Activate() (release func()) {
	if f.activeUsers.Add(1) == 1 {
		f.Wake()
	}
	return sync.OnceFunc(func() { f.activeUsers.Add(-1) })
}

// Wake makes Run read at once. It is called when new records are known to exist.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
		// A wake-up is pending already.
	}
}

// interval returns IdleInterval if it is set and the topic has no active user, else Interval.
func (f *Follower) interval() time.Duration {
	if f.IdleInterval > 0 && f.activeUsers.Load() == 0 {
		return f.IdleInterval
	}
	return f.Interval
}

// waitInterval waits until the read after one that was sent at a time is due. It returns false
// if ctx ends first.
func (f *Follower) waitInterval(ctx context.Context, sent time.Time) bool {
	t := time.NewTimer(f.interval() - time.Since(sent))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-f.wake:
	}
	return true
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := f.Wait
	if wait == 0 {
		wait = defaultWait
	}
	pause, stepWait := minBackoff, wait
	for ctx.Err() == nil {
		sent := time.Now()
		if err := f.step(ctx, stepWait); err != nil {
			f.readFailed(err, sent, stepWait == retryWait && ctx.Err() == nil)
			stepWait = retryWait
			if !await.Sleep(ctx, pause-time.Since(sent)) {
				return
			}
			pause = min(2*pause, maxBackoff)
			continue
		}
		pause, stepWait = minBackoff, wait
		if !f.waitInterval(ctx, sent) {
			return
		}
	}
}

// Sync reads up to the end that the topic has when Sync is called, and returns an error if a read fails
// or makes no progress. It reads repeatedly, since one read may return a part only: a caller that took it
// for all would report a job in the missing part as unknown.
func (f *Follower) Sync(ctx context.Context) error {
	begin := time.Now()
	for {
		before := f.Next()
		if err := f.step(ctx, 0); err != nil {
			return err
		}
		if f.currentAt(begin) {
			return nil
		}
		if f.Next() == before {
			return errStale
		}
	}
}

// EnsureCurrent returns once the view holds all records that the topic held at a time, and reads them if
// necessary. Concurrent callers share the reads. It returns the error of Sync.
func (f *Follower) EnsureCurrent(ctx context.Context, at time.Time) error {
	if f.currentAt(at) {
		return nil
	}
	if err := acquire(ctx, f.syncs); err != nil {
		return err
	}
	defer release(f.syncs)
	if f.currentAt(at) {
		return nil
	}
	sent := time.Now()
	err := f.Sync(ctx)
	if err != nil {
		f.readFailed(err, sent, false)
	}
	return err
}

// acquire puts a value into a channel with room for one, or returns the error of ctx once that ends.
func acquire(ctx context.Context, c chan struct{}) error {
	select {
	case c <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func release(c chan struct{}) { <-c }

// AwaitCurrent returns once the view holds all records that the topic held at a time, or ctx ends. It
// relies on the reads of Run: on a slow link, a second read of the same records would only
// slow down both.
func (f *Follower) AwaitCurrent(ctx context.Context, at time.Time) error {
	for {
		f.mu.Lock()
		current, progress := !f.confirmed.Before(at), f.progress
		f.mu.Unlock()
		if current {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-progress:
		}
	}
}

// currentAt reports whether the view holds all records that the topic held at a time.
func (f *Follower) currentAt(at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmed.Before(at)
}

// WaitFor returns once all records before the offset are applied, or with an error when ctx ends.
func (f *Follower) WaitFor(ctx context.Context, offset int64) error {
	for {
		f.mu.Lock()
		next, progress := f.next, f.progress
		f.mu.Unlock()
		if next >= offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-progress:
		}
	}
}

// Loaded reports whether the topic was loaded once.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// MonotonicAge returns the greatest possible age of the view by the monotonic clock, which doesn't
// advance while the machine is suspended.
func (f *Follower) MonotonicAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.confirmed)
}

// Overdue returns MonotonicAge minus the time between two reads. It is negative while the next read
// isn't due.
func (f *Follower) Overdue(now time.Time) time.Duration { return f.MonotonicAge(now) - f.interval() }

// Age returns the greatest possible age of the view, including times in which the machine was
// suspended. It returns false before the first read that reached the end of the topic.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return clock.Boot() - f.confirmedBoot, !f.confirmed.IsZero()
}

// Lost reports whether reads have failed for longer than outageTimeout.
func (f *Follower) Lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// HealthyFor returns the time since the first successful read after the last outage, or 0
// during an outage and before the first read.
func (f *Follower) HealthyFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost || f.workingSince.IsZero() {
		return 0
	}
	return now.Sub(f.workingSince)
}

// Next returns the offset up to which all records are applied.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

func (f *Follower) step(ctx context.Context, wait time.Duration) error {
	if !f.Loaded() {
		return f.load(ctx)
	}
	err := f.read(ctx, wait)
	if errors.Is(err, sardinerock.ErrStoreGap) {
		return f.load(ctx)
	}
	return err
}

var errStale = errors.New("store: stale answer, older than the records already read")

func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	from := f.next
	f.mu.Unlock()
	page, sent, err := f.fetch(ctx, from, wait)
	if err != nil {
		return err
	}
	f.readSucceeded(page.StoreRecovered, page.Age)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyNew(page.Records, from)
	if f.next >= page.End && page.End >= from {
		f.advance(f.next, sent.Earlier(page.Age))
	}
	return nil
}

// ApplyOwn applies records that this process has appended itself, at the offset from, unless the
// records before them aren't applied yet.
func (f *Follower) ApplyOwn(records []sardinerock.StoreRecord, from int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyNew(records, from)
}

// applyNew applies those of the records at the offset from that aren't applied yet. Records of
// two reads may overlap.
func (f *Follower) applyNew(records []sardinerock.StoreRecord, from int64) {
	skip := f.next - from
	if skip < 0 || skip >= int64(len(records)) {
		return
	}
	unapplied := records[skip:]
	f.Apply(unapplied, false)
	f.advance(f.next+int64(len(unapplied)), clock.Instant{})
}

func (f *Follower) advance(next int64, confirmed clock.Instant) {
	f.next = next
	if confirmed.After(f.confirmed) {
		f.confirmed, f.confirmedBoot = confirmed.Time, confirmed.Boot
	}
	close(f.progress)
	f.progress = make(chan struct{})
}

// closeIdle closes the idle connections to the store, of which all may be silent.
func (f *Follower) closeIdle() {
	if c, ok := f.Store.(sardinerock.IdleCloser); ok {
		c.CloseIdle()
	}
}

// readOverdue records that a read is overdue. Later ones use new connections.
func (f *Follower) readOverdue() {
	f.closeIdle()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overdue = true
}

// readFailed records the failure of a read that was sent at a time. repeated states that it was sent after another one had failed or
// was overdue, and so on a new connection.
func (f *Follower) readFailed(err error, sent time.Time, repeated bool) {
	if !errors.Is(err, sardinerock.ErrStoreRefused) {
		f.closeIdle()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if repeated && f.outage == nil && !f.servedAt.After(sent) && showsOutage(err) {
		f.outage = err
	}
	if f.failingSince.IsZero() {
		f.failingSince = now
	}
	if !f.lost && now.Sub(f.failingSince) > outageTimeout {
		f.lost = true
		f.Events.Warn(event.LogOutage).Str("topic", f.Topic).Int64("next", f.next).Err(err).Msg("store reads have failed for over 1 s; using the records read so far")
	}
}

// showsOutage reports whether the failure of a read on a new connection means that the store, or the path to it, was unavailable.
func showsOutage(err error) bool {
	return !errors.Is(err, sardinerock.ErrStoreAnswered) && !errors.Is(err, errStale)
}

// readSucceeded is called before the records of a successful read are applied: Apply has to know
// that some of them may be from an outage of the store, at this entry or at the one that read
// them for it. age is how long ago what was read was the end of the topic.
func (f *Follower) readSucceeded(storeRecovered bool, age time.Duration) {
	f.mu.Lock()
	now := time.Now()
	lost, failed, outage, unproven := f.lost, f.overdue || !f.failingSince.IsZero(), f.outage, now.Sub(f.servedAt)
	recovered := storeRecovered || outage != nil
	f.overdue, f.outage = false, nil
	if f.workingSince.IsZero() || lost {
		f.workingSince = now
	}
	f.failingSince, f.lost = time.Time{}, false
	if served := now.Add(-age); served.After(f.servedAt) {
		f.servedAt = served
	}
	f.mu.Unlock()
	if lost {
		f.Events.Info(event.LogBack).Str("topic", f.Topic).Int64("next", f.Next()).Msg("store can be read again")
	}
	if f.OnRecovery != nil && failed {
		f.Events.Info(event.LogBack).Str("topic", f.Topic).Dur("unproven", unproven).Bool("outage", recovered).AnErr("evidence", outage).
			Msg("store can be read after reads failed or were overdue; only a failure on a new connection shows an outage")
	}
	if recovered && f.OnRecovery != nil {
		f.OnRecovery()
	}
}

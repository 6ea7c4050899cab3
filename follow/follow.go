package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/chkpt"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/stream"
)

const (
	// pollWait bounds one read at the end of a stream.
	pollWait = time.Second
	// retryDelay is the delay after a failed read, so that a reader doesn't busy-loop during an outage of the log.
	retryDelay = 200 * time.Millisecond
	// ReadTimeout bounds one read, in addition to its wait. Otherwise an unresponsive connection would block the reader.
	ReadTimeout = 5 * time.Second
)

// Follower reads one shard's stream. Its lock guards State and the caller's data that depends on it. The exported fields
// except State are set before use.
type Follower struct {
	sync.Mutex
	Log    sardinerock.Log
	Stream string
	Now    func() time.Time
	// Apply folds one envelope into State; the lock is held.
	Apply func(e *stream.Entry)
	// OnLoad is called after State was replaced by that of a checkpoint, or by an empty one if c is nil; the lock is
	// held.
	OnLoad func(c *chkpt.Checkpoint)

	// State is nil until a checkpoint or an empty state was loaded.
	State *shard.State

	tail *stream.Tail
	// changed is closed and replaced after each read.
	changed    chan struct{}
	cancelPoll context.CancelFunc
	// syncRequested counts the requests to read to the end of the stream; syncDone is the last one that is done.
	syncRequested, syncDone int
	err                     error
	atEnd                   bool
}

// Run reads the stream until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			f.setError(err)
			sleep(ctx, retryDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Current reports whether the end of the stream was reached and the last read succeeded; the lock is held.
func (f *Follower) Current() bool {
	return f.State != nil && f.tail != nil && f.atEnd && f.err == nil
}

// WasCurrent reports whether the end of the stream was reached since the last load. State may be stale then, but is not
// wrong; the lock is held.
func (f *Follower) WasCurrent() bool { return f.State != nil && f.atEnd }

// read reads once from the stream and folds the records, after loading a checkpoint if needed.
func (f *Follower) read(ctx context.Context) error {
	if err := f.load(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+ReadTimeout)
	defer cancel()
	f.Lock()
	requested, wait := f.syncRequested, pollWait
	if requested > f.syncDone {
		wait = 0
	}
	f.cancelPoll = cancel
	f.Unlock()
	records, err := f.tail.Read(ctx, wait)
	f.Lock()
	defer f.Unlock()
	f.cancelPoll = nil
	if err != nil && f.syncRequested > requested && errors.Is(err, context.Canceled) {
		return nil
	}
	if errors.Is(err, sardinerock.ErrLogGap) {
		// The log has dropped the next records, so a checkpoint must be loaded.
		f.tail = nil
	}
	if err != nil {
		return err
	}
	f.tail.Fold(records)
	f.err = nil
	if len(records) == 0 {
		f.atEnd = true
		if wait == 0 {
			f.syncDone = requested
		}
	}
	f.notify()
	return nil
}

// notify wakes all waiters; the lock is held.
func (f *Follower) notify() {
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

func (f *Follower) setError(err error) {
	f.Lock()
	defer f.Unlock()
	f.err = err
	f.notify()
}

// load loads the newest complete checkpoint, or an empty state if there is none. If the log has also dropped the start of
// the stream, the next read fails and load is retried: without the start of the stream an empty state is not proven to
// be right.
func (f *Follower) load(ctx context.Context) error {
	f.Lock()
	loaded := f.tail != nil
	f.Unlock()
	if loaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 4*ReadTimeout)
	defer cancel()
	b, err := f.Log.Bounds(ctx, f.Stream)
	if err != nil {
		return err
	}
	c, err := chkpt.Load(ctx, f.Log, f.Stream, b.First)
	if err != nil {
		return err
	}
	state, tail := shard.NewState(), &stream.Tail{Log: f.Log, Stream: f.Stream}
	if c != nil {
		if state, err = shard.Decode(c.State); err != nil {
			return err
		}
		tail.Next, tail.Seen = c.Resume, c.Seen
	}
	f.Lock()
	defer f.Unlock()
	f.State, f.tail = state, tail
	// Let the first read return without a wait. Until it has succeeded, the state may be the empty one of a stream
	// of which the start was dropped.
	f.syncRequested++
	f.atEnd = false
	tail.Apply = f.Apply
	f.OnLoad(c)
	return nil
}

// Sync waits until all records that are in the log now are folded. It fails if the log can't be read until ctx is done;
// State may be used all the same.
func (f *Follower) Sync(ctx context.Context) error {
	b, err := f.Log.Bounds(ctx, f.Stream)
	if err != nil {
		return err
	}
	f.Lock()
	f.syncRequested++
	requested := f.syncRequested
	if f.cancelPoll != nil {
		f.cancelPoll()
	}
	f.Unlock()
	return f.wait(ctx, func() bool { return f.tail.Next >= b.Next || f.syncDone >= requested })
}

// WaitFolded waits until the record at offset is folded.
func (f *Follower) WaitFolded(ctx context.Context, offset int64) error {
	return f.wait(ctx, func() bool { return f.tail.Next > offset })
}

// wait waits until reached returns true or ctx is done. It continues after read errors, since the log may recover.
func (f *Follower) wait(ctx context.Context, reached func() bool) error {
	for {
		f.Lock()
		if f.tail != nil && reached() {
			f.Unlock()
			return nil
		}
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		readErr, changed := f.err, f.changed
		f.Unlock()
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), readErr)
		case <-changed:
		}
	}
}

// Checkpoint returns the state at the end of the stream. All records before the end at the time of the call are folded,
// so a reader may resume at that offset even if offsets are not contiguous.
func (f *Follower) Checkpoint(ctx context.Context) (*chkpt.Checkpoint, error) {
	b, err := f.Log.Bounds(ctx, f.Stream)
	if err != nil {
		return nil, err
	}
	if err := f.Sync(ctx); err != nil {
		return nil, err
	}
	f.Lock()
	defer f.Unlock()
	if f.tail == nil {
		return nil, sardinerock.ErrLogGap
	}
	state, err := f.State.Encode()
	if err != nil {
		return nil, err
	}
	return &chkpt.Checkpoint{
		Resume: max(f.tail.Next, b.Next), State: state, Seen: f.tail.Seen.Clone(), AtMs: f.Now().UnixMilli(),
	}, nil
}

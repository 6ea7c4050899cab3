package watch

import (
	"context"
	"errors"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/clock"
)

const (
	// overdueTime is how long after its wait a read is repeated, and the time between two repeats. A slow store takes 0.25 s.
	overdueTime = 400 * time.Millisecond
	// maxRepeats is the number of repeats of one read.
	maxRepeats = 3
)

// answer is the answer to one read, or the error that it ended with.
type answer struct {
	page     sardinerock.StorePage
	err      error
	sent     clock.Instant
	repeated bool
}

// fetch reads the records from an offset on. A read that is overdue may be on a silent connection: it goes on, and is repeated on a
// new one. The first answer counts. It returns when that was sent, and fails once a read on a new connection does or all have. A read
// with a wait of 0 isn't repeated: it may take seconds for a large page.
func (f *Follower) fetch(ctx context.Context, from int64, wait time.Duration) (sardinerock.StorePage, clock.Instant, error) {
	if wait == 0 {
		sent := clock.Now()
		page, err := f.Store.Read(ctx, f.Topic, from, wait)
		return page, sent, err
	}
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, 1+maxRepeats)
	send := func(wait time.Duration, repeated bool) {
		a := answer{sent: clock.Now(), repeated: repeated}
		a.page, a.err = f.Store.Read(readCtx, f.Topic, from, wait)
		answers <- a
	}
	go send(wait, wait == retryWait)
	pending, repeats := 1, 0
	overdue := time.NewTimer(wait + overdueTime)
	defer overdue.Stop()
	for {
		select {
		case a := <-answers:
			pending--
			if a.err == nil || errors.Is(a.err, sardinerock.ErrStoreGap) {
				return a.page, a.sent, a.err
			}
			// Run records the returned error once more, which changes nothing.
			f.readFailed(a.err, a.sent.Time, a.repeated && ctx.Err() == nil)
			if pending == 0 || a.repeated {
				return a.page, a.sent, a.err
			}
		case <-overdue.C:
			f.readOverdue()
			go send(retryWait, true)
			pending++
			if repeats++; repeats < maxRepeats {
				overdue.Reset(overdueTime)
			}
		}
	}
}

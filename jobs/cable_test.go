package jobs

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
)

// cable is one entry's way to the log: it can be paused, as a stopped process is, or cut.
type cable struct {
	sardinerock.Log
	mu     sync.Mutex
	paused chan struct{}
	cut    bool
	// held and heldReads count the appends and reads that wait for the pause to end.
	held, heldReads atomic.Int64
}

var errCut = errors.New("cable cut")

func (c *cable) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = make(chan struct{})
}

func (c *cable) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.paused)
	c.paused = nil
}

func (c *cable) sever() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
}

// pass waits out a pause whatever the deadline: a stopped process sees none go by.
func (c *cable) pass() error {
	c.mu.Lock()
	paused, cut := c.paused, c.cut
	c.mu.Unlock()
	if cut {
		return errCut
	}
	if paused != nil {
		<-paused
	}
	return nil
}

func (c *cable) Append(ctx context.Context, name string, data []byte) (int64, error) {
	c.held.Add(1)
	err := c.pass()
	c.held.Add(-1)
	if err != nil {
		return 0, err
	}
	// What a stopped process was about to send goes out when it goes on, whatever the time.
	return c.Log.Append(context.WithoutCancel(ctx), name, data)
}

func (c *cable) Read(ctx context.Context, name string, from int64, wait time.Duration) ([]sardinerock.LogRecord, error) {
	c.heldReads.Add(1)
	err := c.pass()
	c.heldReads.Add(-1)
	if err != nil {
		return nil, err
	}
	return c.Log.Read(ctx, name, from, wait)
}

func (c *cable) Bounds(ctx context.Context, name string) (sardinerock.LogBounds, error) {
	if err := c.pass(); err != nil {
		return sardinerock.LogBounds{}, err
	}
	return c.Log.Bounds(ctx, name)
}

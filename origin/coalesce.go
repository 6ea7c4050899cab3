package origin

import (
	"context"
	"sync"
)

// coalesced runs a function for all that wait for it. Each call of get returns the result of a run that began after it,
// and at most one is in progress.
type coalesced[T any] struct {
	mu      sync.Mutex
	running bool
	next    *pending[T]
}

type pending[T any] struct {
	done   chan struct{}
	result T
	err    error
}

// get returns the result of a run, or the error of ctx if that ends first.
func (c *coalesced[T]) get(ctx context.Context, run func() (T, error)) (T, error) {
	c.mu.Lock()
	if c.next == nil {
		c.next = &pending[T]{done: make(chan struct{})}
	}
	p := c.next
	if !c.running {
		c.running = true
		go c.runAll(run)
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	case <-p.done:
		return p.result, p.err
	}
}

func (c *coalesced[T]) runAll(run func() (T, error)) {
	for {
		c.mu.Lock()
		p := c.next
		c.next = nil
		if p == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		p.result, p.err = run()
		close(p.done)
	}
}

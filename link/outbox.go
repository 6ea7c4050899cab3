package link

import (
	"errors"
	"sync"
)

// maxQueued bounds the frames that wait for one connection. A peer that stops
// reading would otherwise fill this process's memory with tokens nobody takes;
// at 64 Ki frames the connection is given up, and its attempts move elsewhere.
const maxQueued = 64 << 10

var errOutboxClosed = errors.New("link: connection is closed")

// outbox queues frames for one writer, so that whoever sends is never held up
// by a slow connection, and frames that came together leave in one write.
type outbox[T any] struct {
	mu     sync.Mutex
	queue  []T
	ready  chan struct{}
	closed bool
}

func newOutbox[T any]() *outbox[T] {
	return &outbox[T]{ready: make(chan struct{}, 1)}
}

// put queues a frame. An error means that it will never be written.
func (o *outbox[T]) put(frame T) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.queue) >= maxQueued {
		return errOutboxClosed
	}
	o.queue = append(o.queue, frame)
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return nil
}

// take returns all that waits.
func (o *outbox[T]) take() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.queue
	o.queue = nil
	return batch
}

// close stops the queue and returns what was never taken.
func (o *outbox[T]) close() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	rest := o.queue
	o.queue = nil
	return rest
}

// sender is the half of a drpc stream that writes frames.
type sender[T any] interface {
	Send(T) error
}

// write sends queued frames until done is closed, flushing once per batch.
func (o *outbox[T]) write(done <-chan struct{}, stream sender[T], flush func() error) error {
	for {
		select {
		case <-done:
			return nil
		case <-o.ready:
		}
		for _, frame := range o.take() {
			if err := stream.Send(frame); err != nil {
				return err
			}
		}
		if err := flush(); err != nil {
			return err
		}
	}
}

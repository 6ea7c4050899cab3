package link

import (
	"errors"
	"sync"
)

// maxQueued limits the frames queued for one connection, so that a peer that stops
// reading doesn't fill this process's memory. Beyond 64 Ki frames, frames are
// rejected: new attempts go to other sides, and those that miss tokens are retried.
const maxQueued = 64 << 10

var errOutboxClosed = errors.New("link: connection closed or its queue full")

// outbox queues frames for one writer, so that a slow connection doesn't block
// senders and frames queued together are sent in one write.
type outbox[T any] struct {
	mu     sync.Mutex
	queue  []T
	ready  chan struct{}
	closed bool
}

func newOutbox[T any]() *outbox[T] {
	return &outbox[T]{ready: make(chan struct{}, 1)}
}

// put queues a frame. On an error the frame is not sent.
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

// take removes and returns all queued frames.
func (o *outbox[T]) take() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.queue
	o.queue = nil
	return batch
}

// close rejects further frames and returns those still queued.
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

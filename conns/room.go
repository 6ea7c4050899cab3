package conns

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock/budget"
)

const (
	// freeBytes is what a response holds without a charge: the share of its caller's connection covers it.
	freeBytes = 16 << 10
	// maxRoomWait is how long a response waits for memory that others hold.
	maxRoomWait = 200 * time.Millisecond
	// roomPoll is the time between two tries while it waits.
	roomPoll = 10 * time.Millisecond
)

// ErrNoRoom means that there was no memory for a response, of which others hold too much. The backend server isn't at
// fault.
var ErrNoRoom = fmt.Errorf("no memory for the response: %w", ErrTooLarge)

// Room is the memory that one response holds of a budget. Its exported fields are set before the first call, and its methods
// must not be called concurrently.
type Room struct {
	// Budget is that of all responses; nil for no limit.
	Budget *budget.Budget
	// Yield is called, from another goroutine, when the response has to make room for others. If it is nil, the response
	// doesn't yield.
	Yield func()

	holder  *budget.Holder
	bytes   int64
	yielded atomic.Bool
}

// Set changes what the response holds, in bytes. If there is too little memory, it waits for a moment and then returns ErrNoRoom.
func (r *Room) Set(bytes int64) error {
	if r.Budget == nil || r.holder == nil && bytes <= freeBytes {
		return nil
	}
	now := time.Now()
	if bytes <= freeBytes {
		r.holder.End(now)
		r.bytes = 0
		return nil
	}
	// A response is never larger than the budget if no other needs memory.
	bytes = min(bytes, r.Budget.Bytes-r.Budget.Reserve)
	if bytes <= r.bytes {
		r.holder.Give(r.bytes - bytes)
		r.bytes = bytes
		return nil
	}
	if r.holder == nil {
		r.holder = r.Budget.Open(now, r.yield)
	}
	if r.holder == nil || !r.holder.Begin(now) || r.Yield == nil && !r.holder.Complete() || !r.take(bytes-r.bytes, now) {
		return ErrNoRoom
	}
	r.bytes = bytes
	return nil
}

// Bytes returns what the response holds beyond what is free, in bytes.
func (r *Room) Bytes() int64 { return r.bytes }

// take takes bytes and waits for them.
func (r *Room) take(bytes int64, now time.Time) bool {
	for until := now.Add(maxRoomWait); ; now = time.Now() {
		ok, wait := r.holder.Take(bytes, now)
		if ok || r.yielded.Load() || !now.Before(until) {
			return ok
		}
		t := time.NewTimer(roomPoll)
		select {
		case <-wait:
		case <-t.C:
		}
		t.Stop()
	}
}

func (r *Room) yield(budget.Reason) {
	r.yielded.Store(true)
	r.Yield()
}

// Close gives everything back. It reports whether Yield was or will be called.
func (r *Room) Close() bool {
	if r.holder == nil {
		return false
	}
	yields := !r.holder.Complete()
	r.holder.Close()
	r.holder, r.bytes = nil, 0
	return yields
}

// NewMemory returns the budget of all responses.
func NewMemory(limits budget.Limits) *budget.Budget {
	limits.Connections = math.MaxInt32
	return &budget.Budget{Limits: limits}
}

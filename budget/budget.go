package budget

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// state is what a connection is doing.
type state int

const (
	// idle connections have received nothing of a request.
	idle state = iota
	// incomplete requests have been received in part.
	incomplete
	// inProgress requests were received completely.
	inProgress
	closed
)

const (
	// youngTime is the age up to which an incomplete request doesn't yield its connection before an idle connection does.
	youngTime = time.Second
	// crowdedTime is how long connections aren't kept after one was refused.
	crowdedTime = time.Second
)

// Reason is why a client yields.
type Reason int

const (
	// ForBytes means that another request needs memory. The request is to be rejected.
	ForBytes Reason = iota
	// ForConnection means that another client needs a connection. The connection is to be closed at once.
	ForConnection
	// ForShutdown means that the process stops. The connection is to be closed at once.
	ForShutdown
)

// Budget is shared by connections and the requests on them. It answers a crowd of clients that send as much as they may, or
// stop before the end of what they send: without it they decide how much memory the process uses, and if the first to
// come were served first, ordinary requests would wait for the crowd's time-outs. Its exported fields are set before the
// first call, and its methods and those of its holders are safe for concurrent use.
type Budget struct {
	Limits

	mu      sync.Mutex
	holders map[*Holder]struct{}
	// connections is the number of open connections, and used the sum of what all holders are charged; large is
	// that of the holders with more than SmallBytes, and yielding that of those which were asked to yield.
	connections           int
	used, large, yielding int64
	// refusedAt is when a connection was last refused.
	refusedAt time.Time
	// released is closed when bytes are given back, and replaced.
	released chan struct{}
}

// Holder is one connection with the request on it.
type Holder struct {
	budget *Budget
	// yield is called when the holder has to yield, without locks held.
	yield func(Reason)
	state state
	// since is when the state began, for a request when its first byte was received.
	since time.Time
	bytes int64
	// yielded is set once the holder was asked to yield for bytes; it is reset with its request.
	yielded bool
	// used is set once a request has ended.
	used bool
}

// Usage is what is in use.
type Usage struct {
	Connections int
	Bytes       int64
}

// Usage returns what is in use now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Connections: b.connections, Bytes: b.used}
}

// Open adds a connection, for which another one yields if there are as many as allowed. It returns nil if none can.
// yield is called when the connection itself has to yield.
func (b *Budget) Open(now time.Time, yield func(Reason)) *Holder {
	b.mu.Lock()
	var victim *Holder
	if b.connections >= b.Connections {
		if victim = b.oldestConnection(now); victim == nil {
			b.refusedAt = now
			b.mu.Unlock()
			return nil
		}
		victim.closeLocked()
	}
	h := &Holder{budget: b, yield: yield, since: now}
	if b.holders == nil {
		b.holders = map[*Holder]struct{}{}
	}
	b.holders[h] = struct{}{}
	b.connections++
	b.mu.Unlock()
	if victim != nil {
		victim.yield(ForConnection)
	}
	return h
}

// oldestConnection returns the connection that yields first: the oldest incomplete request, unless it is young and another
// connection is idle, or else the one that has been idle for longest, or else nil.
func (b *Budget) oldestConnection(now time.Time) *Holder {
	var oldest [inProgress]*Holder
	for h := range b.holders {
		if h.state >= inProgress {
			continue
		}
		if o := oldest[h.state]; o == nil || h.since.Before(o.since) {
			oldest[h.state] = h
		}
	}
	request := oldest[incomplete]
	if request != nil && (oldest[idle] == nil || now.Sub(request.since) >= youngTime) {
		return request
	}
	return oldest[idle]
}

// CloseIdle closes the connections that have received nothing of a request: those on which a request has ended, and those
// that have been open for newTime.
func (b *Budget) CloseIdle(now time.Time, newTime time.Duration) {
	b.mu.Lock()
	var victims []*Holder
	for h := range b.holders {
		if h.state == idle && (h.used || now.Sub(h.since) >= newTime) {
			h.closeLocked()
			victims = append(victims, h)
		}
	}
	b.mu.Unlock()
	for _, h := range victims {
		h.yield(ForShutdown)
	}
}

// Crowded reports whether a connection was refused lately, because requests were in progress on all. Then connections
// should be closed after their request.
func (b *Budget) Crowded(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < crowdedTime
}

// Begin records that the first byte of a request was received. It returns false if the connection has yielded.
func (h *Holder) Begin(now time.Time) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.state == idle {
		h.state, h.since = incomplete, now
	}
	return h.state != closed
}

// Complete records that a request was received completely, so that it doesn't have to yield any more. It returns false if
// it has yielded before.
func (h *Holder) Complete() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.yielded || h.state == closed {
		return false
	}
	h.state = inProgress
	return true
}

// End records the end of a request; it gives back all that the request holds.
func (h *Holder) End(now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.state == closed {
		return
	}
	h.charge(-h.bytes)
	h.state, h.since, h.yielded, h.used = idle, now, false, true
}

// Close records that the connection was closed and that nothing holds what it held.
func (h *Holder) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.closeLocked()
	h.charge(-h.bytes)
	delete(h.budget.holders, h)
}

// closeLocked makes room for another connection. Until Close, what the holder's request takes stays charged.
func (h *Holder) closeLocked() {
	if h.state == closed {
		return
	}
	h.budget.connections--
	if !h.yielded {
		h.budget.yielding += h.bytes
	}
	h.state, h.yielded = closed, true
}

// Give gives bytes back.
func (h *Holder) Give(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.charge(-min(bytes, h.bytes))
}

// GiveAll gives back all bytes.
func (h *Holder) GiveAll() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.charge(-h.bytes)
}

// Take takes bytes for a request. If there are too few left, ok is false; then wait is a channel that is closed when some
// are given back, or nil if it is useless to wait.
func (h *Holder) Take(bytes int64, now time.Time) (ok bool, wait <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	if total := h.bytes + bytes; h.yielded || h.state == closed || total > SmallBytes && total > b.Bytes-b.Reserve {
		b.mu.Unlock()
		return false, nil
	}
	missing := h.missing(bytes)
	if missing <= 0 {
		h.charge(bytes)
		b.mu.Unlock()
		return true, nil
	}
	victims, enough := h.victims(bytes, missing, now)
	if !enough {
		b.mu.Unlock()
		return false, nil
	}
	for _, v := range victims {
		v.yielded = true
		b.yielding += v.bytes
	}
	if len(victims) > 0 {
		// Victims may wait themselves.
		b.wake()
	}
	if b.released == nil {
		b.released = make(chan struct{})
	}
	wait = b.released
	b.mu.Unlock()
	for _, v := range victims {
		v.yield(ForBytes)
	}
	return false, wait
}

// TakeUpTo takes bytes, but at most what a single request may hold, so that a request whose need was only estimated is
// served if no other needs the memory.
func (h *Holder) TakeUpTo(bytes int64, now time.Time) (ok bool, wait <-chan struct{}) {
	h.budget.mu.Lock()
	bytes = max(min(bytes, h.budget.Bytes-h.budget.Reserve-h.bytes), 0)
	h.budget.mu.Unlock()
	return h.Take(bytes, now)
}

// missing returns how many bytes have to be given back before the holder can take bytes.
func (h *Holder) missing(bytes int64) int64 {
	b := h.budget
	missing := b.used + bytes - b.Bytes
	if total := h.bytes + bytes; total > SmallBytes {
		large := b.large + total
		if h.bytes > SmallBytes {
			large -= h.bytes
		}
		missing = max(missing, large-(b.Bytes-b.Reserve))
	}
	return missing
}

// victims returns the incomplete requests that yield so that the holder can take bytes, of which some are missing, and
// whether that is enough. What has to yield already is counted as well.
func (h *Holder) victims(bytes, missing int64, now time.Time) (victims []*Holder, enough bool) {
	b := h.budget
	missing -= b.yielding
	if missing <= 0 {
		return nil, true
	}
	weigh := func(v *Holder, bytes int64) float64 { return float64(bytes) * now.Sub(v.since).Seconds() }
	own := weigh(h, h.bytes+bytes)
	for v := range b.holders {
		if v != h && v.state == incomplete && !v.yielded && weigh(v, v.bytes) > own {
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(v, w *Holder) int { return cmp.Compare(weigh(w, w.bytes), weigh(v, v.bytes)) })
	for n, v := range victims {
		if missing -= v.bytes; missing <= 0 {
			return victims[:n+1], true
		}
	}
	return nil, false
}

// charge adds bytes, which may be negative, to what the holder holds.
func (h *Holder) charge(bytes int64) {
	if bytes == 0 {
		return
	}
	b := h.budget
	before := h.bytes
	h.bytes += bytes
	b.used += bytes
	if before > SmallBytes {
		b.large -= before
	}
	if h.bytes > SmallBytes {
		b.large += h.bytes
	}
	if h.yielded {
		b.yielding += bytes
	}
	if bytes < 0 {
		b.wake()
	}
}

// wake has all that wait in vain try again.
func (b *Budget) wake() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

package stream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
)

// What can come of a record that was not acknowledged.
var (
	// ErrNotAppended proves that the record is not in the stream and never will be.
	ErrNotAppended = merry.New("record is not in the log")
	// ErrUnresolved leaves open whether the record is, or will be, in the stream.
	ErrUnresolved = merry.New("the log did not say whether it took the record")
)

const (
	// appendTimeout bounds one append: a connection that went silent must not hold the queue.
	appendTimeout   = 3 * time.Second
	backoffFirst    = 50 * time.Millisecond
	backoffLast     = 2 * time.Second
	defaultMaxBytes = 512 << 10
	// maxGroup bounds the records of one group that may have to be withdrawn.
	maxGroup = withdrawnMemory / 2
)

// BulkSource is a buffer that the writer empties into its appends.
type BulkSource interface {
	// Ready says that the buffer is worth an append of its own by now.
	Ready() bool
	// Fetch takes records of at most maxBytes out of the buffer; nil if there are none.
	Fetch(maxBytes int) *Bulk
}

// Bulk is what a BulkSource gives for one append.
type Bulk struct {
	Records [][]byte
	// Acked is called once the log has taken the records, with the offset of a copy.
	Acked func(offset int64)
}

// Writer appends records to one stream, many at a time, each counting once.
type Writer struct {
	// Log and Stream say where to append.
	Log    sardinerock.Log
	Stream string
	// ID must be drawn anew, at random, for each Writer.
	ID uint64
	// Budget may be nil.
	Budget *Budget
	// MaxBytes bounds one append; 0 means 512 KiB.
	MaxBytes int
	// Now may be nil.
	Now func() time.Time
	// Bulk holds records that can wait for each other; it may be nil.
	Bulk BulkSource
	// ReadsBack says that Observe is called for what this writer's tail reads; only then are withdrawals used.
	ReadsBack bool

	// Health may be shared by the writers of a process; it may be nil.
	Health *Health

	mu       sync.Mutex
	queue    []*pending
	last     uint64
	wake     chan struct{}
	inFlight *group
	stopped  bool
}

type pending struct {
	data   []byte
	number uint64
	// giveUp is when the writer begins to withdraw the record if its fate is open.
	giveUp time.Time
	// gone says that nobody waits for the record any more.
	gone   bool
	done   chan struct{}
	offset int64
	err    error
}

type group struct {
	pending []*pending
	bulk    *Bulk
	first   uint64
	// ambiguous says that at least one append of the group may have taken effect.
	ambiguous bool
	// seen says that a copy is there, at seenAt.
	seen   bool
	seenAt int64
	// withdrawn has a number once its withdrawal was tried.
	withdrawn map[uint64]bool
	// decided has a number once the tail has read which came first, the record (true) or its withdrawal.
	decided map[uint64]bool
}

// Append queues one record and waits for it.
func (w *Writer) Append(ctx context.Context, data []byte, giveUp time.Time) (int64, error) {
	return w.Queue(data, giveUp).Wait(ctx)
}

// Queue queues one record; records reach the stream in the order in which they
// were queued. A record whose fate is open at giveUp is withdrawn if the log
// lets us; a zero giveUp never withdraws.
func (w *Writer) Queue(data []byte, giveUp time.Time) *Ticket {
	p := &pending{data: data, giveUp: giveUp, done: make(chan struct{})}
	w.mu.Lock()
	if w.stopped {
		p.finish(0, ErrNotAppended)
	} else {
		w.queue = append(w.queue, p)
	}
	w.mu.Unlock()
	w.Wake()
	return &Ticket{w: w, p: p}
}

// Ticket stands for one queued record.
type Ticket struct {
	w *Writer
	p *pending
}

// Wait returns the offset of a copy of the record in the log. The error wraps
// ErrNotAppended or ErrUnresolved.
func (t *Ticket) Wait(ctx context.Context) (int64, error) {
	select {
	case <-t.p.done:
		return t.p.offset, t.p.err
	case <-ctx.Done():
		return t.w.abandon(t.p)
	}
}

// abandon ends the wait for p: a record that never went out is taken back for certain.
func (w *Writer) abandon(p *pending) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-p.done:
		return p.offset, p.err
	default:
	}
	p.gone = true
	at := slices.Index(w.queue, p)
	if at >= 0 {
		w.queue = slices.Delete(w.queue, at, at+1)
		return 0, ErrNotAppended
	}
	return 0, ErrUnresolved
}

// Wake makes the writer look for bulk records.
func (w *Writer) Wake() {
	select {
	case w.wakeup() <- struct{}{}:
	default:
	}
}

func (w *Writer) wakeup() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

// Run appends what is queued until ctx is done; what then was never sent is answered as not appended.
func (w *Writer) Run(ctx context.Context) error {
	defer w.stop()
	for {
		if !w.hasWork() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-w.wakeup():
			}
			continue
		}
		// The budget comes before the group is put together: what arrives while we wait shares the append.
		if err := w.Budget.Wait(ctx); err != nil {
			return err
		}
		if g := w.take(); g != nil {
			w.commit(ctx, g)
		}
	}
}

func (w *Writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, p := range w.queue {
		p.finish(0, ErrNotAppended)
	}
	w.queue = nil
}

func (w *Writer) hasWork() bool {
	w.mu.Lock()
	queued := len(w.queue) > 0
	w.mu.Unlock()
	return queued || (w.Bulk != nil && w.Bulk.Ready())
}

// take makes the next group: waiting records first, bulk in the room that is left.
func (w *Writer) take() *group {
	room := w.MaxBytes
	if room == 0 {
		room = defaultMaxBytes
	}
	w.mu.Lock()
	g := &group{decided: map[uint64]bool{}, withdrawn: map[uint64]bool{}}
	for len(w.queue) > 0 && len(g.pending) < maxGroup && (len(g.pending) == 0 || len(w.queue[0].data) <= room) {
		p := w.queue[0]
		w.queue = w.queue[1:]
		room -= len(p.data)
		g.pending = append(g.pending, p)
	}
	w.mu.Unlock()
	if w.Bulk != nil && room > 0 {
		g.bulk = w.Bulk.Fetch(room)
	}
	if len(g.pending) == 0 && g.bulk == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number(g)
	w.inFlight = g
	return g
}

func (w *Writer) number(g *group) {
	g.first = w.last + 1
	next := g.first
	for _, p := range g.pending {
		p.number = next
		next++
	}
	if g.bulk != nil {
		next += uint64(len(g.bulk.Records))
	}
	w.last = next - 1
}

// commit repeats the group's envelope until one copy is known to be there or nothing of it is wanted.
func (w *Writer) commit(ctx context.Context, g *group) {
	pause := backoffFirst
	for round := 0; ; round++ {
		if round > 0 {
			if !w.rest(ctx, pause) {
				w.close(g)
				return
			}
			pause = min(2*pause, backoffLast)
		}
		if w.settle(g) {
			return
		}
		_ = w.try(ctx, g)
		if w.settle(g) {
			return
		}
	}
}

func (w *Writer) rest(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	}
	return w.Budget.Wait(ctx) == nil
}

// try makes one append: the withdrawal of records that are given up, else the envelope.
func (w *Writer) try(ctx context.Context, g *group) error {
	e := w.envelope(g)
	if e == nil {
		return nil
	}
	data, err := proto.Marshal(e)
	if err != nil {
		return merry.Prepend(err, "encoding an envelope")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := w.Log.Append(ctx, w.Stream, data)
	w.Health.note(err, w.now())
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if !errors.Is(err, sardinerock.ErrLogRefused) && len(e.GetRecords()) > 0 {
			g.ambiguous = true
		}
		return err
	}
	if len(e.GetRecords()) > 0 {
		g.seen, g.seenAt = true, offset
	}
	return nil
}

// envelope returns what to append next, or nil if there is nothing. Withdrawals
// are repeated until the tail has read what came first: the copy that it would
// have read may be hidden behind a checkpoint that it started from again.
func (w *Writer) envelope(g *group) *Envelope {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &Envelope{Writer: w.ID, AtMs: w.now().UnixMilli()}
	for _, p := range g.pending {
		if w.mustWithdraw(g, p) {
			g.withdrawn[p.number] = true
			e.Withdrawn = append(e.Withdrawn, p.number)
		}
	}
	if !g.seen && (g.bulk != nil || len(g.withdrawn) < len(g.pending)) {
		e.First = g.first
		for _, p := range g.pending {
			e.Records = append(e.Records, p.data)
		}
		if g.bulk != nil {
			e.Records = append(e.Records, g.bulk.Records...)
		}
	}
	if len(e.GetRecords()) == 0 && len(e.GetWithdrawn()) == 0 {
		return nil
	}
	return e
}

// mustWithdraw says that p's fate is open and that it is given up.
func (w *Writer) mustWithdraw(g *group, p *pending) bool {
	if !w.ReadsBack || !g.ambiguous || !w.givenUp(p) {
		return false
	}
	_, known := g.decided[p.number]
	return !known && (g.withdrawn[p.number] || !g.seen)
}

func (w *Writer) givenUp(p *pending) bool {
	return !p.giveUp.IsZero() && (p.gone || !w.now().Before(p.giveUp))
}

// Observe takes what the writer's own tail read: which of its records count, and which withdrawals held.
func (w *Writer) Observe(e *Entry) {
	if e.Writer != w.ID {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.inFlight
	if g == nil {
		return
	}
	for i, r := range e.Records {
		n := e.First + uint64(i)
		if r == nil || n < g.first {
			continue
		}
		g.decided[n] = true
		g.seen, g.seenAt = true, e.Offset
	}
	for _, n := range e.Withdrawn {
		g.decided[n] = false
	}
	for _, n := range e.TooLate {
		if n < g.first {
			// An answer about an earlier group says nothing about this one's records.
			continue
		}
		g.decided[n] = true
		g.seen, g.seenAt = true, e.Offset
	}
}

// settle answers what is decided and reports whether the whole group is.
func (w *Writer) settle(g *group) bool {
	w.mu.Lock()
	open := g.pending[:0:0]
	var refused []*pending
	for _, p := range g.pending {
		counted, known := g.decided[p.number]
		switch {
		case known && !counted:
			p.finish(0, ErrNotAppended)
		case known, g.seen && !g.withdrawn[p.number]:
			p.finish(g.seenAt, nil)
		case !g.ambiguous && !g.seen && w.givenUp(p):
			refused = append(refused, p)
		default:
			open = append(open, p)
		}
	}
	if len(refused) > 0 {
		w.drop(g, refused, open)
	}
	whole := len(open) == 0 && (g.bulk == nil || g.seen)
	if whole {
		w.inFlight = nil
	}
	w.mu.Unlock()
	if whole && g.bulk != nil {
		g.bulk.Acked(g.seenAt)
	}
	return whole
}

// drop takes records that were refused, and so are not in the log, out of a group of which no copy can be there.
func (w *Writer) drop(g *group, refused, open []*pending) {
	for _, p := range refused {
		p.finish(0, ErrNotAppended)
	}
	g.pending = open
	w.last = g.first - 1
	w.number(g)
}

func (p *pending) finish(offset int64, err error) {
	select {
	case <-p.done:
	default:
		p.offset, p.err = offset, err
		close(p.done)
	}
}

// close answers what is still open when the writer stops.
func (w *Writer) close(g *group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range g.pending {
		if g.ambiguous {
			p.finish(0, ErrUnresolved)
		} else {
			p.finish(0, ErrNotAppended)
		}
	}
	w.inFlight = nil
}

func (w *Writer) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

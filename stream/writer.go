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

// The errors for a record that was not acknowledged.
var (
	// ErrNotAppended means that the record is not in the stream and never will be.
	ErrNotAppended = merry.New("record is not in the log")
	// ErrUnresolved means that the record may be in the stream or may appear there later.
	ErrUnresolved = merry.New("the log did not say whether it took the record")
)

const (
	// appendTimeout bounds one append: an unresponsive connection must not block the queue.
	appendTimeout   = 3 * time.Second
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
	defaultMaxBytes = 512 << 10
	// maxGroupRecords bounds the queued records in one group, and with them its
	// withdrawals, to half of what readers keep.
	maxGroupRecords = maxWithdrawn / 2
)

// BulkSource is a buffer from which the writer fills up its appends.
type BulkSource interface {
	// Ready reports whether the buffered records should be appended now.
	Ready() bool
	// Fetch removes records of at most maxBytes from the buffer; nil if it is empty.
	Fetch(maxBytes int) *Bulk
}

// Bulk is the part of a BulkSource that goes into one append.
type Bulk struct {
	Records [][]byte
	// Acked is called once the records are in the log, with the offset of a copy.
	Acked func(offset int64)
}

// Writer appends records to one stream in groups. Readers that use Seen get each
// acknowledged record exactly once.
type Writer struct {
	// Log and Stream are the log and the stream to append to.
	Log    sardinerock.Log
	Stream string
	// ID must be a new random number for each Writer.
	ID uint64
	// Budget limits the rate of appends; nil means no limit.
	Budget *Budget
	// MaxBytes bounds one append; 0 means 512 KiB.
	MaxBytes int
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Bulk holds records that are appended in batches; it may be nil.
	Bulk BulkSource
	// ReadsBack says that Observe is called with each entry of a Tail of this
	// stream. Without it no records are withdrawn.
	ReadsBack bool

	// Health records the results of appends; the writers of a process may share it. It may be nil.
	Health *Health

	mu         sync.Mutex
	queue      []*pending
	lastNumber uint64
	wake       chan struct{}
	inFlight   *group
	stopped    bool
}

type pending struct {
	data   []byte
	number uint64
	// giveUpAt is when the writer gives the record up: it withdraws it if an
	// append may have taken effect. Zero means never.
	giveUpAt time.Time
	// abandoned says that no caller waits for the record any more.
	abandoned bool
	done      chan struct{}
	offset    int64
	err       error
}

type group struct {
	pending []*pending
	bulk    *Bulk
	first   uint64
	// ambiguous says that at least one append of the group may have taken effect.
	ambiguous bool
	// appended says that a copy is in the log, at offset.
	appended bool
	offset   int64
	// withdrawalTried holds the numbers for which a withdrawal was sent.
	withdrawalTried map[uint64]bool
	// resolved holds the numbers for which the tail has read what came first: the
	// record (true) or its withdrawal (false).
	resolved map[uint64]bool
}

// Append queues one record and waits for its result; see Queue and Ticket.Wait.
func (w *Writer) Append(ctx context.Context, data []byte, giveUpAt time.Time) (int64, error) {
	return w.Queue(data, giveUpAt).Wait(ctx)
}

// Queue queues one record; records are appended in the order of their calls. A
// record that is not acknowledged by giveUpAt is given up, and withdrawn if it
// may be in the log; with a zero giveUpAt it is retried until it is
// acknowledged or the writer stops.
func (w *Writer) Queue(data []byte, giveUpAt time.Time) *Ticket {
	p := &pending{data: data, giveUpAt: giveUpAt, done: make(chan struct{})}
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

// Ticket is the handle of one queued record.
type Ticket struct {
	w *Writer
	p *pending
}

// Wait waits until the record is acknowledged or given up, or ctx is done, and
// returns the offset of a copy of the record. The error is ErrNotAppended or
// ErrUnresolved.
func (t *Ticket) Wait(ctx context.Context) (int64, error) {
	select {
	case <-t.p.done:
		return t.p.offset, t.p.err
	case <-ctx.Done():
		return t.w.abandon(t.p)
	}
}

// abandon ends the wait for p. A record that was not sent yet is removed from the
// queue; the result of any other is unresolved.
func (w *Writer) abandon(p *pending) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-p.done:
		return p.offset, p.err
	default:
	}
	p.abandoned = true
	at := slices.Index(w.queue, p)
	if at >= 0 {
		w.queue = slices.Delete(w.queue, at, at+1)
		return 0, ErrNotAppended
	}
	return 0, ErrUnresolved
}

// Wake makes the writer check its queue and Bulk for work.
func (w *Writer) Wake() {
	select {
	case w.wakeChannel() <- struct{}{}:
	default:
	}
}

func (w *Writer) wakeChannel() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	return w.wake
}

// Run appends queued records until ctx is done. Records still in the queue then
// end with ErrNotAppended.
func (w *Writer) Run(ctx context.Context) error {
	defer w.stop()
	for {
		if !w.hasWork() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-w.wakeChannel():
			}
			continue
		}
		// The group is formed after the wait for the budget, so that records queued
		// meanwhile go into the same append.
		if err := w.Budget.Wait(ctx); err != nil {
			return err
		}
		if g := w.nextGroup(); g != nil {
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

// nextGroup takes queued records and fills the remaining bytes from Bulk; it
// returns nil if there is nothing to append.
func (w *Writer) nextGroup() *group {
	room := w.MaxBytes
	if room == 0 {
		room = defaultMaxBytes
	}
	w.mu.Lock()
	g := &group{resolved: map[uint64]bool{}, withdrawalTried: map[uint64]bool{}}
	for len(w.queue) > 0 && len(g.pending) < maxGroupRecords && (len(g.pending) == 0 || len(w.queue[0].data) <= room) {
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
	w.assignNumbers(g)
	w.inFlight = g
	return g
}

func (w *Writer) assignNumbers(g *group) {
	g.first = w.lastNumber + 1
	next := g.first
	for _, p := range g.pending {
		p.number = next
		next++
	}
	if g.bulk != nil {
		next += uint64(len(g.bulk.Records))
	}
	w.lastNumber = next - 1
}

// commit repeats the append of the group until every record of it is resolved or ctx is done.
func (w *Writer) commit(ctx context.Context, g *group) {
	pause := minBackoff
	for round := 0; ; round++ {
		if round > 0 {
			if !w.backOff(ctx, pause) {
				w.closeGroup(g)
				return
			}
			pause = min(2*pause, maxBackoff)
		}
		if w.resolve(g) {
			return
		}
		_ = w.appendNext(ctx, g)
		if w.resolve(g) {
			return
		}
	}
}

func (w *Writer) backOff(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	}
	return w.Budget.Wait(ctx) == nil
}

// appendNext makes one append with the withdrawals and records that are due.
func (w *Writer) appendNext(ctx context.Context, g *group) error {
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
	w.Health.record(err, w.now())
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if !errors.Is(err, sardinerock.ErrLogRefused) && len(e.GetRecords()) > 0 {
			g.ambiguous = true
		}
		return err
	}
	if len(e.GetRecords()) > 0 {
		g.appended, g.offset = true, offset
	}
	return nil
}

// envelope returns what to append next, or nil if there is nothing. Withdrawals
// are repeated until the tail has read the record or a withdrawal: a tail that
// restarted from a later checkpoint does not read the earlier copies.
func (w *Writer) envelope(g *group) *Envelope {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &Envelope{Writer: w.ID, AtMs: w.now().UnixMilli()}
	for _, p := range g.pending {
		if w.mustWithdraw(g, p) {
			g.withdrawalTried[p.number] = true
			e.Withdrawn = append(e.Withdrawn, p.number)
		}
	}
	if !g.appended && (g.bulk != nil || len(g.withdrawalTried) < len(g.pending)) {
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

// mustWithdraw reports whether p is given up but may be in the log.
func (w *Writer) mustWithdraw(g *group, p *pending) bool {
	if !w.ReadsBack || !g.ambiguous || !w.expired(p) {
		return false
	}
	_, known := g.resolved[p.number]
	return !known && (g.withdrawalTried[p.number] || !g.appended)
}

func (w *Writer) expired(p *pending) bool {
	return !p.giveUpAt.IsZero() && (p.abandoned || !w.now().Before(p.giveUpAt))
}

// Observe processes an entry read by the Tail of this stream: accepted records
// and withdrawals of this writer resolve records of the group in flight.
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
		g.resolved[n] = true
		g.appended, g.offset = true, e.Offset
	}
	for _, n := range e.Withdrawn {
		g.resolved[n] = false
	}
	for _, n := range e.TooLate {
		if n < g.first {
			// The withdrawal belongs to an earlier group and resolves no record of this one.
			continue
		}
		g.resolved[n] = true
		g.appended, g.offset = true, e.Offset
	}
}

// resolve finishes the records whose result is known and reports whether the
// whole group is finished.
func (w *Writer) resolve(g *group) bool {
	w.mu.Lock()
	open := g.pending[:0:0]
	var refused []*pending
	for _, p := range g.pending {
		accepted, known := g.resolved[p.number]
		switch {
		case known && !accepted:
			p.finish(0, ErrNotAppended)
		case known, g.appended && !g.withdrawalTried[p.number]:
			p.finish(g.offset, nil)
		case !g.ambiguous && !g.appended && w.expired(p):
			refused = append(refused, p)
		default:
			open = append(open, p)
		}
	}
	if len(refused) > 0 {
		w.removeRefused(g, refused, open)
	}
	finished := len(open) == 0 && (g.bulk == nil || g.appended)
	if finished {
		w.inFlight = nil
	}
	w.mu.Unlock()
	if finished && g.bulk != nil {
		g.bulk.Acked(g.offset)
	}
	return finished
}

// removeRefused removes given-up records from a group whose appends were all
// refused, so that no copy of it can be in the log, and renumbers the rest.
func (w *Writer) removeRefused(g *group, refused, open []*pending) {
	for _, p := range refused {
		p.finish(0, ErrNotAppended)
	}
	g.pending = open
	w.lastNumber = g.first - 1
	w.assignNumbers(g)
}

func (p *pending) finish(offset int64, err error) {
	select {
	case <-p.done:
	default:
		p.offset, p.err = offset, err
		close(p.done)
	}
}

// closeGroup finishes the unresolved records when the writer stops.
func (w *Writer) closeGroup(g *group) {
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

package saved

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// retention is how long verdicts count, as in packages crash and blame.
	retention = 30 * time.Minute
	// expiryInterval is the time between two checks for verdicts that no longer count.
	expiryInterval = time.Minute
	// keysPerKind bounds the records of each kind, whatever callers send. Those of both kinds fit into one page of the store.
	keysPerKind = 240
	// chargeTimeout bounds the time that a trial waits to be on record. A slow store takes 0.25 s.
	chargeTimeout = 500 * time.Millisecond
	// maxConflicts is the number of appends by others after which one is given up until the next try.
	maxConflicts = 5
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// errNotLoaded means that it isn't known yet what is on record.
var errNotLoaded = errors.New("saved: verdicts aren't loaded yet")

// Verdicts keeps verdicts in a topic of the store. It implements sardinerock.VerdictStore. Its exported fields are set before Prepare.
type Verdicts struct {
	Store sardinerock.Store
	// Topic is the name of the compacted topic.
	Topic string
	// Restore is called for each verdict on record, once, before Run begins to write.
	Restore func(v sardinerock.Verdict)
	// Owns reports whether this entry, of all live ones, deletes the old verdicts of a key; nil means always.
	Owns func(key string) bool
	// Now returns the wall-clock time, which entries share up to some seconds; nil selects time.Now.
	Now     func() time.Time
	Events  *event.Logger
	Metrics metrics.Registry

	// appends holds a token during an append: a later one must not overtake it.
	appends chan struct{}
	wake    chan struct{}
	loaded  chan struct{}
	// end is the known end of the topic. It is used with the token of appends only.
	end int64

	mu sync.Mutex
	// known holds what this entry has read, or has written or will write, by the key of the record.
	known map[string]document
	// pending holds the keys that are to be written, to delete them where known has none.
	pending map[string]bool
}

// document is the value of a record.
type document struct {
	Key    uint64   `cbor:"1,keyasint"`
	Causes []uint64 `cbor:"2,keyasint,omitempty"`
	Count  int      `cbor:"3,keyasint"`
	// Latest is the time of the latest failure, in milliseconds since 1970.
	Latest int64 `cbor:"4,keyasint"`
}

func (d *document) same(v *sardinerock.Verdict) bool {
	return d.Key == v.Key && slices.Equal(d.Causes, v.Causes)
}

// age returns the time since the latest failure. Clocks differ and may be set: an age isn't negative.
func (d *document) age(now time.Time) time.Duration {
	return max(now.Sub(time.UnixMilli(d.Latest)), 0)
}

// recordKey returns the key of the record of a verdict. There are few, so that verdicts may share one; the latest is on record.
func recordKey(v *sardinerock.Verdict) string {
	kind := "request"
	if len(v.Causes) > 0 {
		kind = "part"
	}
	return kind + strconv.FormatUint(v.Key%keysPerKind, 10)
}

// Prepare initializes s. It is called once, before all other methods.
func (s *Verdicts) Prepare() {
	s.appends, s.wake, s.loaded = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	s.known, s.pending = map[string]document{}, map[string]bool{}
	if s.Now == nil {
		s.Now = time.Now
	}
}

// Put implements sardinerock.VerdictStore.
func (s *Verdicts) Put(v sardinerock.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := recordKey(&v)
	if old, ok := s.known[key]; ok && old.same(&v) && old.Count >= v.Count {
		return
	}
	s.set(key, s.document(&v))
}

// Delete implements sardinerock.VerdictStore.
func (s *Verdicts) Delete(v sardinerock.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := recordKey(&v)
	if old, ok := s.known[key]; ok && !old.same(&v) {
		// Another verdict has replaced it.
		return
	}
	s.remove(key)
}

func (s *Verdicts) set(key string, d document) {
	s.known[key] = d
	s.markPending(key)
}

func (s *Verdicts) remove(key string) {
	delete(s.known, key)
	s.markPending(key)
}

func (s *Verdicts) markPending(key string) {
	s.pending[key] = true
	select {
	case s.wake <- struct{}{}:
	default:
		// A wake-up is pending already.
	}
}

func (s *Verdicts) document(v *sardinerock.Verdict) document {
	return document{Key: v.Key, Causes: v.Causes, Count: v.Count, Latest: s.Now().Add(-v.Age).UnixMilli()}
}

// Charge implements sardinerock.VerdictStore.
func (s *Verdicts) Charge(ctx context.Context, v sardinerock.Verdict) error {
	select {
	case <-s.loaded:
	default:
		return errNotLoaded
	}
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	select {
	case s.appends <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.appends }()
	key, d := recordKey(&v), s.document(&v)
	r, err := encode(key, &d)
	if err != nil {
		return err
	}
	undo := s.begin(key, d)
	if err := s.append(ctx, []sardinerock.StoreRecord{r}); err != nil {
		undo()
		s.count("saved.chargeFailed")
		s.Events.Warn(event.VerdictSaved).Uint64("key", v.Key).Int("count", v.Count).Err(err).Msg("trial isn't on record; it isn't sent")
		return err
	}
	s.count("saved.charged")
	s.Events.Info(event.VerdictSaved).Uint64("key", v.Key).Int("count", v.Count).Msg("trial is on record")
	return nil
}

// begin replaces what is known of a key while a charge is appended; undo restores it. A change meanwhile is written afterwards.
func (s *Verdicts) begin(key string, d document) (undo func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, had := s.known[key]
	pending := s.pending[key]
	s.known[key] = d
	delete(s.pending, key)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.pending[key] {
			return
		}
		if delete(s.known, key); had {
			s.known[key] = old
		}
		if pending {
			s.markPending(key)
		}
	}
}

// Run reads the verdicts on record, and then writes changes, until ctx ends.
func (s *Verdicts) Run(ctx context.Context) {
	for pause := minBackoff; s.load(ctx) != nil; pause = min(2*pause, maxBackoff) {
		if !await.Sleep(ctx, pause) {
			return
		}
	}
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.expire()
		case <-s.wake:
		}
		for pause := minBackoff; s.flush(ctx) != nil; pause = min(2*pause, maxBackoff) {
			if !await.Sleep(ctx, pause) {
				return
			}
		}
	}
}

// AwaitLoaded returns once the verdicts on record were read, or with the error of ctx.
func (s *Verdicts) AwaitLoaded(ctx context.Context) error {
	select {
	case <-s.loaded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Verdicts) load(ctx context.Context) error {
	var records []sardinerock.StoreRecord
	for after := ""; ; {
		page, err := s.Store.Newest(ctx, s.Topic, after)
		if err != nil {
			s.count("saved.loadFailed")
			s.Events.Warn(event.VerdictSaved).Str("topic", s.Topic).Err(err).Msg("verdicts on what ends backend servers can't be read")
			return err
		}
		if after == "" {
			s.end = page.End
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	for _, r := range records {
		s.restore(&r)
	}
	close(s.loaded)
	s.expire()
	return nil
}

// restore passes on a verdict that was read, unless this entry has decided on its key meanwhile.
func (s *Verdicts) restore(r *sardinerock.StoreRecord) {
	if r.Value == nil {
		return
	}
	var d document
	if err := cbor.Unmarshal(r.Value, &d); err != nil {
		s.Events.Warn(event.VerdictSaved).Str("record", r.Key).Int64("offset", r.Offset).Err(err).Msg("verdict can't be read; ignored")
		return
	}
	age := d.age(s.Now())
	if !s.adopt(r.Key, &d) || age > retention {
		return
	}
	s.count("saved.restored")
	s.Events.Info(event.VerdictSaved).Uint64("key", d.Key).Int("causes", len(d.Causes)).Int("count", d.Count).Dur("age", age).Int64("offset", r.Offset).
		Msg("verdict restored")
	s.Restore(sardinerock.Verdict{Key: d.Key, Causes: d.Causes, Count: d.Count, Age: age})
}

// adopt takes over a record that was read. It returns false if this entry is to replace it by another verdict, or to delete it.
func (s *Verdicts) adopt(key string, d *document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, ok := s.known[key]
	switch {
	case !s.pending[key]:
		s.known[key] = *d
		return true
	case !ok || own.Key != d.Key || !slices.Equal(own.Causes, d.Causes):
		return false
	}
	// Both count failures one after the other; those on record may include trials of earlier processes.
	own.Count, own.Latest = max(own.Count, d.Count), max(own.Latest, d.Latest)
	s.known[key] = own
	return true
}

// expire deletes the verdicts that no longer count.
func (s *Verdicts) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, d := range s.known {
		if d.age(s.Now()) <= retention {
			continue
		}
		if s.Owns == nil || s.Owns(key) {
			s.remove(key)
		} else {
			delete(s.known, key)
		}
	}
}

// flush writes what is pending.
func (s *Verdicts) flush(ctx context.Context) error {
	select {
	case s.appends <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.appends }()
	s.mu.Lock()
	keys := slices.Sorted(maps.Keys(s.pending))
	records := make([]sardinerock.StoreRecord, 0, len(keys))
	for _, key := range keys {
		r := sardinerock.StoreRecord{Key: key}
		if d, ok := s.known[key]; ok {
			var err error
			if r, err = encode(key, &d); err != nil {
				s.Events.Warn(event.VerdictSaved).Str("record", key).Err(err).Msg("verdict can't be encoded; it isn't kept")
				continue
			}
		}
		records = append(records, r)
	}
	clear(s.pending)
	s.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	err := s.append(ctx, records)
	if err != nil {
		s.count("saved.writeFailed")
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, key := range keys {
			s.pending[key] = true
		}
	} else {
		s.count("saved.written")
	}
	s.Events.Info(event.VerdictSaved).Strs("records", keys).Err(err).Msg("verdicts written")
	return err
}

// append appends records on condition that the topic ends where this entry assumes: an append whose answer was lost can then no
// longer be executed after a later one. It is called with the token of appends.
func (s *Verdicts) append(ctx context.Context, records []sardinerock.StoreRecord) error {
	for range maxConflicts {
		end, err := s.Store.AppendAt(ctx, s.Topic, s.end, records)
		if errors.Is(err, sardinerock.ErrStoreConflict) {
			s.end = end
			continue
		}
		if err == nil {
			s.end = end
		}
		return err
	}
	return sardinerock.ErrStoreConflict
}

func encode(key string, d *document) (sardinerock.StoreRecord, error) {
	raw, err := cbor.Marshal(d)
	if err != nil {
		return sardinerock.StoreRecord{}, fmt.Errorf("saved: verdict %x: %w", d.Key, err)
	}
	return sardinerock.StoreRecord{Key: key, Value: raw}, nil
}

func (s *Verdicts) count(name string) {
	metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
}

package watch

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/clock"
)

// loading is the state of an incomplete load.
type loading struct {
	// sent is when the read that determined end was sent.
	sent clock.Instant
	// end is the offset up to which the load covers the topic, and after the last key that was read.
	end     int64
	after   string
	records []sardinerock.StoreRecord
	// storeRecovered is set if a page reports that the store was unavailable.
	storeRecovered bool
	// truncated is set once the topic's first records are known to be deleted.
	truncated bool
}

// add adds the records that precede the end of the topic at the first page. Pages are no
// snapshot: a later one may hold a record of which the predecessors were appended
// too late for an earlier page, such as a result without the first part of its
// text. All records after that end are read again, in order.
func (l *loading) add(records []sardinerock.StoreRecord) {
	for _, r := range records {
		if r.Offset < l.end {
			l.records = append(l.records, r)
		}
	}
}

// load reads the newest record of each key. If a page fails, the pages before it are kept for the
// next call: after a restart of all entries they load at the same time, pages are slow, and a load that
// started over after each failure would never complete.
func (f *Follower) load(ctx context.Context) error {
	if err := acquire(ctx, f.loads); err != nil {
		return err
	}
	defer release(f.loads)
	l := f.loading
	if l == nil || time.Since(l.sent.Time) > maxLoadAge {
		l = &loading{sent: clock.Now()}
		f.loading = l
	}
	if len(l.records) == 0 && f.loadFromLoader(ctx) == nil {
		return nil
	}
	if f.WriteOnce && !l.truncated {
		err := f.loadFromStart(ctx, l)
		if !errors.Is(err, sardinerock.ErrStoreGap) {
			return err
		}
		*l = loading{sent: clock.Now(), truncated: true}
	}
	for {
		page, err := f.Store.Newest(ctx, f.Topic, l.after)
		if err != nil {
			return err
		}
		if l.after == "" {
			l.end, l.sent = page.End, l.sent.Earlier(page.Age)
		}
		l.storeRecovered = l.storeRecovered || page.StoreRecovered
		l.add(page.Records)
		f.applyPartial(page.Records)
		if !page.More || len(page.Records) == 0 {
			break
		}
		l.after = page.Records[len(page.Records)-1].Key
	}
	f.loading = nil
	return f.finishLoad(l)
}

// errNoLoader means that Loader isn't set.
var errNoLoader = errors.New("watch: no loader set")

// loadFromLoader applies all records from Loader.
func (f *Follower) loadFromLoader(ctx context.Context) error {
	if f.Loader == nil {
		return errNoLoader
	}
	sent := clock.Now()
	page, err := f.Loader(ctx)
	if err != nil {
		return err
	}
	l := &loading{sent: sent.Earlier(page.Age), end: page.End, storeRecovered: page.StoreRecovered}
	l.add(page.Records)
	f.loading = nil
	return f.finishLoad(l)
}

// applyPartial passes a page of the first load to ApplyPartial.
func (f *Follower) applyPartial(records []sardinerock.StoreRecord) {
	if f.ApplyPartial == nil || len(records) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		f.ApplyPartial(records)
		f.partlyLoaded = true
	}
}

// Usable reports whether the topic is loaded, or part of it was passed to ApplyPartial.
func (f *Follower) Usable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded || f.partlyLoaded
}

// loadFromStart reads the records from the first one on. They are applied in one call: a result that
// is applied before the step that it builds on is ignored.
func (f *Follower) loadFromStart(ctx context.Context, l *loading) error {
	for {
		sent := clock.Now()
		page, err := f.Store.Read(ctx, f.Topic, l.end, 0)
		if err != nil {
			return err
		}
		l.records = append(l.records, page.Records...)
		l.end += int64(len(page.Records))
		l.sent = sent
		if l.end >= page.End {
			f.loading = nil
			return f.finishLoad(l)
		}
		if len(page.Records) == 0 {
			return errStale
		}
	}
}

func (f *Follower) finishLoad(l *loading) error {
	sort.Slice(l.records, func(i, j int) bool { return l.records[i].Offset < l.records[j].Offset })
	f.readSucceeded(l.storeRecovered, time.Since(l.sent.Time))
	f.mu.Lock()
	defer f.mu.Unlock()
	// A stale answer must not undo records that are already applied.
	if f.loaded && l.end < f.next {
		return errStale
	}
	f.Apply(l.records, true)
	f.loaded = true
	f.advance(l.end, l.sent)
	return nil
}

package share

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// maxRecent is the number of records kept for reads from an offset; a reader that is
	// further behind reads the newest record of each key.
	maxRecent = 2000
	// recoveryNotice is how long replies carry the flag that the store has recovered.
	recoveryNotice = 2 * time.Second
)

// errBehind means that this entry hasn't read the requested offset yet.
var errBehind = errors.New("share: topic not read up to the requested offset")

// Feed keeps what this entry has read of a topic and serves it to other entries.
type Feed struct {
	// Next returns the offset up to which the topic was read, and Age how long ago that was
	// proven to be the end of the topic; false before the topic was read.
	Next func() int64
	Age  func() (time.Duration, bool)
	// MaxAge is the age from which on a read returns at once without records: the reader
	// may have newer information.
	MaxAge time.Duration

	mu sync.Mutex
	// recoveredAt is when the store was last found readable after an outage.
	recoveredAt time.Time
	newest      map[string]sardinerock.StoreRecord
	// recent are the last records, in the order of their offsets and without a gap.
	recent []sardinerock.StoreRecord
	// changed is closed and replaced when records are applied.
	changed chan struct{}
}

// Prepare must be called once before all other methods.
func (f *Feed) Prepare() {
	f.newest, f.changed = map[string]sardinerock.StoreRecord{}, make(chan struct{})
}

// StoreRecovered records that the store can be read again after an outage.
func (f *Feed) StoreRecovered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recoveredAt = time.Now()
}

// Apply appends records that were read, or replaces all records if reset is set; it has
// the signature of a follower's Apply.
func (f *Feed) Apply(records []sardinerock.StoreRecord, reset bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reset {
		f.newest, f.recent = map[string]sardinerock.StoreRecord{}, nil
	} else {
		f.recent = append(f.recent, records...)
		f.recent = f.recent[max(len(f.recent)-maxRecent, 0):]
	}
	for _, r := range records {
		if r.Value == nil {
			delete(f.newest, r.Key)
		} else {
			f.newest[r.Key] = r
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Read returns the records from an offset on. If there are none, it waits for the first one
// at most the given time, and no longer than until the age reaches MaxAge. The error is
// sardinerock.ErrStoreGap if records from the offset on are no longer kept, and errBehind if
// the topic hasn't been read up to the offset.
func (f *Feed) Read(ctx context.Context, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for mayWait := wait > 0; ; {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		page, err := f.since(from)
		if err != nil || len(page.Records) > 0 || !mayWait || page.Age >= f.MaxAge {
			return page, err
		}
		aged := time.NewTimer(f.MaxAge - page.Age)
		select {
		case <-ctx.Done():
			aged.Stop()
			return page, ctx.Err()
		case <-timeout.C:
			mayWait = false
		case <-aged.C:
		case <-changed:
		}
		aged.Stop()
	}
}

// since returns the known records from an offset on without waiting.
func (f *Feed) since(from int64) (sardinerock.StorePage, error) {
	// The age is read before the end: a read of the topic in between makes the page newer
	// than its age says, never older.
	age, read := f.Age()
	end := f.Next()
	if !read || from > end {
		return sardinerock.StorePage{}, errBehind
	}
	page := sardinerock.StorePage{End: end, Age: age}
	f.mu.Lock()
	defer f.mu.Unlock()
	page.StoreRecovered = time.Since(f.recoveredAt) < recoveryNotice
	if from == end {
		return page, nil
	}
	if len(f.recent) == 0 || f.recent[0].Offset > from {
		return page, sardinerock.ErrStoreGap
	}
	for _, r := range f.recent {
		if r.Offset >= from && r.Offset < end {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// Newest returns the newest record of each key; the error is errBehind before the topic
// was read.
func (f *Feed) Newest() (sardinerock.StorePage, error) {
	age, read := f.Age()
	end := f.Next()
	if !read {
		return sardinerock.StorePage{}, errBehind
	}
	page := sardinerock.StorePage{End: end, Age: age}
	f.mu.Lock()
	defer f.mu.Unlock()
	page.StoreRecovered = time.Since(f.recoveredAt) < recoveryNotice
	for _, r := range f.newest {
		// A record that was applied after end was read has a later offset; the next read
		// returns it again.
		page.Records = append(page.Records, r)
	}
	return page, nil
}

package origin

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// recordOverhead is how many bytes of a record its key and the names of its origins may take, and streamBytes what a
	// stream takes.
	recordOverhead = 400
	streamBytes    = 20
	// maxRecordStreams bounds what an append writes again for one more stream.
	maxRecordStreams = 100
	// retryDelay is the time between two tries to append a record.
	retryDelay = 30 * time.Millisecond
	// failureTime is for how long after a failed append streams begin where they need no record.
	failureTime = time.Second
	// slowAppend is the time after which an append without an answer counts as failing.
	slowAppend = 300 * time.Millisecond
	// cleanInterval is the time between two removals of records whose streams have all ended.
	cleanInterval = 30 * time.Second
)

// Streams keeps in the store at which version a stream began, for streams whose version doesn't follow from the record of
// their service. An entry writes the streams that it begins into few records of its own. Its exported fields are set
// before use.
type Streams struct {
	Store sardinerock.Store
	Topic string
	// Process is unique to this process.
	Process string
	// Partitions is the number of partitions over which processes are spread, since one executes an append at a time.
	Partitions int
	// RecordBytes is the maximum size of a record.
	RecordBytes int
	// Writes reports whether this entry, of all live ones, removes old records from a topic; nil means always.
	Writes  func(topic string) bool
	Events  *event.Logger
	Metrics metrics.Registry

	reads coalesced[map[uint64]recordedStream]

	mu sync.Mutex
	// chunks are the contents of the records of this process that are still written, nextKey the number of the next one.
	chunks  []*streamChunk
	nextKey int
	// waiting holds the streams that the next append records.
	waiting   []*unrecorded
	appending bool
	// used is set once records were written or read.
	used bool
	// failedAt is when the last append failed, sentAt when the present one was sent; zero if there is none.
	failedAt, sentAt time.Time
}

// unrecorded is a stream whose first event waits for its record.
type unrecorded struct {
	streamRow
	origin sardinerock.Origin
	done   chan error
	// sent is set while an append with the stream is in progress, unclear once one may have been executed, abandoned
	// once nothing waits for it.
	sent, unclear, abandoned bool
}

// recordedStream is a stream as its record has it; its origin is unknown if there are two.
type recordedStream struct {
	origin sardinerock.Origin
	// until is when the stream can't be resumed any more, by the clock of the entry that began it.
	until time.Time
}

// streamChunk is the content of a record.
type streamChunk struct {
	// key is the number of the record.
	key     int
	Origins []originRow `cbor:"1,keyasint"`
	Streams []streamRow `cbor:"2,keyasint"`
}

type originRow struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
}

type streamRow struct {
	_      struct{} `cbor:",toarray"`
	Stream uint64
	// Origin is an index into the origins of the record.
	Origin int
	// Until is when the stream can't be resumed any more, in Unix seconds.
	Until int64
}

var (
	// errNotRecorded means that a stream has no record and won't get one.
	errNotRecorded = errors.New("origin: the stream can't be recorded")
	// errOriginMissing means that a record names no origin for a stream.
	errOriginMissing = errors.New("origin: record of a stream without its origin")
	// errMayBeRecorded means that a stream may have a record, or may still get one.
	errMayBeRecorded = errors.New("origin: it isn't known whether the stream is recorded")
)

// record returns once a stream is recorded. After errNotRecorded it may begin at another version.
func (s *Streams) record(ctx context.Context, stream uint64, o sardinerock.Origin, until time.Time) error {
	u := &unrecorded{streamRow: streamRow{Stream: stream, Until: until.Unix() + 1}, origin: o, done: make(chan error, 1)}
	s.mu.Lock()
	s.waiting = append(s.waiting, u)
	s.used = true
	if !s.appending {
		s.appending = true
		go s.appendAll()
	}
	s.mu.Unlock()
	select {
	case err := <-u.done:
		return err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u.abandoned = true
	if u.sent || u.unclear {
		return errMayBeRecorded
	}
	return errNotRecorded
}

// appendAll appends the streams that wait, with one append at a time, until there are none.
func (s *Streams) appendAll() {
	for {
		s.mu.Lock()
		batch := s.takeWaiting()
		if len(batch) == 0 {
			s.appending = false
			s.mu.Unlock()
			return
		}
		changed, records, err := s.fill(batch, time.Now())
		s.sentAt = time.Now()
		s.mu.Unlock()
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
			_, err = s.Store.Append(ctx, s.ownPartition(), records)
			cancel()
		}
		s.finish(batch, changed, err)
		if err != nil {
			time.Sleep(retryDelay)
		}
	}
}

// takeWaiting returns the streams to append and marks them as sent. One that may begin at another version now is no longer
// part of any record.
func (s *Streams) takeWaiting() []*unrecorded {
	var batch []*unrecorded
	for _, u := range s.waiting {
		switch {
		case !u.abandoned:
			u.sent = true
			batch = append(batch, u)
		case !u.unclear:
			for _, c := range s.chunks {
				c.Streams = slices.DeleteFunc(c.Streams, func(row streamRow) bool { return row.Stream == u.Stream })
			}
		}
	}
	s.waiting = nil
	return batch
}

// finish ends the wait for streams that were appended; others wait for the next append.
func (s *Streams) finish(batch []*unrecorded, changed []*streamChunk, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt = time.Time{}
	if err == nil {
		s.failedAt = time.Time{}
		s.count("origins.recorded")
		for _, u := range batch {
			u.done <- nil
		}
		return
	}
	s.failedAt = time.Now()
	s.count("origins.recordFailed")
	s.Events.Info(event.AppendFailed).Str("topic", s.Topic).Int("streams", len(batch)).Err(err).Msg("streams could not be recorded; retried while they wait")
	if !errors.Is(err, sardinerock.ErrStoreRefused) {
		// The append may be executed after later ones, so its records aren't written again: it would remove what they add.
		s.chunks = slices.DeleteFunc(s.chunks, func(c *streamChunk) bool { return slices.Contains(changed, c) })
	}
	for _, u := range batch {
		u.sent, u.unclear = false, u.unclear || !errors.Is(err, sardinerock.ErrStoreRefused)
	}
	s.waiting = append(batch, s.waiting...)
}

// fill adds streams to the records of this process, and returns those that changed.
func (s *Streams) fill(batch []*unrecorded, now time.Time) (changed []*streamChunk, records []sardinerock.StoreRecord, err error) {
	for _, u := range batch {
		if c := s.add(u, now); !slices.Contains(changed, c) {
			changed = append(changed, c)
		}
	}
	for _, c := range changed {
		raw, err := cbor.Marshal(c)
		if err != nil {
			return nil, nil, err
		}
		records = append(records, sardinerock.StoreRecord{Key: s.Process + "/" + strconv.Itoa(c.key), Value: raw})
	}
	return changed, records, nil
}

// add adds a stream to the first record with room, and returns that.
func (s *Streams) add(u *unrecorded, now time.Time) *streamChunk {
	for _, c := range s.chunks {
		if c.add(u, s.capacity(), now) {
			return c
		}
	}
	c := &streamChunk{key: s.nextKey}
	s.nextKey++
	c.add(u, s.capacity(), now)
	s.chunks = append(s.chunks, c)
	return c
}

func (s *Streams) capacity() int {
	return min(max((s.RecordBytes-recordOverhead)/streamBytes, 1), maxRecordStreams)
}

// add adds a stream if there is room, in place of those that have ended.
func (c *streamChunk) add(u *unrecorded, capacity int, now time.Time) bool {
	for _, row := range c.Streams {
		if row.Stream == u.Stream {
			return true
		}
	}
	c.removeEnded(now)
	if len(c.Streams) >= capacity {
		return false
	}
	row := u.streamRow
	row.Origin = -1
	for i, o := range c.Origins {
		if o.Service == u.origin.Service && o.Version == u.origin.Version {
			row.Origin = i
		}
	}
	if row.Origin < 0 {
		if len(c.Origins) > 0 && c.originBytes()+len(u.origin.Service)+len(u.origin.Version) > recordOverhead/2 {
			return false
		}
		row.Origin = len(c.Origins)
		c.Origins = append(c.Origins, originRow{Service: u.origin.Service, Version: u.origin.Version})
	}
	c.Streams = append(c.Streams, row)
	return true
}

func (c *streamChunk) originBytes() int {
	n := 0
	for _, o := range c.Origins {
		n += len(o.Service) + len(o.Version) + 4
	}
	return n
}

func (c *streamChunk) removeEnded(now time.Time) {
	kept := c.Streams[:0]
	for _, row := range c.Streams {
		if row.Until >= now.Unix() {
			kept = append(kept, row)
		}
	}
	c.Streams = kept
	if len(kept) == 0 {
		c.Origins = nil
	}
}

// failing reports whether streams can't be recorded at present.
func (s *Streams) failing(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < failureTime || !s.sentAt.IsZero() && now.Sub(s.sentAt) >= slowAppend
}

// partitions returns the names of the partitions.
func (s *Streams) partitions() []string {
	names := make([]string, max(s.Partitions, 1))
	for n := range names {
		names[n] = sardinerock.PartitionName(s.Topic, n)
	}
	return names
}

func (s *Streams) ownPartition() string {
	names := s.partitions()
	return names[xxhash.Sum64String(s.Process)%uint64(len(names))]
}

// read returns the recorded streams. Some may have ended.
func (s *Streams) read(ctx context.Context) (map[uint64]recordedStream, error) {
	return s.reads.get(ctx, func() (map[uint64]recordedStream, error) {
		all := &recordedStreams{streams: map[uint64]recordedStream{}}
		var group errgroup.Group
		for _, partition := range s.partitions() {
			group.Go(func() error {
				_, err := readNewest(s.Store, partition, all.put)
				return err
			})
		}
		if err := group.Wait(); err != nil {
			s.count("origins.readFailed")
			s.Events.Info(event.LogOutage).Str("topic", s.Topic).Bool("timedOut", errors.Is(err, context.DeadlineExceeded)).Err(err).Msg("the origins of streams can't be read")
			return nil, err
		}
		s.count("origins.read")
		s.mu.Lock()
		s.used = s.used || len(all.streams) > 0
		s.mu.Unlock()
		return all.streams, nil
	})
}

// recordedStreams collects streams from records.
type recordedStreams struct {
	mu      sync.Mutex
	streams map[uint64]recordedStream
}

func (r *recordedStreams) put(s sardinerock.StoreRecord) error {
	var c streamChunk
	if err := cbor.Unmarshal(s.Value, &c); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range c.Streams {
		if row.Origin < 0 || row.Origin >= len(c.Origins) {
			return errOriginMissing
		}
		found := recordedStream{sardinerock.Origin{Service: c.Origins[row.Origin].Service, Version: c.Origins[row.Origin].Version}, time.Unix(row.Until, 0)}
		if old, ok := r.streams[row.Stream]; ok && old.origin != found.origin {
			found.origin = sardinerock.Origin{}
		}
		r.streams[row.Stream] = found
	}
	return nil
}

// Run removes the records whose streams have all ended, until ctx ends.
func (s *Streams) Run(ctx context.Context) {
	t := time.NewTicker(cleanInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.mu.Lock()
			used := s.used
			s.mu.Unlock()
			if used && (s.Writes == nil || s.Writes(s.Topic)) {
				for _, partition := range s.partitions() {
					s.clean(ctx, partition, now)
				}
			}
		}
	}
}

// clean removes the records from a partition whose streams have all ended. One that changes meanwhile stays, since the
// partition then doesn't end where it was read.
func (s *Streams) clean(ctx context.Context, partition string, now time.Time) {
	var ended []sardinerock.StoreRecord
	end, err := readNewest(s.Store, partition, func(r sardinerock.StoreRecord) error {
		var c streamChunk
		if err := cbor.Unmarshal(r.Value, &c); err != nil {
			return err
		}
		c.removeEnded(now.Add(-clockSkew))
		if len(c.Streams) == 0 {
			ended = append(ended, sardinerock.StoreRecord{Key: r.Key})
		}
		return nil
	})
	if err == nil && len(ended) > 0 {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		_, err = s.Store.AppendAt(ctx, partition, end, ended)
	}
	if err != nil && !errors.Is(err, sardinerock.ErrStoreConflict) {
		s.Events.Info(event.AppendFailed).Str("topic", s.Topic).Int("records", len(ended)).Err(err).Msg("records of ended streams could not be removed; retried")
	}
}

func (s *Streams) count(name string) {
	if s.Metrics != nil {
		metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
	}
}

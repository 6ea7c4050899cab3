package fakes

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/params"
)

// maxReadRecords and maxReadBytes bound one read; it exceeds the bytes by at most one record.
const (
	maxReadRecords = 1000
	maxReadBytes   = 4 << 20
)

// ErrAnswerLost is the error of an append that took effect but got no response.
var ErrAnswerLost = errors.New("log: connection lost before the answer")

// LogKnobs are the faults of the log service.
type LogKnobs struct {
	Outage Outage `json:"outage"`
	// SlowMs is a delay before each call.
	SlowMs int `json:"slowMs"`
	// LoseAnswers is how many of the next appends take effect without a response.
	LoseAnswers int `json:"loseAnswers"`
	// LateMs is how long after its failure such an append takes effect.
	LateMs int `json:"lateMs"`
	// KeepRecords and KeepMs set the retention of each stream, by number and by age; 0 means no bound.
	KeepRecords int `json:"keepRecords"`
	KeepMs      int `json:"keepMs"`
	// AppendsPerSecond is the rate limit of appends to all streams together; 0 means no limit.
	AppendsPerSecond int `json:"appendsPerSecond"`
	// OffsetStep is the largest difference between successive offsets; below 2 they are contiguous.
	OffsetStep int64 `json:"offsetStep"`
}

// Log is a fake of the platform's log service.
type Log struct {
	Knobs LogKnobs

	mux      params.Router
	mu       sync.Mutex
	streams  map[string]*logStream
	limiter  *rate.Limiter
	appended int64
}

type logStream struct {
	records []storedRecord
	next    int64
	// firstReadable is the lowest offset from which a read is not a gap: one more
	// than the offset of the last record that retention removed.
	firstReadable int64
	// appended is closed at each append and replaced, which wakes waiting reads.
	appended chan struct{}
}

type storedRecord struct {
	sardinerock.LogRecord
	at time.Time
}

// SetKnobs replaces all knobs at run time, as POST /knobs does for single fields.
func (l *Log) SetKnobs(k LogKnobs) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Knobs = k
	l.applyKnobs()
}

// Appended returns how many records were appended to all streams, including those that retention has removed.
func (l *Log) Appended() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appended
}

// Append implements sardinerock.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := l.simulateFaults(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Knobs.AppendsPerSecond > 0 {
		if l.limiter == nil {
			l.applyKnobs()
		}
		if !l.limiter.Allow() {
			return 0, sardinerock.ErrLogRefused
		}
	}
	if l.Knobs.LoseAnswers > 0 {
		l.Knobs.LoseAnswers--
		l.appendWithoutAnswer(stream, slices.Clone(data))
		return 0, ErrAnswerLost
	}
	return l.appendRecord(stream, slices.Clone(data)), nil
}

// appendWithoutAnswer appends the record at once or, if LateMs is set, later. The caller holds l.mu.
func (l *Log) appendWithoutAnswer(stream string, data []byte) {
	if l.Knobs.LateMs == 0 {
		l.appendRecord(stream, data)
		return
	}
	time.AfterFunc(params.Milliseconds(l.Knobs.LateMs), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.appendRecord(stream, data)
	})
}

func (l *Log) appendRecord(stream string, data []byte) int64 {
	s := l.stream(stream)
	offset := s.next
	s.records = append(s.records, storedRecord{sardinerock.LogRecord{Offset: offset, Data: data}, time.Now()})
	step := int64(1)
	if l.Knobs.OffsetStep > 1 {
		step += offset % l.Knobs.OffsetStep
	}
	s.next = offset + step
	l.appended++
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// Read implements sardinerock.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]sardinerock.LogRecord, error) {
	if err := l.simulateFaults(ctx); err != nil {
		return nil, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		records, appended, err := l.recordsFrom(stream, from)
		if err != nil || len(records) > 0 {
			return records, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordsFrom returns the records from an offset on, and a channel that is closed at the next append.
func (l *Log) recordsFrom(stream string, from int64) ([]sardinerock.LogRecord, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.applyRetention(s)
	if from < s.firstReadable {
		return nil, nil, sardinerock.ErrLogGap
	}
	start, _ := slices.BinarySearchFunc(s.records, from, func(r storedRecord, offset int64) int {
		return int(r.Offset - offset)
	})
	var records []sardinerock.LogRecord
	size := 0
	for _, r := range s.records[start:] {
		if len(records) == maxReadRecords || size > maxReadBytes {
			break
		}
		records = append(records, r.LogRecord)
		size += len(r.Data)
	}
	return records, s.appended, nil
}

// Bounds implements sardinerock.Log.
func (l *Log) Bounds(ctx context.Context, stream string) (sardinerock.LogBounds, error) {
	if err := l.simulateFaults(ctx); err != nil {
		return sardinerock.LogBounds{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.applyRetention(s)
	bounds := sardinerock.LogBounds{First: s.next, Next: s.next}
	if len(s.records) > 0 {
		bounds.First = s.records[0].Offset
	}
	return bounds, nil
}

// simulateFaults delays or fails a call as the current knobs say.
func (l *Log) simulateFaults(ctx context.Context) error {
	l.mu.Lock()
	outage, slow := l.Knobs.Outage, params.Milliseconds(l.Knobs.SlowMs)
	l.mu.Unlock()
	return simulateFaults(ctx, outage, slow, sardinerock.ErrLogRefused)
}

// simulateFaults delays or fails a call to any fake. During an outage it returns
// the error refused, or waits until ctx ends.
func simulateFaults(ctx context.Context, outage Outage, slow time.Duration, refused error) error {
	switch outage {
	case OutageRefuse:
		return refused
	case OutageHang:
		<-ctx.Done()
		return ctx.Err()
	}
	if slow == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(slow):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Log) stream(name string) *logStream {
	if l.streams == nil {
		l.streams = make(map[string]*logStream)
	}
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// applyRetention removes the records beyond the retention's number or age.
func (l *Log) applyRetention(s *logStream) {
	drop := 0
	if n := l.Knobs.KeepRecords; n > 0 && len(s.records) > n {
		drop = len(s.records) - n
	}
	if l.Knobs.KeepMs > 0 {
		oldest := time.Now().Add(-params.Milliseconds(l.Knobs.KeepMs))
		for drop < len(s.records) && s.records[drop].at.Before(oldest) {
			drop++
		}
	}
	if drop == 0 {
		return
	}
	s.firstReadable = s.records[drop-1].Offset + 1
	s.records = slices.Delete(s.records, 0, drop)
}

// applyKnobs sets the rate limiter; its burst is a tenth of a second's appends, at least one.
func (l *Log) applyKnobs() {
	l.limiter = nil
	if n := l.Knobs.AppendsPerSecond; n > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(n), max(1, n/10))
	}
}

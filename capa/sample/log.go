package sample

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
)

// Log is a log service in memory that counts what is appended.
type Log struct {
	mu      sync.Mutex
	streams map[string][]sardinerock.LogRecord
	grown   chan struct{}
	appends map[string]int
	bytes   map[string]int
	// appendedAt is when the last record came.
	appendedAt time.Time
	reads      atomic.Int64
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		streams: map[string][]sardinerock.LogRecord{}, grown: make(chan struct{}), appends: map[string]int{}, bytes: map[string]int{},
	}
}

// Append implements sardinerock.Log.
func (l *Log) Append(_ context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], sardinerock.LogRecord{Offset: offset, Data: data})
	l.appends[stream]++
	l.bytes[stream] += len(data)
	l.appendedAt = time.Now()
	close(l.grown)
	l.grown = make(chan struct{})
	return offset, nil
}

// Read implements sardinerock.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]sardinerock.LogRecord, error) {
	l.reads.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		records, grown := l.streams[stream], l.grown
		l.mu.Unlock()
		if from < int64(len(records)) {
			return records[from:], nil
		}
		if wait == 0 {
			return nil, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Bounds implements sardinerock.Log.
func (l *Log) Bounds(_ context.Context, stream string) (sardinerock.LogBounds, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sardinerock.LogBounds{Next: int64(len(l.streams[stream]))}, nil
}

// Last returns a stream's newest record, and the bytes of the stream so far.
func (l *Log) Last(stream string) (sardinerock.LogRecord, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := l.streams[stream]
	if len(records) == 0 {
		return sardinerock.LogRecord{}, 0
	}
	return records[len(records)-1], l.bytes[stream]
}

// Total returns the bytes and appends of all streams.
func (l *Log) Total() (bytes, appends int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for stream := range l.bytes {
		bytes += l.bytes[stream]
		appends += l.appends[stream]
	}
	return bytes, appends
}

// Reads returns how often the log was read.
func (l *Log) Reads() int64 { return l.reads.Load() }

// AppendedAt returns when the last record came.
func (l *Log) AppendedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendedAt
}

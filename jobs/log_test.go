package jobs

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
)

var errLost = errors.New("answer lost")

// fakeLog is the platform's log in memory, with its faults.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string]*fakeStream
	random  *rand.Rand
	changed chan struct{}

	// down makes every call fail, noAppends every append; lose and refuse are shares of the appends.
	down bool

	noAppends bool
	lose      float64
	refuse    float64
	latency   time.Duration
	appends   int
	bytes     int
}

type fakeStream struct {
	records []sardinerock.LogRecord
	times   []time.Time
	first   int64
	next    int64
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string]*fakeStream{}, random: rand.New(rand.NewPCG(1, 2)), changed: make(chan struct{})}
}

func (l *fakeLog) stream(name string) *fakeStream {
	s := l.streams[name]
	if s == nil {
		s = &fakeStream{}
		l.streams[name] = s
	}
	return s
}

func (l *fakeLog) set(f func(l *fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func (l *fakeLog) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if l.latency > 0 {
		time.Sleep(l.latency)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if l.down || l.noAppends {
		return 0, errLost
	}
	if l.random.Float64() < l.refuse {
		return 0, sardinerock.ErrLogRefused
	}
	l.appends++
	l.bytes += len(data)
	s := l.stream(name)
	offset := s.next
	s.records = append(s.records, sardinerock.LogRecord{Offset: offset, Data: append([]byte(nil), data...)})
	s.times = append(s.times, time.Now())
	s.next = offset + 1 + int64(l.random.IntN(3))
	close(l.changed)
	l.changed = make(chan struct{})
	if l.random.Float64() < l.lose {
		return 0, errLost
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, name string, from int64, wait time.Duration) ([]sardinerock.LogRecord, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		records, changed, err := l.after(name, from)
		if err != nil || len(records) > 0 {
			return records, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-deadline.C:
			return nil, nil
		case <-changed:
		}
	}
}

func (l *fakeLog) after(name string, from int64) ([]sardinerock.LogRecord, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, nil, errLost
	}
	s := l.stream(name)
	if from < s.first {
		return nil, nil, sardinerock.ErrLogGap
	}
	low, high := 0, len(s.records)
	for low < high {
		mid := (low + high) / 2
		if s.records[mid].Offset < from {
			low = mid + 1
		} else {
			high = mid
		}
	}
	const most = 64
	return s.records[low:min(low+most, len(s.records))], l.changed, nil
}

func (l *fakeLog) Bounds(ctx context.Context, name string) (sardinerock.LogBounds, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return sardinerock.LogBounds{}, errLost
	}
	s := l.stream(name)
	return sardinerock.LogBounds{First: s.first, Next: s.next}, ctx.Err()
}

// trim drops the records of a stream before an offset, as retention does.
func (l *fakeLog) trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for len(s.records) > 0 && s.records[0].Offset < before {
		s.records, s.times = s.records[1:], s.times[1:]
	}
	s.first = max(s.first, min(before, s.next))
	if len(s.records) > 0 {
		s.first = s.records[0].Offset
	}
}

// ages returns, by stream, the offset before which records are older than age.
func (l *fakeLog) ages(age time.Duration) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := map[string]int64{}
	for name, s := range l.streams {
		for i, at := range s.times {
			if time.Since(at) > age {
				cut[name] = s.records[i].Offset + 1
			}
		}
	}
	return cut
}

func (l *fakeLog) firstOf(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).first
}

func (l *fakeLog) nextOf(name string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).next
}

func (l *fakeLog) appended() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

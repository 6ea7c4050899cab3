package clis

import (
	"io"
	"sync"

	"github.com/phuslu/log"

	"github.com/sardinerock/sardinerock/event"
)

// logQueueLines is the number of log lines that can be queued for writing.
const logQueueLines = 16 << 10

// newLogger returns a logger that writes to w in the background. Every routing decision logs
// a line, so with synchronous writes a stalled reader of the log would block the process.
// Lines are dropped while the queue is full. stop writes the queued lines.
func newLogger(w io.Writer, level, process string) (events *event.Logger, stop func()) {
	writer := &logWriter{queue: &log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: logQueueLines, DiscardOnFull: true}}
	events = &event.Logger{
		Process: process,
		Sink:    &log.Logger{Level: log.ParseLevel(level), Writer: writer},
	}
	return events, writer.stop
}

// logWriter drops lines that are logged after stop, for example by goroutines that are still
// ending. The closed queue would panic on them, and the process would exit with code 2 after
// a graceful stop.
type logWriter struct {
	mu      sync.RWMutex
	queue   *log.AsyncWriter
	stopped bool
}

// WriteEntry implements log.Writer.
func (w *logWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.stopped {
		return 0, nil
	}
	return w.queue.WriteEntry(e)
}

// stop writes the queued lines and closes the queue.
func (w *logWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	// An error can't be reported any more: the log is closed.
	_ = w.queue.Close()
}

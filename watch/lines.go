package watch

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// lineInterval is the shortest time between two lines on one key with one text.
	lineInterval = 10 * time.Second
	// maxLimitedLines is the number of lines that are remembered, and so the maximum number written in a
	// lineInterval.
	maxLimitedLines = 1024
)

// line identifies the log lines that are limited together.
type line struct{ key, text string }

// lineLimit limits how often a log line is repeated. It is designed for backend servers that write a
// registration each second, or a whole fleet that does so, none of which can be used. The zero value is
// ready for use.
type lineLimit struct {
	// lines holds when each line was last written, the least recent first.
	lines *lru.LRU[line, time.Time]
}

// allow reports whether a line may be written now, and records that it is.
func (l *lineLimit) allow(key, text string, now time.Time) bool {
	if l.lines == nil {
		// The only possible error is a size that isn't positive.
		l.lines, _ = lru.NewLRU[line, time.Time](maxLimitedLines, nil)
	}
	at, known := l.lines.Peek(line{key, text})
	if !known && l.lines.Len() == maxLimitedLines {
		// Forgetting a line of this interval would allow it again too early.
		_, at, known = l.lines.GetOldest()
	}
	if known && now.Sub(at) < lineInterval {
		return false
	}
	l.lines.Add(line{key, text}, now)
	return true
}

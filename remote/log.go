package remote

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/sardinerock/sardinerock"
)

// defaultTimeout bounds an append, and the time that a read takes beyond its own wait.
const defaultTimeout = 5 * time.Second

// Log is a client of the platform's log service.
type Log struct {
	Sender
	// Timeout bounds each call; a read may take this long beyond its own wait. 0 means 5 s.
	Timeout time.Duration
}

type logAppendReply struct {
	Offset int64 `json:"offset"`
}

type logReadReply struct {
	Records []logRecord `json:"records"`
}

type logRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type logBoundsReply struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// Append implements sardinerock.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout())
	defer cancel()
	answer, err := call[logAppendReply](ctx, &l.Sender, http.MethodPost, streamPath(stream, "records"), data)
	if err != nil {
		return 0, logError(err)
	}
	return answer.Offset, nil
}

// Read implements sardinerock.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]sardinerock.LogRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+l.timeout())
	defer cancel()
	path := fmt.Sprintf("%s?from=%d&waitMs=%d", streamPath(stream, "records"), from, wait.Milliseconds())
	answer, err := call[logReadReply](ctx, &l.Sender, http.MethodGet, path, nil)
	if err != nil {
		return nil, logError(err)
	}
	records := make([]sardinerock.LogRecord, len(answer.Records))
	for i, record := range answer.Records {
		records[i] = sardinerock.LogRecord(record)
	}
	return records, nil
}

// Bounds implements sardinerock.Log.
func (l *Log) Bounds(ctx context.Context, stream string) (sardinerock.LogBounds, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout())
	defer cancel()
	answer, err := call[logBoundsReply](ctx, &l.Sender, http.MethodGet, streamPath(stream, "bounds"), nil)
	if err != nil {
		return sardinerock.LogBounds{}, logError(err)
	}
	return sardinerock.LogBounds(answer), nil
}

func (l *Log) timeout() time.Duration {
	if l.Timeout > 0 {
		return l.Timeout
	}
	return defaultTimeout
}

func streamPath(stream, part string) string {
	return "/streams/" + url.PathEscape(stream) + "/" + part
}

// logError adds ErrLogRefused if the record is certainly not stored (the service
// rejected the request, or it was never sent), and ErrLogGap for a gap. After any
// other error it is unknown whether the record is stored.
func logError(err error) error {
	err = withStatus(err, http.StatusServiceUnavailable, sardinerock.ErrLogRefused)
	err = withStatus(err, http.StatusTooManyRequests, sardinerock.ErrLogRefused)
	err = withStatus(err, http.StatusGone, sardinerock.ErrLogGap)
	return joinIf(err, sardinerock.ErrNotSent, sardinerock.ErrLogRefused)
}

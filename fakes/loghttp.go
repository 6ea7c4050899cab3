package fakes

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/params"
)

// maxRecordBytes bounds the data of one record.
const maxRecordBytes = 8 << 20

// LogAppendReply is the response to an append.
type LogAppendReply struct {
	Offset int64 `json:"offset"`
}

// LogReadReply is the response to a read.
type LogReadReply struct {
	Records []LogRecord `json:"records"`
}

// LogRecord is one record in a response; JSON encodes Data as base64.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// LogBoundsReply is the response to a request for a stream's bounds.
type LogBoundsReply struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.Once.Do(func() { l.routes(&l.mux) })
	l.mux.ServeHTTP(w, r)
}

func (l *Log) routes(mux *params.Router) {
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	mux.HandleFunc("GET /streams/{stream}/bounds", l.serveBounds)
	mux.HandleFunc("/knobs", func(w http.ResponseWriter, r *http.Request) {
		params.Serve(w, r, &l.mu, &l.Knobs, l.applyKnobs)
	})
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		params.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	offset, err := l.Append(r.Context(), r.PathValue("stream"), data)
	if err != nil {
		replyLogError(w, err)
		return
	}
	params.Reply(w, http.StatusOK, LogAppendReply{Offset: offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		params.Fail(w, http.StatusBadRequest, "from: "+err.Error())
		return
	}
	wait, err := strconv.Atoi(r.FormValue("waitMs"))
	if err != nil {
		params.Fail(w, http.StatusBadRequest, "waitMs: "+err.Error())
		return
	}
	records, err := l.Read(r.Context(), r.PathValue("stream"), from, params.Milliseconds(wait))
	if err != nil {
		replyLogError(w, err)
		return
	}
	reply := LogReadReply{Records: make([]LogRecord, len(records))}
	for i, record := range records {
		reply.Records[i] = LogRecord(record)
	}
	params.Reply(w, http.StatusOK, reply)
}

func (l *Log) serveBounds(w http.ResponseWriter, r *http.Request) {
	bounds, err := l.Bounds(r.Context(), r.PathValue("stream"))
	if err != nil {
		replyLogError(w, err)
		return
	}
	params.Reply(w, http.StatusOK, LogBoundsReply(bounds))
}

// replyLogError responds 503 only if a record is certainly not stored. If that is
// unknown, it drops the connection.
func replyLogError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, sardinerock.ErrLogRefused):
		params.Fail(w, http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, sardinerock.ErrLogGap):
		params.Fail(w, http.StatusGone, err.Error())
	default:
		dropConnection(w)
	}
}

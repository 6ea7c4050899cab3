package stream

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
)

// Entry is one decoded log record without its duplicate and withdrawn records.
type Entry struct {
	Offset int64
	Writer uint64
	First  uint64
	AtMs   int64
	// Records has one element per record of the envelope, nil for one that is not accepted.
	Records [][]byte
	// Withdrawn and TooLate list the numbers whose withdrawal came before and after their record.
	Withdrawn []uint64
	TooLate   []uint64
}

// Tail reads one stream in order and passes each accepted record to Apply once.
type Tail struct {
	Log    sardinerock.Log
	Stream string
	// Next is the offset of the next read.
	Next int64
	Seen Seen
	// Apply is called for each entry in order.
	Apply func(e *Entry)
}

// Read returns the records from Next on and waits for them at most wait. It does
// not change the Tail.
func (t *Tail) Read(ctx context.Context, wait time.Duration) ([]sardinerock.LogRecord, error) {
	return t.Log.Read(ctx, t.Stream, t.Next, wait)
}

// Fold applies the records that Read returned and advances Next.
func (t *Tail) Fold(records []sardinerock.LogRecord) {
	for _, r := range records {
		t.fold(r)
	}
}

// fold skips records that it can't decode. All readers skip the same records and
// so reach the same state.
func (t *Tail) fold(r sardinerock.LogRecord) {
	if r.Offset < t.Next {
		return
	}
	t.Next = r.Offset + 1
	e, err := Decode(r.Data)
	if err != nil {
		return
	}
	t.Apply(t.Seen.Entry(r.Offset, e))
}

// Entry admits the envelope read at offset and returns its accepted records.
func (s *Seen) Entry(offset int64, e *Envelope) *Entry {
	v := s.Admit(e)
	out := &Entry{Offset: offset, Writer: e.GetWriter(), First: e.GetFirst(), AtMs: e.GetAtMs(), Withdrawn: v.Withdrawn, TooLate: v.TooLate}
	out.Records = make([][]byte, len(e.GetRecords()))
	for i, r := range e.GetRecords() {
		if v.Accepted[i] {
			out.Records[i] = r
		}
	}
	return out
}

// Decode decodes and validates the envelope of one log record.
func Decode(data []byte) (*Envelope, error) {
	e := &Envelope{}
	if err := proto.Unmarshal(data, e); err != nil {
		return nil, err
	}
	if e.GetWriter() == 0 || (len(e.GetRecords()) > 0 && e.GetFirst() == 0) {
		return nil, errInvalidEnvelope
	}
	if e.GetFirst()+uint64(len(e.GetRecords())) < e.GetFirst() {
		return nil, errInvalidEnvelope
	}
	return e, nil
}

var errInvalidEnvelope = errors.New("stream: record holds no envelope")

// ReadAt returns the record at index, from 0, of the envelope at offset. It returns
// sardinerock.ErrLogGap if the log has no record at offset.
func ReadAt(ctx context.Context, log sardinerock.Log, name string, offset int64, index uint32) ([]byte, error) {
	records, err := log.Read(ctx, name, offset, 0)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || records[0].Offset != offset {
		return nil, sardinerock.ErrLogGap
	}
	e, err := Decode(records[0].Data)
	if err != nil {
		return nil, err
	}
	if int(index) >= len(e.GetRecords()) {
		return nil, errInvalidEnvelope
	}
	return e.GetRecords()[index], nil
}

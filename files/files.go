package files

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/stream"
)

const (
	// pieceTimeout bounds the append of one record, which is a piece or the end of a file.
	pieceTimeout = 20 * time.Second
	// readTimeout bounds the read of one record.
	readTimeout = 5 * time.Second
	pieceBytes  = 256 << 10
	// retryAfter is the retry delay sent to callers during an outage of the log.
	retryAfter = 5 * time.Second
)

// Store stores uploaded files in the log. A file's id contains its location, so any entry can open it without an index.
type Store struct {
	Log sardinerock.Log
	// Streams is the number of streams that files are spread over, by a hash of the caller.
	Streams int
	// Budget limits the appends; nil means no limit.
	Budget *stream.Budget
	Now    func() time.Time
}

// Put stores a file in the log. The file exists only once its id is returned, so the pieces of an aborted upload and
// duplicate pieces are harmless. Errors are refusals.
func (s *Store) Put(ctx context.Context, caller, name string, content io.Reader) (sardinerock.FileInfo, error) {
	number := int(xxhash.Sum64String(caller) % uint64(s.Streams))
	end := &FileEnd{Caller: caller, Name: name, CreatedMs: s.Now().UnixMilli(), Key: rand.Uint64() | 1}
	piece := make([]byte, pieceBytes)
	for {
		n, err := io.ReadFull(content, piece)
		if n > 0 {
			offset, err := s.appendRecord(ctx, number, &FileRecord{Content: piece[:n]})
			if err != nil {
				return sardinerock.FileInfo{}, err
			}
			end.Pieces = append(end.Pieces, offset)
			end.Bytes += int64(n)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return sardinerock.FileInfo{}, &sardinerock.Refusal{
				Code: sardinerock.CodeInvalidRequest, Outcome: sardinerock.OutcomeNotRun, Message: "the file can't be read: " + err.Error(),
			}
		}
	}
	offset, err := s.appendRecord(ctx, number, &FileRecord{End: end})
	if err != nil {
		return sardinerock.FileInfo{}, err
	}
	return end.info(fmt.Sprintf("file_%d_%x_%x", number, offset, end.GetKey())), nil
}

func (s *Store) appendRecord(ctx context.Context, number int, r *FileRecord) (int64, error) {
	data, err := proto.Marshal(r)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	offset, err := stream.AppendAtLeastOnce(ctx, s.Log, s.Budget, fileStream(number), data)
	if err != nil {
		return 0, logRefusal("the log did not take the file: " + err.Error())
	}
	return offset, nil
}

// Open returns a file of the caller. Errors, also those of the reader, are refusals.
func (s *Store) Open(ctx context.Context, caller, id string) (io.ReadCloser, sardinerock.FileInfo, error) {
	var number int
	var offset int64
	var key uint64
	n, err := fmt.Sscanf(id, "file_%d_%x_%x", &number, &offset, &key)
	if err != nil || n != 3 || number < 0 || number >= s.Streams {
		return nil, sardinerock.FileInfo{}, notFound(id)
	}
	r, err := s.record(ctx, number, offset)
	if err != nil {
		return nil, sardinerock.FileInfo{}, fileRefusal(id, err)
	}
	end := r.GetEnd()
	if end == nil || end.GetKey() != key || end.GetCaller() != caller {
		return nil, sardinerock.FileInfo{}, notFound(id)
	}
	return &fileReader{s: s, ctx: ctx, number: number, id: id, pieces: end.GetPieces()}, end.info(id), nil
}

func (s *Store) record(ctx context.Context, number int, offset int64) (*FileRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	records, err := s.Log.Read(ctx, fileStream(number), offset, 0)
	if err != nil {
		return nil, err
	}
	if len(records) == 0 || records[0].Offset != offset {
		return nil, sardinerock.ErrLogGap
	}
	r := &FileRecord{}
	if err := proto.Unmarshal(records[0].Data, r); err != nil {
		return nil, sardinerock.ErrNotFound
	}
	return r, nil
}

// fileReader reads a file piece by piece; ctx bounds all reads.
type fileReader struct {
	s      *Store
	ctx    context.Context
	number int
	id     string
	pieces []int64
	// unread is the rest of the current piece.
	unread []byte
}

// Read implements io.Reader.
func (f *fileReader) Read(b []byte) (int, error) {
	for len(f.unread) == 0 {
		if len(f.pieces) == 0 {
			return 0, io.EOF
		}
		r, err := f.s.record(f.ctx, f.number, f.pieces[0])
		if err != nil {
			return 0, fileRefusal(f.id, err)
		}
		f.unread, f.pieces = r.GetContent(), f.pieces[1:]
	}
	n := copy(b, f.unread)
	f.unread = f.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (f *fileReader) Close() error { return nil }

func (e *FileEnd) info(id string) sardinerock.FileInfo {
	return sardinerock.FileInfo{ID: id, Name: e.GetName(), Bytes: e.GetBytes(), CreatedAt: time.UnixMilli(e.GetCreatedMs()).UTC()}
}

func fileStream(number int) string { return fmt.Sprintf("files-%d", number) }

func notFound(id string) *sardinerock.Refusal {
	return &sardinerock.Refusal{Code: sardinerock.CodeNotFound, Outcome: sardinerock.OutcomeNotRun, Message: "no file " + id}
}

func fileRefusal(id string, err error) *sardinerock.Refusal {
	if errors.Is(err, sardinerock.ErrLogGap) || errors.Is(err, sardinerock.ErrNotFound) {
		return notFound(id)
	}
	return logRefusal("the file can't be read from the log: " + err.Error())
}

func logRefusal(message string) *sardinerock.Refusal {
	return &sardinerock.Refusal{Code: sardinerock.CodeLogUnavailable, Outcome: sardinerock.OutcomeNotRun, Message: message, RetryAfter: retryAfter}
}

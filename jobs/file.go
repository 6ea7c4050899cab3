package jobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/follow"
	"github.com/sardinerock/sardinerock/stream"
)

// fileTimeout bounds the append of one piece of a file.
const fileTimeout = 20 * time.Second

// Put keeps a file in the log. Until the id is returned the file doesn't
// exist, so pieces of an upload that broke off, or that are there twice, do no harm.
func (m *Manager) Put(ctx context.Context, caller, name string, content io.Reader) (sardinerock.FileInfo, error) {
	m.setUp()
	if refusal := m.logFailing(); refusal != nil {
		return sardinerock.FileInfo{}, refusal
	}
	number := m.callerShard(caller, 0)
	end := &FileEnd{Caller: caller, Name: name, CreatedMs: m.Now().UnixMilli(), Key: draw()}
	piece := make([]byte, m.ChunkBytes)
	for {
		n, err := io.ReadFull(content, piece)
		if n > 0 {
			offset, err := m.putRecord(ctx, number, &FileRecord{Content: piece[:n]})
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
			return sardinerock.FileInfo{}, itemsRefusal(err)
		}
	}
	offset, err := m.putRecord(ctx, number, &FileRecord{End: end})
	if err != nil {
		return sardinerock.FileInfo{}, err
	}
	return end.info(fmt.Sprintf("file_%d_%x_%x", number, offset, end.GetKey())), nil
}

func (m *Manager) putRecord(ctx context.Context, number int, r *FileRecord) (int64, error) {
	data, err := proto.Marshal(r)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, fileTimeout)
	defer cancel()
	offset, err := stream.AppendAnyCopy(ctx, m.Log, m.budget, fileStream(number), data)
	if err != nil {
		return 0, logRefusal(sardinerock.OutcomeNotRun, "the log did not take the file: "+err.Error())
	}
	return offset, nil
}

// Open returns a file of the caller.
func (m *Manager) Open(ctx context.Context, caller, id string) (io.ReadCloser, sardinerock.FileInfo, error) {
	m.setUp()
	var number int
	var offset int64
	var key uint64
	n, err := fmt.Sscanf(id, "file_%d_%x_%x", &number, &offset, &key)
	if err != nil || n != 3 || number < 0 || number >= m.Shards {
		return nil, sardinerock.FileInfo{}, noFile(id)
	}
	r, err := m.fileRecord(ctx, number, offset)
	if err != nil {
		return nil, sardinerock.FileInfo{}, fileRefusal(id, err)
	}
	end := r.GetEnd()
	if end == nil || end.GetKey() != key || end.GetCaller() != caller {
		return nil, sardinerock.FileInfo{}, noFile(id)
	}
	return &fileReader{m: m, ctx: ctx, number: number, id: id, pieces: end.GetPieces()}, end.info(id), nil
}

func (m *Manager) fileRecord(ctx context.Context, number int, offset int64) (*FileRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, follow.ReadTimeout)
	defer cancel()
	records, err := m.Log.Read(ctx, fileStream(number), offset, 0)
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

// fileReader reads a file piece by piece.
type fileReader struct {
	m      *Manager
	ctx    context.Context
	number int
	id     string
	pieces []int64
	left   []byte
}

// Read implements io.Reader.
func (f *fileReader) Read(b []byte) (int, error) {
	for len(f.left) == 0 {
		if len(f.pieces) == 0 {
			return 0, io.EOF
		}
		r, err := f.m.fileRecord(f.ctx, f.number, f.pieces[0])
		if err != nil {
			return 0, fileRefusal(f.id, err)
		}
		f.left, f.pieces = r.GetContent(), f.pieces[1:]
	}
	n := copy(b, f.left)
	f.left = f.left[n:]
	return n, nil
}

// Close implements io.Closer.
func (f *fileReader) Close() error { return nil }

func (e *FileEnd) info(id string) sardinerock.FileInfo {
	return sardinerock.FileInfo{ID: id, Name: e.GetName(), Bytes: e.GetBytes(), CreatedAt: time.UnixMilli(e.GetCreatedMs()).UTC()}
}

func fileStream(number int) string { return fmt.Sprintf("files-%d", number) }

func noFile(id string) *sardinerock.Refusal {
	return &sardinerock.Refusal{Code: sardinerock.CodeNotFound, Outcome: sardinerock.OutcomeNotRun, Message: "no file " + id}
}

func fileRefusal(id string, err error) *sardinerock.Refusal {
	if errors.Is(err, sardinerock.ErrLogGap) || errors.Is(err, sardinerock.ErrNotFound) {
		return noFile(id)
	}
	return logRefusal(sardinerock.OutcomeNotRun, "the file can't be read from the log: "+err.Error())
}

package upload

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/item"
	"github.com/sardinerock/sardinerock/reject"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/stream"
)

const (
	// chunkTimeout bounds the append of one chunk.
	chunkTimeout = 20 * time.Second
	// SealTimeout bounds the append of the record that accepts or cancels a job, and the wait until it is folded.
	SealTimeout = 10 * time.Second
	// SealAppendTimeout is the time after which such a record is no longer sent. If its outcome is unknown then, the
	// rest of SealTimeout is for its withdrawal, which proves that it did not take effect.
	SealAppendTimeout = 6 * time.Second
)

// Uploader appends the items of one job in chunks. It holds at most two chunks in memory.
type Uploader struct {
	// Writer appends to the shard's stream; WaitFolded waits until the record at an offset is folded.
	Writer     *stream.Writer
	WaitFolded func(ctx context.Context, offset int64) error
	Now        func() time.Time
	// MaxItems bounds the number of items of the job. ChunkBytes is the size at which a chunk is appended.
	MaxItems   int
	ChunkBytes int
	// CompareOnly computes only the digest and appends nothing.
	CompareOnly bool

	ctx       context.Context
	id        uint64
	digest    *xxhash.Digest
	customIDs map[uint64]struct{}

	chunk   []*shard.Item
	bytes   int
	first   uint32
	total   uint32
	pending *stream.Ticket
}

// New returns the uploader of a job with items for path; ctx bounds the whole upload.
func New(ctx context.Context, id uint64, path string) *Uploader {
	u := &Uploader{ctx: ctx, id: id, digest: xxhash.New(), customIDs: map[uint64]struct{}{}}
	_, _ = u.digest.WriteString(path + "\x00")
	return u
}

// Total returns the number of items added.
func (u *Uploader) Total() int { return int(u.total) }

// Digest returns the digest of the path and all items.
func (u *Uploader) Digest() uint64 { return u.digest.Sum64() }

// Add adds the next item. If the item is invalid, the error is a refusal.
func (u *Uploader) Add(it sardinerock.JobItem) error {
	if int(u.total) >= u.MaxItems {
		return reject.Invalid(fmt.Sprintf("a job may have at most %d items", u.MaxItems))
	}
	if it.CustomID == "" {
		return reject.Invalid(fmt.Sprintf("item %d has no custom_id", u.total+1))
	}
	if len(it.Body)+len(it.CustomID) > item.MaxBytes {
		return &sardinerock.Refusal{
			Code: sardinerock.CodeBodyTooLarge, Outcome: sardinerock.OutcomeNotRun,
			Message: fmt.Sprintf("item %d has more than %d bytes", u.total+1, item.MaxBytes),
		}
	}
	name := xxhash.Sum64String(it.CustomID)
	if _, duplicate := u.customIDs[name]; duplicate {
		return reject.Invalid(fmt.Sprintf("item %d: custom_id %q is there twice", u.total+1, it.CustomID))
	}
	u.customIDs[name] = struct{}{}
	u.total++
	u.hash(it)
	if u.CompareOnly {
		return nil
	}
	u.chunk = append(u.chunk, &shard.Item{CustomId: it.CustomID, Body: bytes.Clone(it.Body)})
	u.bytes += len(it.CustomID) + len(it.Body) + item.Overhead
	if u.bytes >= u.ChunkBytes {
		return u.flush()
	}
	return nil
}

func (u *Uploader) hash(it sardinerock.JobItem) {
	var sizes [8]byte
	binary.LittleEndian.PutUint32(sizes[:4], uint32(len(it.CustomID)))
	binary.LittleEndian.PutUint32(sizes[4:], uint32(len(it.Body)))
	_, _ = u.digest.Write(sizes[:])
	_, _ = u.digest.WriteString(it.CustomID)
	_, _ = u.digest.Write(it.Body)
}

// flush queues the current chunk for the append, after the previous one was acknowledged. So at most two chunks are in
// memory.
func (u *Uploader) flush() error {
	if err := u.waitPending(); err != nil {
		return err
	}
	c := &shard.Chunk{Upload: u.id, First: u.first, Items: u.chunk}
	data, err := proto.Marshal(&shard.Record{Kind: &shard.Record_Chunk{Chunk: c}})
	if err != nil {
		return err
	}
	u.first = u.total
	u.chunk, u.bytes = nil, 0
	u.pending = u.Writer.Queue(data, u.Now().Add(chunkTimeout))
	return nil
}

// waitPending waits until the queued chunk is appended. If that fails, the job did not run: it isn't sealed.
func (u *Uploader) waitPending() error {
	if u.pending == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(u.ctx, chunkTimeout)
	defer cancel()
	if _, err := u.pending.Wait(ctx); err != nil {
		return reject.LogUnavailable(sardinerock.OutcomeNotRun, "the log did not take the job's items; nothing was accepted")
	}
	return nil
}

// Seal queues the last chunk and the seal without waiting in between, so that a small job takes one append. It returns
// after the seal is folded; errors are refusals.
func (u *Uploader) Seal(spec sardinerock.JobSpec, id string) error {
	if len(u.chunk) > 0 {
		if err := u.flush(); err != nil {
			return reject.FailedUpload(err)
		}
	}
	s := &shard.Seal{
		Upload: u.id, Job: id, Caller: spec.Caller, Key: spec.IdempotencyKey, Path: spec.Path,
		DueMs: spec.Due.UnixMilli(), Metadata: spec.Metadata, Total: u.total, Digest: u.digest.Sum64(),
	}
	ctx, cancel := context.WithTimeout(u.ctx, SealTimeout)
	defer cancel()
	if err := u.append(ctx, &shard.Record{Kind: &shard.Record_Seal{Seal: s}}); err != nil {
		return reject.FailedAppend(err, "the job")
	}
	return nil
}

func (u *Uploader) append(ctx context.Context, r *shard.Record) error {
	data, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	offset, err := u.Writer.Append(ctx, data, u.Now().Add(SealAppendTimeout))
	if err != nil {
		return err
	}
	return u.WaitFolded(ctx, offset)
}

package jobs

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/refuse"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/spread"
	"github.com/sardinerock/sardinerock/stream"
)

const (
	// chunkTimeout bounds the append of one chunk, sealTimeout that of the record that accepts the job.
	chunkTimeout = 20 * time.Second
	sealTimeout  = 10 * time.Second
	// sealGiveUp leaves time to withdraw a seal whose fate is open, so that "not run" can be said for certain.
	sealGiveUp      = 6 * time.Second
	defaultMaxItems = 200_000
	// maxItemBytes bounds one item and one result: a record that the log always
	// refuses would be repeated for good and hold up all that comes after it.
	maxItemBytes = 1 << 20
)

// Create accepts a job: chunks first, then the seal, which alone makes it count.
func (m *Manager) Create(ctx context.Context, spec sardinerock.JobSpec, items func(yield func(sardinerock.JobItem) error) error) (*sardinerock.JobStatus, error) {
	m.setUp()
	if spec.IdempotencyKey == "" {
		// All jobs of the caller without one would be taken for resends of the first.
		return nil, refuse.Invalid("a job needs an idempotency key")
	}
	if refusal := m.logFailing(); refusal != nil {
		return nil, refusal
	}
	number, id := spread.Place(spec.Caller, spec.IdempotencyKey, m.Shards)
	p, release := m.use(number)
	defer release()
	if err := p.reachable(ctx); err != nil {
		return nil, err
	}
	u := &uploader{p: p, ctx: ctx, id: draw(), digest: xxhash.New(), names: map[uint64]struct{}{}, most: m.maxItems()}
	_, _ = u.digest.WriteString(spec.Path + "\x00")
	// The first copy of a resent job is in the log already: only compare.
	_, err := p.status(spec.Caller, id)
	u.compareOnly = err == nil
	if err := items(u.add); err != nil {
		return nil, refuse.Items(err)
	}
	if u.total == 0 {
		return nil, refuse.Invalid("a job needs at least one item")
	}
	if u.compareOnly {
		return p.verdict(spec, id, u.digest.Sum64())
	}
	return u.seal(spec, id)
}

// reachable brings the shard up to the end of its stream, or refuses: with a log
// that can't even be read an append would only end with an answer that is open.
func (p *part) reachable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := p.Sync(ctx); err != nil {
		return refuse.Log(sardinerock.OutcomeNotRun, "the log can't be read, nothing was accepted: "+err.Error())
	}
	return nil
}

func (m *Manager) maxItems() int {
	if m.Config != nil {
		if c := m.Config.Current(); c != nil && c.Bundle.Batch.MaxItems > 0 {
			return c.Bundle.Batch.MaxItems
		}
	}
	return defaultMaxItems
}

// uploader sends the items of one job in chunks and holds no more than one of them.
type uploader struct {
	p           *part
	ctx         context.Context
	id          uint64
	digest      *xxhash.Digest
	names       map[uint64]struct{}
	most        int
	compareOnly bool

	chunk []*shard.Item
	bytes int
	first uint32
	total uint32
	last  *stream.Ticket
}

func (u *uploader) add(it sardinerock.JobItem) error {
	if int(u.total) >= u.most {
		return refuse.Invalid(fmt.Sprintf("a job may have at most %d items", u.most))
	}
	if it.CustomID == "" {
		return refuse.Invalid(fmt.Sprintf("item %d has no custom_id", u.total+1))
	}
	if len(it.Body)+len(it.CustomID) > maxItemBytes {
		return &sardinerock.Refusal{
			Code: sardinerock.CodeBodyTooLarge, Outcome: sardinerock.OutcomeNotRun,
			Message: fmt.Sprintf("item %d has more than %d bytes", u.total+1, maxItemBytes),
		}
	}
	name := xxhash.Sum64String(it.CustomID)
	if _, double := u.names[name]; double {
		return refuse.Invalid(fmt.Sprintf("item %d: custom_id %q is there twice", u.total+1, it.CustomID))
	}
	u.names[name] = struct{}{}
	u.total++
	u.hash(it)
	if u.compareOnly {
		return nil
	}
	u.chunk = append(u.chunk, &shard.Item{CustomId: it.CustomID, Body: bytes.Clone(it.Body)})
	u.bytes += len(it.CustomID) + len(it.Body) + itemOverhead
	if u.bytes >= u.p.m.ChunkBytes {
		return u.flush()
	}
	return nil
}

func (u *uploader) hash(it sardinerock.JobItem) {
	var sizes [8]byte
	binary.LittleEndian.PutUint32(sizes[:4], uint32(len(it.CustomID)))
	binary.LittleEndian.PutUint32(sizes[4:], uint32(len(it.Body)))
	_, _ = u.digest.Write(sizes[:])
	_, _ = u.digest.WriteString(it.CustomID)
	_, _ = u.digest.Write(it.Body)
}

// flush queues the chunk, after the one before it has reached the log: two are the most that is held.
func (u *uploader) flush() error {
	if err := u.settle(); err != nil {
		return err
	}
	c := &shard.Chunk{Upload: u.id, First: u.first, Items: u.chunk}
	data, err := proto.Marshal(&shard.Record{Kind: &shard.Record_Chunk{Chunk: c}})
	if err != nil {
		return err
	}
	u.first = u.total
	u.chunk, u.bytes = nil, 0
	u.last = u.p.writer.Queue(data, u.p.m.Now().Add(chunkTimeout))
	return nil
}

// settle waits for the chunk that is under way. Nothing was sealed, so whatever came of it, the job did not run.
func (u *uploader) settle() error {
	if u.last == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(u.ctx, chunkTimeout)
	defer cancel()
	if _, err := u.last.Wait(ctx); err != nil {
		return refuse.Log(sardinerock.OutcomeNotRun, "the log did not take the job's items; nothing was accepted")
	}
	return nil
}

// seal sends the last chunk and the seal right behind it, so that a small job costs one append.
func (u *uploader) seal(spec sardinerock.JobSpec, id string) (*sardinerock.JobStatus, error) {
	if len(u.chunk) > 0 {
		if err := u.flush(); err != nil {
			return nil, refuse.Items(err)
		}
	}
	s := &shard.Seal{
		Upload: u.id, Job: id, Caller: spec.Caller, Key: spec.IdempotencyKey, Path: spec.Path,
		DueMs: spec.Due.UnixMilli(), Metadata: spec.Metadata, Total: u.total, Digest: u.digest.Sum64(),
	}
	ctx, cancel := context.WithTimeout(u.ctx, sealTimeout)
	defer cancel()
	offset, err := u.p.append(ctx, &shard.Record{Kind: &shard.Record_Seal{Seal: s}}, u.p.m.Now().Add(sealGiveUp))
	if err == nil {
		err = u.p.Reach(ctx, offset)
	}
	if err != nil {
		return nil, refuse.Append(err, "the job")
	}
	return u.p.verdict(spec, id, s.GetDigest())
}

// verdict says what the log's order made of a job that was sent: accepted, met by its first copy, or in conflict.
func (p *part) verdict(spec sardinerock.JobSpec, id string, digest uint64) (*sardinerock.JobStatus, error) {
	p.Lock()
	defer p.Unlock()
	j := p.State.Jobs[id]
	if j == nil {
		return nil, refuse.Log(sardinerock.OutcomeNotRun, "the upload took too long and was dropped; nothing was accepted")
	}
	if j.Caller != spec.Caller || j.Key != spec.IdempotencyKey || j.Digest != digest {
		return nil, refuse.Conflict()
	}
	return j.Status(), nil
}

package jobs

import (
	"context"
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/follow"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/stream"
)

// cachedRecords bounds the decoded records kept, each of about a chunk's size.
const cachedRecords = 24

type recordKey struct {
	stream string
	offset int64
	record uint32
}

type recordCache = lru.Cache[recordKey, *shard.Record]

func newRecordCache() *recordCache {
	c, err := lru.New[recordKey, *shard.Record](cachedRecords)
	if err != nil {
		panic(err)
	}
	return c
}

// record returns one record of the shard's stream, read from the log again unless it was of late.
func (p *part) record(ctx context.Context, at shard.Location) (*shard.Record, error) {
	key := recordKey{stream: p.Stream, offset: at.Offset, record: at.Record}
	if r, ok := p.m.chunks.Get(key); ok {
		return r, nil
	}
	// Many items of one chunk start together: one read is enough for all.
	v, err, _ := p.m.loads.Do(fmt.Sprint(key), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), follow.ReadTimeout)
		defer cancel()
		data, err := stream.ReadAt(ctx, p.m.Log, p.Stream, at.Offset, at.Record)
		if err != nil {
			return nil, err
		}
		r := &shard.Record{}
		if err := proto.Unmarshal(data, r); err != nil {
			return nil, err
		}
		p.m.chunks.Add(key, r)
		return r, nil
	})
	if err != nil {
		return nil, err
	}
	return v.(*shard.Record), nil
}

// item returns an item's input.
func (p *part) item(ctx context.Context, j *shard.Job, index uint32) (*shard.Item, error) {
	p.Lock()
	at, ok := j.Chunk(index)
	p.Unlock()
	if !ok {
		return nil, sardinerock.ErrNotFound
	}
	r, err := p.record(ctx, at)
	if err != nil {
		return nil, err
	}
	items := r.GetChunk().GetItems()
	if int(index-at.First) >= len(items) {
		return nil, sardinerock.ErrNotFound
	}
	return items[index-at.First], nil
}

// answer returns the recorded result of an item.
func (p *part) answer(ctx context.Context, at shard.Location, position int) (*shard.ItemDone, error) {
	r, err := p.record(ctx, at)
	if err != nil {
		return nil, err
	}
	items := r.GetDone().GetItems()
	if position >= len(items) {
		return nil, sardinerock.ErrNotFound
	}
	return items[position], nil
}

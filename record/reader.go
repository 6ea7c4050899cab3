package record

import (
	"context"
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/follow"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/stream"
)

// maxCachedRecords bounds the cached decoded records; each has about the size of a chunk.
const maxCachedRecords = 24

type key struct {
	stream string
	offset int64
	record uint32
}

// Reader reads records and caches the most recently used ones. It is safe for concurrent use.
type Reader struct {
	log   sardinerock.Log
	cache *lru.Cache[key, *shard.Record]
	loads singleflight.Group
}

// NewReader returns a Reader of log.
func NewReader(log sardinerock.Log) *Reader {
	c, err := lru.New[key, *shard.Record](maxCachedRecords)
	if err != nil {
		panic(err)
	}
	return &Reader{log: log, cache: c}
}

// Read returns one record of stream name, from the cache or the log. The read from the log is bounded by
// follow.ReadTimeout, not by ctx.
func (r *Reader) Read(ctx context.Context, name string, at shard.Location) (*shard.Record, error) {
	k := key{stream: name, offset: at.Offset, record: at.Record}
	if found, ok := r.cache.Get(k); ok {
		return found, nil
	}
	// Many items of a chunk start at the same time; they share one read.
	v, err, _ := r.loads.Do(fmt.Sprint(k), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), follow.ReadTimeout)
		defer cancel()
		data, err := stream.ReadAt(ctx, r.log, name, at.Offset, at.Record)
		if err != nil {
			return nil, err
		}
		read := &shard.Record{}
		if err := proto.Unmarshal(data, read); err != nil {
			return nil, err
		}
		r.cache.Add(k, read)
		return read, nil
	})
	if err != nil {
		return nil, err
	}
	return v.(*shard.Record), nil
}

// Item returns the input of the item with this index from the chunk at a location.
func (r *Reader) Item(ctx context.Context, name string, at shard.Location, index uint32) (*shard.Item, error) {
	chunk, err := r.Read(ctx, name, at)
	if err != nil {
		return nil, err
	}
	items := chunk.GetChunk().GetItems()
	if int(index-at.First) >= len(items) {
		return nil, sardinerock.ErrNotFound
	}
	return items[index-at.First], nil
}

// Result returns the result at a position of the record at a location.
func (r *Reader) Result(ctx context.Context, name string, at shard.Location, position int) (*shard.ItemDone, error) {
	done, err := r.Read(ctx, name, at)
	if err != nil {
		return nil, err
	}
	items := done.GetDone().GetItems()
	if position >= len(items) {
		return nil, sardinerock.ErrNotFound
	}
	return items[position], nil
}

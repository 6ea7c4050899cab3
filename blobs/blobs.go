package blobs

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/chunk"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed append; rejected calls
	// are billed too.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// maxLazyBackoff replaces maxBackoff for writes that no caller waits for. During an
	// outage of the store an entry has about a dozen results and progress records to write,
	// each with its own retries.
	maxLazyBackoff = 2 * time.Second
	// recordOverhead is the maximum number of bytes that the store's format and the key add
	// to a record.
	recordOverhead = 256
)

// Topics names the topics of the values. They are separate because a read in key order also
// returns neighboring keys: progress is removed once an item is done, so its topic stays
// small.
type Topics struct {
	Bodies   string
	Results  string
	Progress string
}

// Client reads and writes the large values of jobs. Its methods are safe for concurrent use.
type Client struct {
	Store  sardinerock.Store
	Topics Topics
	// Partitions is the number of partitions of each topic; a job's id selects the partition
	// of its values.
	Partitions int
	// RecordBytes and AppendBytes are the store's limits on the size of a record and of an
	// append.
	RecordBytes int
	AppendBytes int
	Events      *event.Logger
	Metrics     metrics.Registry

	appendTimeout await.AdaptiveTimeout
}

// ErrMissing is returned when a value is not in the store or its location holds another one.
var ErrMissing = errors.New("blobs: value not found in the store")

// partition returns the number of the partition that holds a job's values.
func (c *Client) partition(job string) int {
	return int(xxhash.Sum64String(job) % uint64(max(c.Partitions, 1)))
}

// contentKey returns the key of a value of a job. It includes the value's digest, so that a
// repeated write, also by another entry, replaces a value by the same value.
func contentKey(name string, digest uint64) string {
	return name + "/" + strconv.FormatUint(digest, 36)
}

// write stores a value under a name of its job; it retries until that succeeds or ctx ends.
func (c *Client) write(ctx context.Context, maxPause time.Duration, topic, job, name string, raw []byte) (sardinerock.ContentRef, error) {
	content := sardinerock.ContentRef{Partition: c.partition(job), Digest: xxhash.Sum64(raw)}
	records := chunk.Records(contentKey(name, content.Digest), raw, c.RecordBytes)
	var err error
	content.Ranges, err = c.appendAll(ctx, maxPause, sardinerock.PartitionName(topic, content.Partition), records)
	return content, err
}

// appendAll appends records in as many calls as their size requires.
func (c *Client) appendAll(ctx context.Context, maxPause time.Duration, partition string, records []sardinerock.StoreRecord) ([]sardinerock.RecordRange, error) {
	var ranges []sardinerock.RecordRange
	for len(records) > 0 {
		n := c.fitAppend(records)
		end, err := c.append(ctx, maxPause, partition, records[:n])
		if err != nil {
			return nil, err
		}
		p := sardinerock.RecordRange{Offset: end - int64(n), Records: n}
		for i := range records[:n] {
			raw, _ := chunk.Part(&records[i])
			p.Bytes += len(raw)
		}
		ranges, records = append(ranges, p), records[n:]
	}
	return ranges, nil
}

// fitAppend returns how many of the records fit into one append, at least one.
func (c *Client) fitAppend(records []sardinerock.StoreRecord) int {
	size := 0
	for n := range records {
		if size += len(records[n].Value) + recordOverhead; n > 0 && size > c.AppendBytes {
			return n
		}
	}
	return len(records)
}

// append appends records; it retries until that succeeds or ctx ends, with a pause that
// doubles up to maxPause. Appending records twice is harmless: the second ones have the same
// keys and values.
func (c *Client) append(ctx context.Context, maxPause time.Duration, partition string, records []sardinerock.StoreRecord) (int64, error) {
	pause := minBackoff
	for {
		end, err := c.appendOnce(ctx, partition, records)
		if err == nil {
			return end, nil
		}
		c.Events.Warn(event.AppendFailed).Str("topic", partition).Int("changes", len(records)).Err(err).Msg("append to the store failed; it is retried unless its time is up")
		if !await.Sleep(ctx, pause) {
			return 0, fmt.Errorf("blobs: append: %w: %w", ctx.Err(), err)
		}
		pause = min(2*pause, maxPause)
	}
}

func (c *Client) appendOnce(ctx context.Context, partition string, records []sardinerock.StoreRecord) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.appendTimeout.Next())
	defer cancel()
	begin := time.Now()
	end, err := c.Store.Append(ctx, partition, records)
	metrics.GetOrRegisterCounter("store.appends", c.Metrics).Inc(1)
	switch {
	case err == nil:
		c.appendTimeout.Answered(time.Since(begin))
	case errors.Is(err, context.DeadlineExceeded):
		c.appendTimeout.TimedOut()
	}
	return end, err
}

// read returns a value of a job. If the store no longer keeps the history at its location, or
// the location holds another value, it is looked up by key.
func (c *Client) read(ctx context.Context, topic, name string, content *sardinerock.ContentRef) ([]byte, error) {
	partition, key := sardinerock.PartitionName(topic, content.Partition), contentKey(name, content.Digest)
	raw, err := c.readRanges(ctx, partition, key, content)
	if errors.Is(err, sardinerock.ErrStoreGap) || errors.Is(err, ErrMissing) {
		raw, err = c.find(ctx, partition, key)
	}
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(raw) != content.Digest {
		return nil, fmt.Errorf("%w: digest of %s in %s does not match", ErrMissing, key, partition)
	}
	return raw, nil
}

// readRanges reads a value from the locations at which it was appended.
func (c *Client) readRanges(ctx context.Context, partition, key string, content *sardinerock.ContentRef) ([]byte, error) {
	raw := make([]byte, 0, content.Size())
	part := 0
	for _, p := range content.Ranges {
		for offset, remaining := p.Offset, p.Records; remaining > 0; {
			page, err := c.Store.Fetch(ctx, partition, offset, p.Bytes+remaining*recordOverhead)
			if err != nil {
				return nil, err
			}
			if len(page.Records) == 0 {
				return nil, fmt.Errorf("%w: no record for key %s in %s at offset %d", ErrMissing, key, partition, offset)
			}
			for n := 0; n < len(page.Records) && remaining > 0; n++ {
				r := &page.Records[n]
				if r.Key != chunk.PartKey(key, part) {
					return nil, fmt.Errorf("%w: expected key %s in %s at offset %d, found key %s", ErrMissing, key, partition, r.Offset, r.Key)
				}
				data, _ := chunk.Part(r)
				raw = append(raw, data...)
				part, offset, remaining = part+1, offset+1, remaining-1
			}
		}
	}
	return raw, nil
}

// find looks up a value by its key among the newest records of the partition.
func (c *Client) find(ctx context.Context, partition, key string) ([]byte, error) {
	parts := map[string][]byte{}
	err := c.list(ctx, partition, key+"/", func(r *sardinerock.StoreRecord) { parts[r.Key] = r.Value })
	if err != nil {
		return nil, err
	}
	var raw []byte
	for part := 0; ; part++ {
		value, ok := parts[chunk.PartKey(key, part)]
		if !ok {
			return nil, fmt.Errorf("%w: key %s in %s", ErrMissing, chunk.PartKey(key, part), partition)
		}
		data, last := chunk.Part(&sardinerock.StoreRecord{Value: value})
		if raw = append(raw, data...); last {
			return raw, nil
		}
	}
}

// list calls visit for the newest record of each key with the given prefix.
func (c *Client) list(ctx context.Context, partition, prefix string, visit func(r *sardinerock.StoreRecord)) error {
	for after := prefix; ; {
		page, err := c.Store.Newest(ctx, partition, after)
		if err != nil {
			return err
		}
		for n := range page.Records {
			r := &page.Records[n]
			if len(r.Key) < len(prefix) || r.Key[:len(prefix)] != prefix {
				return nil
			}
			visit(r)
			after = r.Key
		}
		if !page.More || len(page.Records) == 0 {
			return nil
		}
	}
}

package blobs

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/chunk"
	"github.com/sardinerock/sardinerock/event"
)

// maxParallelReads bounds the concurrent reads for one caller: ten results of a job are read
// in three rounds, and one caller does not take all connections to the store.
const maxParallelReads = 4

// canonical encodes equal values as equal bytes, independent of map order.
var canonical = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// WriteItems stores the items of a job; it retries until that succeeds or ctx ends.
func (c *Client) WriteItems(ctx context.Context, job string, items []sardinerock.BatchItem) (sardinerock.ContentRef, error) {
	raw, err := canonical.Marshal(items)
	if err != nil {
		return sardinerock.ContentRef{}, fmt.Errorf("blobs: encode items of job %s: %w", job, err)
	}
	return c.write(ctx, maxBackoff, c.Topics.Bodies, job, job, raw)
}

// ReadItems reads the items of a job from the location that WriteItems returned. If they are
// not in the store, the error wraps ErrMissing.
func (c *Client) ReadItems(ctx context.Context, job string, content *sardinerock.ContentRef) ([]sardinerock.BatchItem, error) {
	raw, err := c.read(ctx, c.Topics.Bodies, job, content)
	if err != nil {
		return nil, err
	}
	var items []sardinerock.BatchItem
	if err := cbor.Unmarshal(raw, &items); err != nil {
		return nil, fmt.Errorf("blobs: decode items of job %s: %w", job, err)
	}
	return items, nil
}

// WriteResult stores the text of an item's result; it retries until that succeeds or ctx
// ends.
func (c *Client) WriteResult(ctx context.Context, job string, index int, text string) (sardinerock.ContentRef, error) {
	return c.write(ctx, maxLazyBackoff, c.Topics.Results, job, itemName(job, index), []byte(text))
}

// Result is the location of the text of an item's result.
type Result struct {
	Index   int
	Content sardinerock.ContentRef
}

// ReadResults reads the texts of results of one job; the text of a result without a location
// is empty.
func (c *Client) ReadResults(ctx context.Context, job string, results []Result) ([]string, error) {
	texts := make([]string, len(results))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for n := range results {
		if len(results[n].Content.Ranges) == 0 {
			continue
		}
		group.Go(func() error {
			raw, err := c.read(ctx, c.Topics.Results, itemName(job, results[n].Index), &results[n].Content)
			texts[n] = string(raw)
			return err
		})
	}
	return texts, group.Wait()
}

func itemName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// Progress is the output of an unfinished item.
type Progress struct {
	// Position is after the last event whose data is in Text.
	Position sardinerock.Position
	// Text is the data of all events so far, separated by line feeds.
	Text string
}

// progressRecord is the encoding of Progress. Records of earlier builds have no Service.
type progressRecord struct {
	LastEvent string `cbor:"1,keyasint"`
	Text      string `cbor:"2,keyasint"`
	Service   string `cbor:"3,keyasint,omitempty"`
	Version   string `cbor:"4,keyasint,omitempty"`
}

// WriteProgress replaces the saved progress of some items of a job and removes that of
// others. Each record holds the whole text: an entry that resumes an item needs only the
// newest record, and the records of two entries that ran the item at the same time cannot be
// mixed. A text larger than one record is not saved.
func (c *Client) WriteProgress(ctx context.Context, job string, progress map[int]Progress, obsolete []int) error {
	var records []sardinerock.StoreRecord
	for index, p := range progress {
		raw, err := canonical.Marshal(&progressRecord{LastEvent: p.Position.LastEvent, Text: p.Text, Service: p.Position.Origin.Service, Version: p.Position.Origin.Version})
		if err != nil {
			return fmt.Errorf("blobs: encode progress of item %s: %w", itemName(job, index), err)
		}
		if parts := chunk.Records(itemName(job, index), raw, c.RecordBytes); len(parts) == 1 {
			records = append(records, parts...)
		}
	}
	for _, index := range obsolete {
		records = append(records, sardinerock.StoreRecord{Key: chunk.PartKey(itemName(job, index), 0)})
	}
	_, err := c.appendAll(ctx, maxLazyBackoff, sardinerock.PartitionName(c.Topics.Progress, c.partition(job)), records)
	return err
}

// ReadProgress returns the saved progress of the items of a job, by item index.
func (c *Client) ReadProgress(ctx context.Context, job string) (map[int]Progress, error) {
	progress := map[int]Progress{}
	partition := sardinerock.PartitionName(c.Topics.Progress, c.partition(job))
	err := c.list(ctx, partition, job+"/", func(r *sardinerock.StoreRecord) {
		name, _, _ := strings.Cut(strings.TrimPrefix(r.Key, job+"/"), "/")
		index, err := strconv.Atoi(name)
		if err != nil {
			return
		}
		raw, _ := chunk.Part(r)
		var p progressRecord
		if err := cbor.Unmarshal(raw, &p); err != nil || p.Service == "" {
			// The item starts over; an unreadable record must not prevent it from running, and a text of an unknown
			// origin can't go on.
			c.Events.Warn(event.RecordSkipped).Str("topic", partition).Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("unreadable progress record skipped; the item starts over")
			return
		}
		progress[index] = Progress{Text: p.Text, Position: sardinerock.Position{LastEvent: p.LastEvent, Origin: sardinerock.Origin{Service: p.Service, Version: p.Version}}}
	})
	return progress, err
}

// RemoveJob removes the values of a job: its items, the texts of its results, and any saved
// progress.
func (c *Client) RemoveJob(ctx context.Context, job string, bodies *sardinerock.ContentRef, results []Result) error {
	if err := c.remove(ctx, c.Topics.Bodies, bodies.Partition, contentKeys(job, bodies)); err != nil {
		return err
	}
	byPartition := map[int][]string{}
	for n := range results {
		content := &results[n].Content
		byPartition[content.Partition] = append(byPartition[content.Partition], contentKeys(itemName(job, results[n].Index), content)...)
	}
	for partition, keys := range byPartition {
		if err := c.remove(ctx, c.Topics.Results, partition, keys); err != nil {
			return err
		}
	}
	number := c.partition(job)
	var keys []string
	err := c.list(ctx, sardinerock.PartitionName(c.Topics.Progress, number), job+"/", func(r *sardinerock.StoreRecord) { keys = append(keys, r.Key) })
	if err != nil {
		return err
	}
	return c.remove(ctx, c.Topics.Progress, number, keys)
}

// contentKeys returns the keys of all records of a value.
func contentKeys(name string, content *sardinerock.ContentRef) []string {
	var keys []string
	for _, p := range content.Ranges {
		for range p.Records {
			keys = append(keys, chunk.PartKey(contentKey(name, content.Digest), len(keys)))
		}
	}
	return keys
}

func (c *Client) remove(ctx context.Context, topic string, partition int, keys []string) error {
	records := make([]sardinerock.StoreRecord, len(keys))
	for n, key := range keys {
		records[n].Key = key
	}
	_, err := c.appendAll(ctx, maxLazyBackoff, sardinerock.PartitionName(topic, partition), records)
	return err
}

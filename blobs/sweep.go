package blobs

import (
	"context"
	"errors"
	"strings"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// Sweeper removes values whose job is unknown: an entry failed after it wrote a value and
// before it wrote the record that refers to it, or a job was rejected after its bodies were
// written. Nothing else would remove them. The store keeps the newest record of each key
// forever and accepts no more appends beyond some size.
//
// A value is removed if its job was unknown in two consecutive scans, which are minutes
// apart, and the value was the same record both times. It is removed only if nothing was
// appended to the partition since the start of the scan, because a caller may resubmit a
// rejected job at that moment, whose bodies have the same keys.
type Sweeper struct {
	Blobs *Client
	// seen holds the records of unknown jobs found by the last scan of each partition: their
	// offsets by key.
	seen map[string]map[string]int64
}

// Sweep scans one partition of a topic and returns how many records it removed; known reports
// whether a job is known now.
func (s *Sweeper) Sweep(ctx context.Context, topic string, number int, known func(job string) bool) (int, error) {
	partition := sardinerock.PartitionName(topic, number)
	unknown, end, err := s.scan(ctx, partition, known)
	if err != nil {
		return 0, err
	}
	var removals []sardinerock.StoreRecord
	for key, offset := range unknown {
		if lastOffset, ok := s.seen[partition][key]; ok && lastOffset == offset {
			removals = append(removals, sardinerock.StoreRecord{Key: key})
		}
	}
	if s.seen == nil {
		s.seen = map[string]map[string]int64{}
	}
	s.seen[partition] = unknown
	if len(removals) == 0 {
		return 0, nil
	}
	removals = removals[:s.Blobs.fitAppend(removals)]
	_, err = s.Blobs.Store.AppendAt(ctx, partition, end, removals)
	if errors.Is(err, sardinerock.ErrStoreConflict) {
		// The next scan finds the same records.
		return 0, nil
	}
	if err == nil {
		s.Blobs.Events.Info(event.JobsExpired).Str("topic", partition).Int("records", len(removals)).Msg("values of unknown jobs removed")
	}
	return len(removals), err
}

// scan returns the offsets, by key, of the records in a partition whose jobs are unknown, and
// the end of the partition when the scan began.
func (s *Sweeper) scan(ctx context.Context, partition string, known func(job string) bool) (unknown map[string]int64, end int64, err error) {
	unknown, end = map[string]int64{}, -1
	for after := ""; ; {
		page, err := s.Blobs.Store.Newest(ctx, partition, after)
		if err != nil {
			return nil, 0, err
		}
		if end < 0 {
			end = page.End
		}
		for n := range page.Records {
			r := &page.Records[n]
			if job, _, _ := strings.Cut(r.Key, "/"); !known(job) {
				unknown[r.Key] = r.Offset
			}
			after = r.Key
		}
		if !page.More || len(page.Records) == 0 {
			return unknown, end, nil
		}
	}
}

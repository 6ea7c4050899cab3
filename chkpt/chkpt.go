package chkpt

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/stream"
)

// Checkpoint is the state of a stream folded up to the offset Resume.
//
// The checkpoints of a stream are stored in a second stream. They need no epoch: every process that folds the same
// records gets the same state, so a checkpoint that a replaced owner writes late is also valid. It must be complete, and
// reading must resume at Resume. Reading from where the checkpoint was written would skip the records in between.
type Checkpoint struct {
	// Resume is the offset of the next record to fold.
	Resume int64
	// State is the encoded state, Seen the records seen of each writer.
	State []byte
	Seen  stream.Seen
	// AtMs is the time of the checkpoint in Unix milliseconds.
	AtMs int64
}

// StreamName returns the name of the stream that holds the checkpoints of stream name.
func StreamName(name string) string { return name + "-checkpoints" }

// partBytes is the size of a checkpoint's parts; it is well below the maximum size of an append.
const partBytes = 256 << 10

// writerRetention is how long a checkpoint includes a writer after its last record: far longer than an append can be
// delayed in transit.
const writerRetention = 24 * time.Hour

// Save appends the parts of c under id. Each is retried until it is acknowledged; duplicates are harmless.
func Save(ctx context.Context, log sardinerock.Log, budget *stream.Budget, name string, id uint64, c *Checkpoint) error {
	count := (len(c.State) + partBytes - 1) / partBytes
	count = max(count, 1)
	for i := range count {
		p := &stream.Part{Id: id, Number: uint32(i), Count: uint32(count), Resume: c.Resume, AtMs: c.AtMs}
		p.State = c.State[i*partBytes : min((i+1)*partBytes, len(c.State))]
		if i == 0 {
			p.Writers = c.Seen.Snapshot(c.AtMs - writerRetention.Milliseconds())
		}
		if err := savePart(ctx, log, budget, StreamName(name), p); err != nil {
			return err
		}
	}
	return nil
}

func savePart(ctx context.Context, log sardinerock.Log, budget *stream.Budget, name string, p *stream.Part) error {
	data, err := proto.Marshal(p)
	if err != nil {
		return err
	}
	_, err = stream.AppendAtLeastOnce(ctx, log, budget, name, data)
	return err
}

// initialWindow is the distance from the end of the stream at which the search for a checkpoint starts, in offsets.
const initialWindow = 16

// Load returns a complete checkpoint of stream name with a Resume of at least minResume, or nil if there is none.
// It is usually the newest one. A checkpoint that a slow process wrote late may be returned instead; it is also valid,
// and minResume excludes checkpoints that need records the log has dropped.
//
// The log can only be read forward, and its checkpoints may take many megabytes. So Load reads the last few offsets and
// doubles this window until it contains a complete checkpoint. Offsets need not be contiguous, so an empty window doesn't
// mean that there is none.
func Load(ctx context.Context, log sardinerock.Log, name string, minResume int64) (*Checkpoint, error) {
	name = StreamName(name)
	b, err := log.Bounds(ctx, name)
	if err != nil {
		return nil, err
	}
	for window := int64(initialWindow); ; window *= 2 {
		from := max(b.First, b.Next-window)
		c, err := newestCheckpoint(ctx, log, name, from, b.Next, minResume)
		if errors.Is(err, sardinerock.ErrLogGap) {
			if b, err = log.Bounds(ctx, name); err == nil {
				continue
			}
		}
		if err != nil || c != nil || from <= b.First {
			return c, err
		}
	}
}

// newestCheckpoint returns the complete checkpoint with the highest Resume in the offsets [from, end), or nil.
func newestCheckpoint(ctx context.Context, log sardinerock.Log, name string, from, end, minResume int64) (*Checkpoint, error) {
	parts := map[uint64]map[uint32]*stream.Part{}
	for from < end {
		records, err := log.Read(ctx, name, from, 0)
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			break
		}
		for _, r := range records {
			from = r.Offset + 1
			p := &stream.Part{}
			if proto.Unmarshal(r.Data, p) != nil || p.GetNumber() >= p.GetCount() {
				continue
			}
			if parts[p.GetId()] == nil {
				parts[p.GetId()] = map[uint32]*stream.Part{}
			}
			parts[p.GetId()][p.GetNumber()] = p
		}
	}
	var newest *Checkpoint
	for _, set := range parts {
		c := assemble(set)
		if c != nil && c.Resume >= minResume && (newest == nil || c.Resume > newest.Resume) {
			newest = c
		}
	}
	return newest, nil
}

// assemble joins the parts of a checkpoint; it returns nil if parts are missing.
func assemble(set map[uint32]*stream.Part) *Checkpoint {
	first := set[0]
	if first == nil || len(set) != int(first.GetCount()) {
		return nil
	}
	c := &Checkpoint{Resume: first.GetResume(), Seen: stream.RestoreSeen(first.GetWriters()), AtMs: first.GetAtMs()}
	for i := range first.GetCount() {
		p := set[i]
		if p == nil {
			return nil
		}
		c.State = append(c.State, p.GetState()...)
	}
	return c
}

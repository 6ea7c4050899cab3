package config

import (
	"context"
	"crypto/rand"
	"errors"
	"math"
	mathrand "math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/order"
)

// checkpointPartBytes limits the data of one checkpoint record. It is far below the record limits of log services.
const checkpointPartBytes = 64 << 10

// errNoCheckpoint is returned if the oldest records are no longer in the log and no complete checkpoint covers them.
var errNoCheckpoint = errors.New("configuration: the log no longer has the needed records, and no complete checkpoint covers them")

// readFromLog returns the state folded from the newest complete checkpoint and the records after it.
func (m *Manager) readFromLog(ctx context.Context) (*order.State, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	s, err := m.newestCheckpoint(ctx)
	if err != nil {
		return nil, err
	}
	if s == nil {
		s = &order.State{}
	}
	for {
		records, err := m.Log.Read(ctx, order.Stream, s.Next, 0)
		if errors.Is(err, sardinerock.ErrLogGap) {
			return nil, errNoCheckpoint
		}
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			return s, nil
		}
		for _, r := range records {
			s, _, _ = order.Fold(s, r)
			m.recordCheckpoint(r, s.Version)
		}
	}
}

// newestCheckpoint returns the newest complete checkpoint, or nil if there is none. It reads the stream's end
// in ranges of growing size, so that a starting process doesn't read a day of old checkpoints.
func (m *Manager) newestCheckpoint(ctx context.Context) (*order.State, error) {
	bounds, err := m.Log.Bounds(ctx, order.CheckpointStream)
	if err != nil {
		return nil, err
	}
	const firstStep = 16
	for step := int64(firstStep); bounds.Next > bounds.First; step *= 4 {
		from := max(bounds.First, bounds.Next-step)
		s, err := m.checkpointFrom(ctx, from, bounds.Next)
		if err != nil {
			return nil, err
		}
		if s != nil || from == bounds.First || step > math.MaxInt64/8 {
			return s, nil
		}
	}
	return nil, nil
}

// checkpointFrom returns the newest complete checkpoint in the records with offsets in [from, until), or nil.
func (m *Manager) checkpointFrom(ctx context.Context, from, until int64) (*order.State, error) {
	incomplete := map[string][]*order.CheckpointPart{}
	var newest *order.State
	for from < until {
		records, err := m.Log.Read(ctx, order.CheckpointStream, from, 0)
		if err != nil {
			return nil, err
		}
		if len(records) == 0 {
			break
		}
		for _, r := range records {
			from = r.Offset + 1
			rec, err := order.DecodeRecord(r.Data)
			if err != nil || rec.CheckpointPart == nil {
				continue
			}
			if s := addPart(incomplete, rec.CheckpointPart); s != nil && (newest == nil || s.Next >= newest.Next) {
				newest = s
			}
		}
	}
	return newest, nil
}

// addPart adds a part to its checkpoint. It returns the state if the checkpoint is now complete and valid, otherwise nil.
func addPart(incomplete map[string][]*order.CheckpointPart, p *order.CheckpointPart) *order.State {
	const maxParts = 4096
	if p.Count < 1 || p.Count > maxParts || p.Index < 0 || p.Index >= p.Count {
		return nil
	}
	parts := incomplete[p.ID]
	if parts == nil {
		parts = make([]*order.CheckpointPart, p.Count)
		incomplete[p.ID] = parts
	}
	if len(parts) != p.Count {
		return nil
	}
	parts[p.Index] = p
	var data []byte
	for _, q := range parts {
		if q == nil {
			return nil
		}
		data = append(data, q.Data...)
	}
	delete(incomplete, p.ID)
	s, err := order.DecodeState(data)
	if err != nil || s.Next != p.AsOf {
		return nil
	}
	return s
}

// recordCheckpoint restarts the checkpoint interval if the record says that a process has written a checkpoint.
func (m *Manager) recordCheckpoint(r sardinerock.LogRecord, version int64) {
	rec, err := order.DecodeRecord(r.Data)
	if err != nil || rec.CheckpointMarker == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if rec.CheckpointMarker.AsOf >= m.checkpointAsOf {
		m.checkpointAsOf, m.checkpointVersion = rec.CheckpointMarker.AsOf, version
		// All entries read the marker at the same time. Without a random delay they would also all
		// write the next checkpoint at the same time.
		m.checkpointIntervalStart = time.Now().Add(mathrand.N(orDefault(m.CheckpointEvery, defaultCheckpointEvery) / 2))
	}
}

// checkpointIfDue writes a checkpoint if no process has written one during the interval.
//
// Any entry may write one. Checkpoints of several entries have the same content, so duplicates only cost
// bytes. Each entry adds a random delay, and the marker of the first checkpoint restarts the interval of
// the others. So of 370 entries only one or two write, without a leader election.
func (m *Manager) checkpointIfDue(ctx context.Context) {
	m.mu.Lock()
	s := m.state
	every := orDefault(m.CheckpointEvery, defaultCheckpointEvery)
	if m.checkpointIntervalStart.IsZero() {
		// A process that has just started doesn't know the time of the last checkpoint. It assumes a random time
		// within the last interval.
		m.checkpointIntervalStart = time.Now().Add(-mathrand.N(every))
	}
	changes := s.Version - m.checkpointVersion
	full := changes >= orDefault(m.CheckpointChanges, defaultCheckpointChanges)
	due := time.Since(m.checkpointIntervalStart) > every || full
	if due {
		// If the write fails or its marker is lost, wait before the next attempt.
		m.checkpointIntervalStart = time.Now().Add(-every + mathrand.N(every/4+1))
	}
	m.mu.Unlock()
	if !due || s.Version == 0 {
		return
	}
	if full && mathrand.N(16) > 0 {
		// All entries reach the number of changes at the same time, so only a random sixteenth of them writes.
		return
	}
	if err := m.writeCheckpoint(ctx, s); err != nil {
		m.Events.Warn(event.Checkpointed).Str("stream", order.CheckpointStream).Err(err).Msg("checkpoint not written; retrying later with a new one")
		return
	}
	m.Events.Info(event.Checkpointed).Str("stream", order.CheckpointStream).Int64("version", s.Version).Int64("asOf", s.Next).Msg("configuration checkpoint written")
}

// writeCheckpoint writes all parts of a checkpoint and then its marker. It returns the first error; readers ignore
// an incomplete checkpoint, and the next one doesn't depend on it.
func (m *Manager) writeCheckpoint(ctx context.Context, s *order.State) error {
	data := order.EncodeState(s)
	id := rand.Text()
	count := (len(data) + checkpointPartBytes - 1) / checkpointPartBytes
	for i := range count {
		part := data[i*checkpointPartBytes : min(len(data), (i+1)*checkpointPartBytes)]
		r := order.Record{CheckpointPart: &order.CheckpointPart{ID: id, AsOf: s.Next, Index: i, Count: count, Data: part}}
		if err := m.append(ctx, order.CheckpointStream, order.EncodeRecord(r)); err != nil {
			return merry.Prependf(err, "part %d of %d", i+1, count)
		}
	}
	return m.append(ctx, order.Stream, order.EncodeRecord(order.Record{CheckpointMarker: &order.CheckpointMarker{ID: id, AsOf: s.Next}}))
}

func (m *Manager) append(ctx context.Context, stream string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := m.Log.Append(ctx, stream, data)
	return err
}

package stream

import (
	"math"
	"slices"
)

// Seen deduplicates the records of a stream by writer and sequence number.
//
// A writer has one append per stream in flight and starts the next only when the
// result of the last is known. Late copies of an envelope therefore carry
// numbers at or below the writer's highest number, and one watermark per writer
// identifies them. Without it a copy of an append whose acknowledgement was lost
// would be processed twice, possibly hours later.
type Seen struct {
	writers map[uint64]*writerState
}

type writerState struct {
	watermark uint64
	withdrawn []uint64
	atMs      int64
}

// Admission is the result of Seen.Admit for one envelope.
type Admission struct {
	// Accepted has one element per record; it is false for duplicates and withdrawn records.
	Accepted []bool
	// Withdrawn lists the numbers whose withdrawal came before their record.
	Withdrawn []uint64
	// TooLate lists the numbers whose withdrawal came after their record.
	TooLate []uint64
}

// maxWithdrawn is the number of withdrawals kept per writer, so that a repeated
// withdrawal gets the same result; a writer has fewer of them open at a time.
const maxWithdrawn = 256

// Admit processes one envelope and returns which of its records are accepted.
func (s *Seen) Admit(e *Envelope) Admission {
	w := s.writer(e.GetWriter())
	w.atMs = max(w.atMs, e.GetAtMs())
	v := Admission{Accepted: make([]bool, len(e.GetRecords()))}
	for _, n := range e.GetWithdrawn() {
		known := slices.Contains(w.withdrawn, n)
		if n <= w.watermark && !known {
			v.TooLate = append(v.TooLate, n)
			continue
		}
		if !known {
			w.withdrawn = append(w.withdrawn, n)
		}
		v.Withdrawn = append(v.Withdrawn, n)
	}
	for i := range e.GetRecords() {
		n := e.GetFirst() + uint64(i)
		if n <= w.watermark {
			continue
		}
		w.watermark = n
		v.Accepted[i] = !slices.Contains(w.withdrawn, n)
	}
	w.withdrawn = w.withdrawn[max(0, len(w.withdrawn)-maxWithdrawn):]
	return v
}

func (s *Seen) writer(id uint64) *writerState {
	if s.writers == nil {
		s.writers = map[uint64]*writerState{}
	}
	w := s.writers[id]
	if w == nil {
		w = &writerState{}
		s.writers[id] = w
	}
	return w
}

// Snapshot returns the state of the writers that wrote at or after sinceMs, in
// milliseconds since 1970, sorted by writer.
func (s *Seen) Snapshot(sinceMs int64) []*WriterSeen {
	var all []*WriterSeen
	for id, w := range s.writers {
		if w.atMs < sinceMs {
			continue
		}
		all = append(all, &WriterSeen{Writer: id, Upto: w.watermark, Withdrawn: w.withdrawn, AtMs: w.atMs})
	}
	slices.SortFunc(all, func(a, b *WriterSeen) int {
		if a.GetWriter() < b.GetWriter() {
			return -1
		}
		return 1
	})
	return all
}

// Clone returns a deep copy.
func (s *Seen) Clone() Seen { return RestoreSeen(s.Snapshot(math.MinInt64)) }

// RestoreSeen returns a Seen with the writers of a snapshot.
func RestoreSeen(all []*WriterSeen) Seen {
	var s Seen
	for _, w := range all {
		*s.writer(w.GetWriter()) = writerState{watermark: w.GetUpto(), withdrawn: slices.Clone(w.GetWithdrawn()), atMs: w.GetAtMs()}
	}
	return s
}

package retry

import (
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// blockCrashes is the number of crashes and losses, with other requests in
	// flight, after which a request is blocked without an isolated retry.
	blockCrashes = 3
	// suspectLosses is the number of lost instances that make a request a suspect.
	// One loss is an ordinary event; retrying 30 requests alone for each would be worse.
	suspectLosses = 2
	// defaultTTL is the lifetime of a crash record: longer than a caller's own
	// retries, short enough that a wrong verdict expires soon.
	defaultTTL = 10 * time.Minute
	// maxSuspects bounds the records in memory; the one that expires first is evicted.
	maxSuspects = 4096
)

// Verdict says how a request may run.
type Verdict int

// The verdicts.
const (
	// Clear means that the request may run beside others.
	Clear Verdict = iota
	// Suspect means that it may only run with nothing else in flight.
	Suspect
	// Blocked means that it is refused.
	Blocked
)

// CrashRecord is what processes exchange about one suspected request.
type CrashRecord struct {
	Fingerprint uint64
	Blocked     bool
	// Remaining is the time until the record expires.
	Remaining time.Duration
	// Crashes and Losses are the ids of the crashes and lost instances at which the request was in flight.
	Crashes []uint64
	Losses  []uint64
	// Cleared are the ids of those after which it completed alone.
	Cleared []uint64
}

// Suspects records which requests were in flight when backend servers crashed;
// its zero value is ready to use.
//
// Failure: one request crashes each backend server that runs it, and its caller
// resends it. Without these records each attempt takes down a backend server
// and all other answers in progress there.
//
// When a backend server crashes and its side keeps running, all requests in
// flight become suspects and are retried only alone. A second crash under the
// isolated request blocks it; a normal end clears it. Records are exchanged in
// heartbeats from sides to entries and back. Merging them is a union of sets and
// therefore idempotent and independent of the order of messages.
//
// Bound: package route sends all isolated retries of a request to the same
// backend server. A request that is resent only after its refusal therefore
// crashes two backend servers: one before it is a suspect and one in the
// isolated retry. Copies that were running already, or were started in the two
// heartbeats before the records reached their entry and side, crash one each.
// docs/design/ONLINE.md lists the cases.
type Suspects struct {
	// TTL is the lifetime of a record; zero means ten minutes.
	TTL time.Duration

	records map[uint64]*record
}

type record struct {
	blocked bool
	expires time.Time
	crashes []uint64
	losses  []uint64
	cleared []uint64
}

// RecordCrash records that a backend server crashed while its side kept running.
// crash is the id of the event, the same in every process that records it; alone
// says that the request in flight was an isolated retry.
func (s *Suspects) RecordCrash(now time.Time, crash uint64, inFlight []uint64, alone bool) {
	for _, f := range inFlight {
		r := s.record(now, f)
		r.expires = now.Add(s.ttl())
		r.crashes = insert(r.crashes, crash)
		r.blocked = r.blocked || alone && len(inFlight) == 1 || r.unclearedTotal() >= blockCrashes
	}
}

// RecordLoss records that a side and its backend server failed together. The
// instance is the usual cause; only repeated losses make the request a suspect.
func (s *Suspects) RecordLoss(now time.Time, loss uint64, inFlight []uint64, alone bool) {
	for _, f := range inFlight {
		r := s.record(now, f)
		r.expires = now.Add(s.ttl())
		r.losses = insert(r.losses, loss)
		r.blocked = r.blocked || alone && len(inFlight) == 1 || r.unclearedTotal() >= blockCrashes
	}
}

// RecordSuccess records that a request completed without a crash; this clears a
// suspect only if it ran alone.
func (s *Suspects) RecordSuccess(now time.Time, fingerprint uint64, alone bool) {
	r := s.records[fingerprint]
	if r == nil || !alone || r.blocked || now.After(r.expires) {
		return
	}
	for _, c := range r.crashes {
		r.cleared = insert(r.cleared, c)
	}
	for _, c := range r.losses {
		r.cleared = insert(r.cleared, c)
	}
}

// Check returns how the request may run now.
func (s *Suspects) Check(now time.Time, fingerprint uint64) Verdict {
	r := s.records[fingerprint]
	switch {
	case r == nil:
		return Clear
	case now.After(r.expires):
		delete(s.records, fingerprint)
		return Clear
	case r.blocked:
		return Blocked
	case r.uncleared(r.crashes) > 0 || r.uncleared(r.losses) >= suspectLosses:
		return Suspect
	}
	return Clear
}

// Merge adds the records received from an entry or a side.
func (s *Suspects) Merge(now time.Time, records []CrashRecord) {
	for _, t := range records {
		if t.Remaining <= 0 {
			continue
		}
		r := s.record(now, t.Fingerprint)
		r.expires = later(r.expires, now.Add(min(t.Remaining, s.ttl())))
		r.blocked = r.blocked || t.Blocked
		for _, c := range t.Crashes {
			r.crashes = insert(r.crashes, c)
		}
		for _, c := range t.Losses {
			r.losses = insert(r.losses, c)
		}
		for _, c := range t.Cleared {
			r.cleared = insert(r.cleared, c)
		}
		r.blocked = r.blocked || r.unclearedTotal() >= blockCrashes
	}
}

// Snapshot returns the unexpired records, ordered by fingerprint, for heartbeats.
func (s *Suspects) Snapshot(now time.Time) []CrashRecord {
	var all []CrashRecord
	for f, r := range s.records {
		if now.After(r.expires) {
			delete(s.records, f)
			continue
		}
		all = append(all, CrashRecord{
			Fingerprint: f, Blocked: r.blocked, Remaining: r.expires.Sub(now),
			Crashes: slices.Clone(r.crashes), Losses: slices.Clone(r.losses), Cleared: slices.Clone(r.cleared),
		})
	}
	slices.SortFunc(all, func(a, b CrashRecord) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return all
}

// BlockedRefusal returns the refusal of a blocked request.
func BlockedRefusal(o sardinerock.Outcome) *sardinerock.Refusal {
	return &sardinerock.Refusal{
		Code:    sardinerock.CodeCrashSuspect,
		Message: "backend servers crashed while they ran this request; it is refused for some minutes",
		Outcome: o, RetryAfter: defaultTTL,
	}
}

func (s *Suspects) ttl() time.Duration {
	if s.TTL > 0 {
		return s.TTL
	}
	return defaultTTL
}

func (s *Suspects) record(now time.Time, fingerprint uint64) *record {
	if s.records == nil {
		s.records = make(map[uint64]*record)
	}
	r := s.records[fingerprint]
	if r == nil || now.After(r.expires) {
		s.evict(now)
		r = &record{expires: now}
		s.records[fingerprint] = r
	}
	return r
}

// evict makes room for a record when maxSuspects is reached: it removes expired
// records, or else the one that expires first and is not blocked.
func (s *Suspects) evict(now time.Time) {
	if len(s.records) < maxSuspects {
		return
	}
	var first uint64
	var until time.Time
	for f, r := range s.records {
		if now.After(r.expires) {
			delete(s.records, f)
			continue
		}
		if !r.blocked && (until.IsZero() || r.expires.Before(until)) {
			first, until = f, r.expires
		}
	}
	if len(s.records) >= maxSuspects {
		delete(s.records, first)
	}
}

// unclearedTotal counts the crashes and losses after which the request has not completed alone.
func (r *record) unclearedTotal() int { return r.uncleared(r.crashes) + r.uncleared(r.losses) }

// uncleared counts the events after which the request has not completed alone.
func (r *record) uncleared(events []uint64) int {
	n := 0
	for _, c := range events {
		if !slices.Contains(r.cleared, c) {
			n++
		}
	}
	return n
}

func insert(set []uint64, x uint64) []uint64 {
	i, found := slices.BinarySearch(set, x)
	if found {
		return set
	}
	return slices.Insert(set, i, x)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

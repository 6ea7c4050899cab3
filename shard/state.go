package shard

import (
	"time"

	"github.com/looplab/fsm"
	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/stream"
)

// NoEpoch is the epoch of a shard that was never claimed.
const NoEpoch = -1

// State is the result of folding a shard's records.
type State struct {
	// Owner is the id of the entry that runs the shard's items; empty if there is none.
	Owner string
	// Epoch is the offset of the record that last changed the owner. It is the fencing token of the owner's records.
	Epoch int64
	// Jobs holds the jobs by id, JobsByNumber by the number that later records use, Uploads the unsealed uploads by
	// upload id.
	Jobs         map[string]*Job
	JobsByNumber map[uint32]*Job
	Uploads      map[uint64]*Upload
	// StaleRecords counts the records that were ignored because of a stale epoch, LateResults the results that were
	// ignored because the item has one already or the job doesn't run.
	StaleRecords int
	LateResults  int
	nextNumber   uint32
	machine      *fsm.FSM
	onChange     func(*Job)
}

// NewState returns the state of an empty stream.
func NewState() *State {
	return &State{
		Epoch: NoEpoch, nextNumber: 1, machine: newStateMachine(),
		Jobs: map[string]*Job{}, JobsByNumber: map[uint32]*Job{}, Uploads: map[uint64]*Upload{},
	}
}

// OnChange sets the function that is called after a record changed a job.
func (s *State) OnChange(f func(*Job)) { s.onChange = f }

// Apply folds one envelope of the stream. Records that can't be decoded are ignored.
func (s *State) Apply(e *stream.Entry) {
	for i, data := range e.Records {
		if data == nil {
			continue
		}
		r := &Record{}
		if proto.Unmarshal(data, r) != nil {
			continue
		}
		s.apply(e, uint32(i), r)
	}
}

func (s *State) apply(e *stream.Entry, index uint32, r *Record) {
	at := Location{Offset: e.Offset, Record: index, AtMs: e.AtMs}
	switch k := r.GetKind().(type) {
	case *Record_Claim:
		s.claim(e.Offset, k.Claim)
	case *Record_Release:
		s.release(e.Offset, k.Release)
	case *Record_Chunk:
		s.chunk(at, k.Chunk)
	case *Record_Seal:
		s.seal(at, k.Seal)
	case *Record_Cancel:
		s.cancel(at, k.Cancel)
	case *Record_Stopped:
		s.stopped(k.Stopped)
	case *Record_Done:
		s.done(at, k.Done)
	case *Record_Failures:
		s.failures(k.Failures)
	case *Record_Expire:
		s.expire(k.Expire)
	}
}

// claim changes the owner if the claim names the current epoch. A claim that a paused process sends late names a
// stale epoch and has no effect.
func (s *State) claim(offset int64, c *Claim) {
	if c.GetReplaces() != s.Epoch || c.GetOwner() == "" {
		s.StaleRecords++
		return
	}
	s.Owner, s.Epoch = c.GetOwner(), offset
}

// release leaves the shard without an owner.
func (s *State) release(offset int64, r *Release) {
	if !s.checkEpoch(r.GetEpoch()) {
		return
	}
	s.Owner, s.Epoch = "", offset
}

// checkEpoch reports whether a record of an owner has the current epoch, and counts it as stale otherwise. An owner
// that was paused and replaced continues to write until it reads the new claim. If its results were accepted, the
// items that both owners started would run twice for that time, and each owner would consider its own results valid.
func (s *State) checkEpoch(epoch int64) bool {
	if s.Owner != "" && epoch == s.Epoch {
		return true
	}
	s.StaleRecords++
	return false
}

// chunk adds items to an upload. A chunk that doesn't follow the previous one is ignored, and the seal then fails.
func (s *State) chunk(at Location, c *Chunk) {
	at.First, at.Count = c.GetFirst(), uint32(len(c.GetItems()))
	if c.GetJob() != 0 {
		s.moveChunk(at, c)
		return
	}
	u := s.Uploads[c.GetUpload()]
	if u == nil {
		u = &Upload{}
		s.Uploads[c.GetUpload()] = u
	}
	if c.GetFirst() != u.Total {
		return
	}
	u.Chunks = append(u.Chunks, at)
	u.Total += at.Count
	u.AtMs = at.AtMs
}

// moveChunk makes the job use a copy of a chunk.
func (s *State) moveChunk(at Location, c *Chunk) {
	j := s.JobsByNumber[c.GetJob()]
	if !s.checkEpoch(c.GetEpoch()) || j == nil {
		return
	}
	for i, old := range j.Chunks {
		if old.First == at.First && old.Count == at.Count {
			j.Chunks[i] = at
		}
	}
}

// seal accepts a job. The seal of a retry is ignored, since the job exists already.
func (s *State) seal(at Location, r *Seal) {
	u := s.Uploads[r.GetUpload()]
	delete(s.Uploads, r.GetUpload())
	if s.Jobs[r.GetJob()] != nil || u == nil || u.Total != r.GetTotal() || u.Total == 0 {
		return
	}
	j := &Job{
		ID: r.GetJob(), Number: s.nextNumber, Caller: r.GetCaller(), Key: r.GetKey(), Path: r.GetPath(),
		Metadata: r.GetMetadata(), Digest: r.GetDigest(), Total: u.Total, Chunks: u.Chunks,
		Due: time.UnixMilli(r.GetDueMs()).UTC(), Created: time.UnixMilli(at.AtMs).UTC(),
		State: sardinerock.JobUploading, items: make([]item, u.Total),
	}
	s.nextNumber++
	s.fire(j, eventSeal)
	s.Jobs[j.ID], s.JobsByNumber[j.Number] = j, j
	s.notifyChange(j)
}

func (s *State) cancel(at Location, r *Cancel) {
	j := s.Jobs[r.GetJob()]
	if j == nil || !s.fire(j, eventCancel) {
		return
	}
	j.Ended = time.UnixMilli(at.AtMs).UTC()
	j.Chunks, j.Failures = nil, nil
	s.notifyChange(j)
}

func (s *State) stopped(r *Stopped) {
	j := s.JobsByNumber[r.GetJob()]
	if !s.checkEpoch(r.GetEpoch()) || j == nil || !s.fire(j, eventStop) {
		return
	}
	s.notifyChange(j)
}

// done records results. Only the first result of an item is accepted, and none after a cancellation.
func (s *State) done(at Location, r *Done) {
	j := s.JobsByNumber[r.GetJob()]
	if !s.checkEpoch(r.GetEpoch()) || j == nil {
		return
	}
	if r.GetCopy() {
		s.moveResults(at, j, r)
		return
	}
	if !j.Running() {
		s.LateResults++
		return
	}
	resultRecord := uint32(len(j.Results)) + 1
	for i, d := range r.GetItems() {
		if i > maxResultPosition || !j.Open(d.GetIndex()) {
			s.LateResults++
			continue
		}
		j.complete(d, item{resultRecord: resultRecord, position: uint16(i), failed: failedStatus(d.GetStatus())})
		at.Count++
	}
	if at.Count == 0 {
		return
	}
	j.Results = append(j.Results, at)
	if j.Completed+j.Failed == j.Total && s.fire(j, eventFinish) {
		j.Ended = time.UnixMilli(at.AtMs).UTC()
		j.Chunks, j.Failures = nil, nil
	}
	s.notifyChange(j)
}

func (j *Job) complete(d *ItemDone, it item) {
	j.items[d.GetIndex()] = it
	if it.failed {
		j.Failed++
	} else {
		j.Completed++
	}
	delete(j.Failures, d.GetIndex())
}

func failedStatus(status uint32) bool { return status != 0 && status/100 != 2 }

// moveResults makes items use copies of their results. The owner appends copies before the log drops the
// originals.
func (s *State) moveResults(at Location, j *Job, r *Done) {
	resultRecord := uint32(len(j.Results)) + 1
	for i, d := range r.GetItems() {
		index := d.GetIndex()
		if i > maxResultPosition || index >= uint32(len(j.items)) || j.items[index].resultRecord == 0 {
			continue
		}
		j.Results[j.items[index].resultRecord-1].Count--
		j.items[index].resultRecord, j.items[index].position = resultRecord, uint16(i)
		at.Count++
	}
	if at.Count > 0 {
		j.Results = append(j.Results, at)
	}
}

// failures counts failed attempts of items that have no result.
func (s *State) failures(r *Failures) {
	j := s.JobsByNumber[r.GetJob()]
	if !s.checkEpoch(r.GetEpoch()) || j == nil || !j.Running() {
		return
	}
	for _, index := range r.GetItems() {
		if !j.Open(index) {
			continue
		}
		if j.Failures == nil {
			j.Failures = map[uint32]uint32{}
		}
		j.Failures[index]++
	}
}

// expire removes an unsealed upload, the results of an ended job, or an expired job.
func (s *State) expire(r *Expire) {
	if !s.checkEpoch(r.GetEpoch()) {
		return
	}
	if r.GetUpload() != 0 {
		delete(s.Uploads, r.GetUpload())
		return
	}
	j := s.JobsByNumber[r.GetJob()]
	if j == nil {
		return
	}
	if r.GetForget() && j.State == sardinerock.JobExpired {
		delete(s.Jobs, j.ID)
		delete(s.JobsByNumber, j.Number)
		return
	}
	if s.fire(j, eventExpire) {
		j.items, j.Results = nil, nil
		s.notifyChange(j)
	}
}

func (s *State) notifyChange(j *Job) {
	if s.onChange != nil {
		s.onChange(j)
	}
}

package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinerock/sardinerock"
)

// Encode returns the encoding of the state for a checkpoint.
func (s *State) Encode() ([]byte, error) {
	snap := &Snapshot{Owner: s.Owner, Epoch: s.Epoch, NextNumber: s.nextNumber}
	for _, n := range slices.Sorted(maps.Keys(s.JobsByNumber)) {
		snap.Jobs = append(snap.Jobs, s.JobsByNumber[n].snapshot())
	}
	for id, u := range s.Uploads {
		snap.Uploads = append(snap.Uploads, &UploadSnapshot{Upload: id, Chunks: encodeLocations(u.Chunks), AtMs: u.AtMs, Total: u.Total})
	}
	slices.SortFunc(snap.GetUploads(), func(a, b *UploadSnapshot) int { return cmp.Compare(a.GetUpload(), b.GetUpload()) })
	return proto.Marshal(snap)
}

// Decode returns the state that Encode encoded.
func Decode(data []byte) (*State, error) {
	snap := &Snapshot{}
	if err := proto.Unmarshal(data, snap); err != nil {
		return nil, err
	}
	s := NewState()
	s.Owner, s.Epoch, s.nextNumber = snap.GetOwner(), snap.GetEpoch(), max(snap.GetNextNumber(), 1)
	for _, js := range snap.GetJobs() {
		j := js.job()
		s.Jobs[j.ID], s.JobsByNumber[j.Number] = j, j
	}
	for _, u := range snap.GetUploads() {
		s.Uploads[u.GetUpload()] = &Upload{Chunks: decodeLocations(u.GetChunks()), AtMs: u.GetAtMs(), Total: u.GetTotal()}
	}
	return s, nil
}

func (j *Job) snapshot() *JobSnapshot {
	js := &JobSnapshot{
		Number: j.Number, State: string(j.State), CreatedMs: j.Created.UnixMilli(),
		Seal: &Seal{
			Job: j.ID, Caller: j.Caller, Key: j.Key, Path: j.Path, DueMs: j.Due.UnixMilli(),
			Metadata: j.Metadata, Total: j.Total, Digest: j.Digest,
		},
		Chunks: encodeLocations(j.Chunks), Results: encodeLocations(j.Results), Failures: j.Failures,
		CompletedCount: j.Completed, FailedCount: j.Failed,
	}
	if !j.Ended.IsZero() {
		js.EndedMs = j.Ended.UnixMilli()
	}
	js.Place = make([]uint32, len(j.items))
	js.Position = make([]uint32, len(j.items))
	for i, it := range j.items {
		js.Place[i], js.Position[i] = it.resultRecord, uint32(it.position)
		if it.failed {
			js.Failed = append(js.Failed, uint32(i))
		}
	}
	return js
}

func (js *JobSnapshot) job() *Job {
	seal := js.GetSeal()
	j := &Job{
		ID: seal.GetJob(), Number: js.GetNumber(), Caller: seal.GetCaller(), Key: seal.GetKey(), Path: seal.GetPath(),
		Metadata: seal.GetMetadata(), Digest: seal.GetDigest(), Total: seal.GetTotal(),
		Due: time.UnixMilli(seal.GetDueMs()).UTC(), Created: time.UnixMilli(js.GetCreatedMs()).UTC(),
		State: sardinerock.JobState(js.GetState()), Chunks: decodeLocations(js.GetChunks()), Results: decodeLocations(js.GetResults()),
		Failures: js.GetFailures(), Completed: js.GetCompletedCount(), Failed: js.GetFailedCount(),
	}
	if js.GetEndedMs() != 0 {
		j.Ended = time.UnixMilli(js.GetEndedMs()).UTC()
	}
	if len(js.GetPosition()) != len(js.GetPlace()) {
		return j
	}
	j.items = make([]item, len(js.GetPlace()))
	for i, place := range js.GetPlace() {
		if place > uint32(len(j.Results)) {
			continue
		}
		j.items[i] = item{resultRecord: place, position: uint16(js.GetPosition()[i])}
	}
	for _, i := range js.GetFailed() {
		if i < uint32(len(j.items)) {
			j.items[i].failed = true
		}
	}
	return j
}

func encodeLocations(all []Location) []*Place {
	out := make([]*Place, len(all))
	for i, l := range all {
		out[i] = &Place{Offset: l.Offset, Record: l.Record, AtMs: l.AtMs, First: l.First, Count: l.Count}
	}
	return out
}

func decodeLocations(all []*Place) []Location {
	out := make([]Location, len(all))
	for i, p := range all {
		out[i] = Location{Offset: p.GetOffset(), Record: p.GetRecord(), AtMs: p.GetAtMs(), First: p.GetFirst(), Count: p.GetCount()}
	}
	return out
}

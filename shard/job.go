package shard

import (
	"math"
	"time"

	"github.com/sardinerock/sardinerock"
)

// Location refers to a record of the stream that holds items or results.
type Location struct {
	Offset int64
	// Record is the index of the record in the envelope at Offset.
	Record uint32
	// AtMs is when the envelope was written, in Unix milliseconds.
	AtMs int64
	// First is the index in the job of the first item of a chunk; unused for results.
	First uint32
	// Count is the number of items in a chunk, or of results in the record that are in use.
	Count uint32
}

// Job is one accepted job. It holds the locations of inputs and results in the log, not their contents.
type Job struct {
	ID       string
	Number   uint32
	Caller   string
	Key      string
	Path     string
	Metadata map[string]string
	Digest   uint64
	Due      time.Time
	Created  time.Time
	Ended    time.Time
	State    sardinerock.JobState
	Total    uint32
	// Completed and Failed count the items that have a result.
	Completed uint32
	Failed    uint32
	// Chunks are the locations of the items, Results those of the results.
	Chunks  []Location
	Results []Location
	// Failures holds the number of failed attempts by item; items without a failed attempt are missing.
	Failures map[uint32]uint32

	items []item
}

// item is the state of one item. It takes 8 bytes, since a shard may hold many millions of items.
type item struct {
	// resultRecord is 1 + the index into Results; 0 while the item has no result.
	resultRecord uint32
	// position is the index of the result in its record.
	position uint16
	failed   bool
}

// maxResultPosition is the highest index that a result can have in its record.
const maxResultPosition = math.MaxUint16

// Open reports whether the item exists and has no result yet.
func (j *Job) Open(index uint32) bool {
	return index < uint32(len(j.items)) && j.items[index].resultRecord == 0
}

// Running reports whether items of the job may start.
func (j *Job) Running() bool { return j.State == sardinerock.JobRunning }

// Result returns the location of the item's result and its index in that record, or false if the item has none.
func (j *Job) Result(index uint32) (Location, int, bool) {
	if index >= uint32(len(j.items)) || j.items[index].resultRecord == 0 {
		return Location{}, 0, false
	}
	it := j.items[index]
	return j.Results[it.resultRecord-1], int(it.position), true
}

// Chunk returns the chunk that holds the item, or false if no chunk does.
func (j *Job) Chunk(index uint32) (Location, bool) {
	low, high := 0, len(j.Chunks)
	for low < high {
		mid := (low + high) / 2
		if c := j.Chunks[mid]; index >= c.First+c.Count {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low == len(j.Chunks) || index < j.Chunks[low].First {
		return Location{}, false
	}
	return j.Chunks[low], true
}

// HasOpen reports whether any item of the chunk has no result yet.
func (j *Job) HasOpen(chunk Location) bool {
	for i := chunk.First; i < chunk.First+chunk.Count; i++ {
		if j.Open(i) {
			return true
		}
	}
	return false
}

// Status returns the status of the job that is sent to callers.
func (j *Job) Status() *sardinerock.JobStatus {
	return &sardinerock.JobStatus{
		ID: j.ID, Caller: j.Caller, Path: j.Path, State: j.State,
		Total: int(j.Total), Completed: int(j.Completed), Failed: int(j.Failed),
		CreatedAt: j.Created, EndedAt: j.Ended, Due: j.Due, Metadata: j.Metadata,
	}
}

// Upload is a job that is being uploaded and not sealed yet. AtMs is the time of its last chunk in Unix
// milliseconds.
type Upload struct {
	Chunks []Location
	Total  uint32
	AtMs   int64
}

package sardinerock

import (
	"context"
	"io"
	"time"
)

// JobState is the state of a batch job in its life cycle.
type JobState string

// The states of a job, in the order of its life cycle.
const (
	JobUploading  JobState = "uploading"
	JobRunning    JobState = "running"
	JobCancelling JobState = "cancelling"
	JobCancelled  JobState = "cancelled"
	JobFinished   JobState = "finished"
	JobExpired    JobState = "expired"
)

// JobSpec holds the parameters of a job that a caller creates.
type JobSpec struct {
	Caller string
	// IdempotencyKey identifies resends of a job, which return the first one. If the caller sends no key,
	// the HTTP server sets the digest of the content.
	IdempotencyKey string
	// Path is the path of each item's request, for example /v1/chat/completions.
	Path string
	// Due is when the job should be finished.
	Due time.Time
	// Metadata is set by the caller and returned unchanged.
	Metadata map[string]string
}

// JobItem is one item of a job.
type JobItem struct {
	// CustomID is the caller's ID of the item, unique within the job.
	CustomID string
	// Body is the body of the item's request.
	Body []byte
}

// JobStatus is a job as callers see it.
type JobStatus struct {
	ID        string            `json:"id"`
	Caller    string            `json:"caller"`
	Path      string            `json:"path"`
	State     JobState          `json:"state"`
	Total     int               `json:"total"`
	Completed int               `json:"completed"`
	Failed    int               `json:"failed"`
	CreatedAt time.Time         `json:"createdAt"`
	EndedAt   time.Time         `json:"endedAt,omitzero"`
	Due       time.Time         `json:"due"`
	Metadata  map[string]string `json:"metadata,omitempty"`
}

// ItemResult is the final result of an item, of which there is exactly one.
type ItemResult struct {
	CustomID string
	// Status is the HTTP status that the same request would have got online.
	Status int
	// Body is the answer, or the error in the JSON form of online requests.
	Body []byte
}

// JobStore creates, returns and cancels batch jobs. Errors are *Refusal. An
// operator may get and cancel any job. List with an empty caller returns the jobs
// of all callers.
type JobStore interface {
	// Create accepts a job. When it returns without an error, the job is in the log. items is read once, in chunks.
	Create(ctx context.Context, spec JobSpec, items func(yield func(JobItem) error) error) (*JobStatus, error)
	Get(ctx context.Context, caller, id string) (*JobStatus, error)
	// List returns at most limit jobs of the caller, the newest first.
	List(ctx context.Context, caller string, limit int) ([]JobStatus, error)
	// Cancel returns once the cancellation is in the log.
	Cancel(ctx context.Context, caller, id string) (*JobStatus, error)
	// Results calls yield for each recorded result, in the order of the items, until yield returns an error.
	Results(ctx context.Context, caller, id string, yield func(ItemResult) error) error
}

// BatchRunner runs items on the idle capacity of the fleet.
type BatchRunner interface {
	// IdleSlots returns how many more batch items this process may start now.
	IdleSlots() int
	// RunItem runs one item. The error is a *Refusal. Cancelling ctx stops the item in the engine.
	RunItem(ctx context.Context, r *Request) (Result, string, error)
}

// FileStore stores uploaded files until a job is created from them.
type FileStore interface {
	Put(ctx context.Context, caller, name string, content io.Reader) (FileInfo, error)
	Open(ctx context.Context, caller, id string) (io.ReadCloser, FileInfo, error)
}

// FileInfo describes an uploaded file.
type FileInfo struct {
	ID        string
	Name      string
	Bytes     int64
	CreatedAt time.Time
}

package sardinerock

import (
	"context"
	"io"
	"time"
)

// JobState is where a batch job is in its life.
type JobState string

// The states of a job, in the order in which it passes them.
const (
	JobUploading  JobState = "uploading"
	JobRunning    JobState = "running"
	JobCancelling JobState = "cancelling"
	JobCancelled  JobState = "cancelled"
	JobFinished   JobState = "finished"
	JobExpired    JobState = "expired"
)

// JobSpec is what a caller hands in with a job.
type JobSpec struct {
	Caller string
	// IdempotencyKey makes resends meet the first copy; the front sets the digest of the content when the caller gives none.
	IdempotencyKey string
	// Path is the path that each item is for, for example /v1/chat/completions.
	Path string
	// Due is when the job should be done.
	Due time.Time
	// Metadata is the caller's own, returned as it came.
	Metadata map[string]string
}

// JobItem is one item of a job.
type JobItem struct {
	// CustomID is the caller's name for the item, unique within the job.
	CustomID string
	// Body is the item's request.
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

// ItemResult is the one result of an item.
type ItemResult struct {
	CustomID string
	// Status is the HTTP status that the item would have got online.
	Status int
	// Body is the answer, or the error in the usual JSON form.
	Body []byte
}

// JobStore takes, shows and cancels batch jobs. Errors are *Refusal. A caller
// who is an operator may get and cancel any job; List with an empty caller
// returns those of all.
type JobStore interface {
	// Create accepts a job: when it returns, the job is in the log. items is read once, in chunks.
	Create(ctx context.Context, spec JobSpec, items func(yield func(JobItem) error) error) (*JobStatus, error)
	Get(ctx context.Context, caller, id string) (*JobStatus, error)
	// List returns the caller's jobs, the newest first.
	List(ctx context.Context, caller string, limit int) ([]JobStatus, error)
	// Cancel returns once the cancellation is in the log.
	Cancel(ctx context.Context, caller, id string) (*JobStatus, error)
	// Results calls yield for each recorded result, in the order of the items.
	Results(ctx context.Context, caller, id string, yield func(ItemResult) error) error
}

// BatchRunner runs items on the idle capacity of the fleet.
type BatchRunner interface {
	// IdleSlots returns how many more batch items this process may have running now.
	IdleSlots() int
	// RunItem runs one item; the error is a *Refusal. Cancelling ctx stops it at the engine.
	RunItem(ctx context.Context, r *Request) (Result, string, error)
}

// FileStore keeps uploaded files until a job takes them over.
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

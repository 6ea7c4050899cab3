package forms

import (
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
)

// BatchBody is the body of the request that creates a batch job.
type BatchBody struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// BatchCounts holds the number of a job's items, in all and by result.
type BatchCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Batch is the batch object of the API that describes a job.
type Batch struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at"`
	ExpiresAt        *int64            `json:"expires_at,omitempty"`
	CompletedAt      *int64            `json:"completed_at,omitempty"`
	CancelledAt      *int64            `json:"cancelled_at,omitempty"`
	ExpiredAt        *int64            `json:"expired_at,omitempty"`
	RequestCounts    BatchCounts       `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

// batchStates maps a job's states to the API's names.
var batchStates = map[sardinerock.JobState]string{
	sardinerock.JobUploading:  "validating",
	sardinerock.JobRunning:    "in_progress",
	sardinerock.JobCancelling: "cancelling",
	sardinerock.JobCancelled:  "cancelled",
	sardinerock.JobFinished:   "completed",
	sardinerock.JobExpired:    "expired",
}

// Window returns a job's completion window as callers write it: 24h, not 24h0m0s.
func Window(j *sardinerock.JobStatus) string {
	text := j.Due.Sub(j.CreatedAt).Round(time.Second).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// NewBatch returns the batch object for a job. The ids of the result files are set only once
// the job has ended.
func NewBatch(j *sardinerock.JobStatus) Batch {
	b := Batch{
		ID: j.ID, Object: "batch", Endpoint: j.Path, Status: batchStates[j.State],
		CompletionWindow: Window(j),
		CreatedAt:        j.CreatedAt.Unix(), InProgressAt: j.CreatedAt.Unix(), ExpiresAt: unix(j.Due),
		RequestCounts: BatchCounts{Total: j.Total, Completed: j.Completed, Failed: j.Failed},
		Metadata:      j.Metadata,
	}
	switch j.State {
	case sardinerock.JobFinished:
		b.CompletedAt = unix(j.EndedAt)
	case sardinerock.JobCancelled:
		b.CancelledAt = unix(j.EndedAt)
	case sardinerock.JobExpired:
		b.ExpiredAt = unix(j.EndedAt)
	default:
		return b
	}
	if j.Completed > 0 {
		b.OutputFileID = outputPrefix + j.ID
	}
	if j.Failed > 0 {
		b.ErrorFileID = errorPrefix + j.ID
	}
	return b
}

// unix returns a time in Unix seconds, or nil for the zero time.
func unix(t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	n := t.Unix()
	return &n
}

package sardinerock

import (
	"context"
	"time"
)

// Verdict says that a request, or one of some causes that requests share, ends backend servers.
type Verdict struct {
	// Key is the hash of the request or of the causes.
	Key uint64
	// Causes are those of which one ends backend servers; empty if Key is the hash of a whole request.
	Causes []uint64
	// Count is the number of failures one after the other of a request, or of failed trials with the causes.
	Count int
	// Age is the time since the latest failure.
	Age time.Duration
}

// VerdictStore keeps verdicts where they outlive the entries. Its methods are safe for concurrent use.
type VerdictStore interface {
	// Put records a verdict in the background, unless one with its key and as great a count is on record.
	Put(v Verdict)
	// Delete deletes the verdict with the key and the causes of v in the background.
	Delete(v Verdict)
	// Charge records a verdict with the count that it has if a trial fails, before that is sent. After an error, which is that of
	// the store, the trial must not be sent, and is charged again with the same count.
	Charge(ctx context.Context, v Verdict) error
}

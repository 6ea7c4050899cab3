package item

import (
	"fmt"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/shard"
)

const (
	// MaxBytes bounds the size of one item and of one result. A record that is too large for the log would be retried
	// forever and block all later records.
	MaxBytes = 1 << 20
	// Overhead is an upper bound on the bytes that an item or result takes in a record in addition to its payload.
	Overhead = 24
)

// Request returns the request that runs one item. Its id is the same for all attempts of all owners, so that a backend
// server can recognize duplicates. The runner parses the body, by the rules for online requests.
func Request(j *shard.Job, index uint32, it *shard.Item, deadline time.Time) *sardinerock.Request {
	return &sardinerock.Request{
		ID: fmt.Sprintf("%s-%d", j.ID, index), Caller: j.Caller, Key: j.ID, Class: sardinerock.ClassBatch,
		Path: j.Path, Body: it.GetBody(), Idempotent: true, Deadline: deadline,
	}
}

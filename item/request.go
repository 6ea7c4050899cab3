package item

import (
	"fmt"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/shard"
)

const (
	// MaxBytes bounds one item and one result: a record that the log always
	// refuses would be repeated for good and hold up all that comes after it.
	MaxBytes = 1 << 20
	// Overhead is more than what an item or result takes in a record beside its payload.
	Overhead = 24
)

// Request makes the request that runs one item. Its id is the same for every
// try by every owner, so that a backend server that sees two knows them for
// one. What the body says is read by the runner, by the rules for online requests.
func Request(j *shard.Job, index uint32, it *shard.Item, deadline time.Time) *sardinerock.Request {
	return &sardinerock.Request{
		ID: fmt.Sprintf("%s-%d", j.ID, index), Caller: j.Caller, Key: j.ID, Class: sardinerock.ClassBatch,
		Path: j.Path, Body: it.GetBody(), Idempotent: true, Deadline: deadline,
	}
}

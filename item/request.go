package item

import (
	"fmt"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/shard"
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

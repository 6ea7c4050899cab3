package digest

import (
	"maps"
	"slices"

	"github.com/sardinerock/sardinerock/blame"
	"github.com/sardinerock/sardinerock/crash"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/speed"
)

// Message is the state of one entry.
type Message struct {
	// Sender is the pool.Hash of the sender's name, and Start identifies the sender's incarnation.
	Sender uint32
	Start  int64
	// Sequence orders the messages of one incarnation.
	Sequence uint64
	Loads    []pool.Load
	// Items are the short hashes of the batch items that are running at the sender.
	Items []uint32
	// Waiting is the number of batch items that the sender could start.
	Waiting int
	// Leaving is set while the sender is shutting down.
	Leaving bool
	// StoreLost is set while the sender can't read the store, or hasn't loaded the jobs yet.
	StoreLost bool
	// Starting is set, together with StoreLost, until the sender has loaded the jobs.
	Starting bool
	// Crashes are the failures of backend servers during requests, by the hash of the request's content.
	Crashes map[uint64]crash.Report
	// Blame is what the sender knows of prompts that end backend servers.
	Blame []blame.Report
	// Aborts are the backend servers that recently aborted requests of the sender.
	Aborts []pool.Abort
	// Quota holds the sender's counts of recent requests of teams.
	Quota []quota.Report
	// Speeds are what the sender's responses show of the speeds of some backend servers.
	Speeds []speed.Report

	// From is the sender's name. It isn't sent; the receiver sets it.
	From string
}

// SameContent reports whether two messages carry the same state, whatever their sequences.
func (m *Message) SameContent(other *Message) bool {
	return m.Waiting == other.Waiting && m.Leaving == other.Leaving && m.StoreLost == other.StoreLost && m.Starting == other.Starting &&
		slices.Equal(m.Loads, other.Loads) && slices.Equal(m.Items, other.Items) && maps.Equal(m.Crashes, other.Crashes) &&
		slices.EqualFunc(m.Blame, other.Blame, blame.Report.Equal) && slices.Equal(m.Aborts, other.Aborts) && slices.Equal(m.Quota, other.Quota) && slices.Equal(m.Speeds, other.Speeds)
}

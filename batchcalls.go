package sardinerock

import (
	"net/http"
	"time"
)

// BatchItem is one request of a batch job. Its body is opaque.
type BatchItem struct {
	ID     string            `cbor:"1,keyasint"`
	Path   string            `cbor:"2,keyasint"`
	Header map[string]string `cbor:"3,keyasint"`
	Body   []byte            `cbor:"4,keyasint"`
	// Tokens counts towards the route's MaxTokens: the tokens of the prompt plus the maximum of the answer.
	Tokens int64 `cbor:"5,keyasint"`
}

// BatchResult is the final state of an item.
type BatchResult struct {
	Item      string `cbor:"1,keyasint"`
	Succeeded bool   `cbor:"2,keyasint"`
	// Text is the data of all events in order, separated by line feeds.
	Text string `cbor:"3,keyasint"`
}

// BatchCallKind is the kind of a call about an accepted batch job.
type BatchCallKind int

// The kinds of calls about a batch job.
const (
	// BatchRead reads results.
	BatchRead BatchCallKind = iota
	// BatchItemBody reads the body of an item.
	BatchItemBody
	// BatchCancel ends the job; its open items are no longer run.
	BatchCancel
)

// BatchCall is a caller's call about a batch job that was submitted before.
type BatchCall struct {
	Kind BatchCallKind
	Job  string
	// Item is the item's ID, set for BatchItemBody.
	Item string
	// From is the first position to read and Wait how long to wait for it, both for BatchRead.
	From int
	Wait time.Duration
	// Team is the caller's team, empty if callers don't use keys. Unverified is set if
	// this entry can't verify the caller; a peer may be able to.
	Team       string
	Unverified bool
}

// BatchDialect translates between requests about batch jobs and the platform's format.
type BatchDialect interface {
	// ParseBatch parses the body of a batch job. Errors name the item and the field at fault.
	ParseBatch(body []byte) ([]BatchItem, error)
	// ReadBatchCall returns false if the request is not a call about a batch job.
	ReadBatchCall(r *http.Request) (BatchCall, bool)
	// WriteResults writes the response to BatchRead: results starting at position from, of total
	// items. It may write only the first of them.
	WriteResults(w http.ResponseWriter, total, from int, results []BatchResult) error
	// ItemCall returns the call that runs an item of a team's job.
	ItemCall(host, team string, i *BatchItem) *Call
	// ItemDeadline returns how long a backend server may take for an item.
	ItemDeadline() time.Duration
}

// BatchHandler serves callers' requests about batch jobs.
type BatchHandler interface {
	// Submit accepts or rejects a batch job. received is when its request arrived, and
	// waitedBefore how long the caller had waited before that.
	Submit(w http.ResponseWriter, r *http.Request, route *Route, call *Call, received time.Time, waitedBefore time.Duration)
	// Call serves a call about an accepted batch job.
	Call(w http.ResponseWriter, r *http.Request, call BatchCall)
}

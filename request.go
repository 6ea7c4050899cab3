package sardinerock

import (
	"context"
	"time"
)

// Class is the priority class of a request.
type Class int

// The classes, the more urgent one first: interactive requests and items of batch jobs.
const (
	ClassOnline Class = iota
	ClassBatch
)

// Request is a request of a caller, or an item of a batch job, that is routed to a backend server.
type Request struct {
	// ID is the same for all attempts of the request.
	ID string
	// Caller is the caller's name in the bundle; Key identifies which of the caller's keys was used.
	Caller string
	Key    string
	Class  Class
	// Path is the caller's path, for example /v1/chat/completions.
	Path string
	// Model, Version and Adapter are set for model engines.
	Model   string
	Version string
	Adapter string
	// Service is set for plain services, with the method and the headers to forward.
	Service string
	Method  string
	Header  map[string]string
	Body    []byte
	// Idempotent is set if the request may run more than once: for generations, and for plain calls
	// unless the bundle excludes them.
	Idempotent bool
	// PromptTokens and MaxTokens estimate the request's cost in tokens.
	PromptTokens int
	MaxTokens    int
	// Prefixes are the prompt's PrefixHashes.
	Prefixes []uint64
	// Fingerprint is the same for all requests with the same content.
	Fingerprint uint64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ConfigVersion is the bundle version under which the request was routed.
	ConfigVersion int64
}

// Result is the result of a request that ran.
type Result struct {
	EngineResult
	// Reply is set for plain services.
	Reply *ServiceReply
}

// OnlineServer serves requests on any suitable backend server of the fleet.
type OnlineServer interface {
	// Serve calls emit for each token of the whole answer in order. The error is always a *Refusal.
	Serve(ctx context.Context, r *Request, emit func(Token) error) (Result, error)
}

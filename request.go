package sardinerock

import (
	"context"
	"time"
)

// Class tells interactive work from bulk work.
type Class int

// The classes, the more urgent first.
const (
	ClassOnline Class = iota
	ClassBatch
)

// Request is one unit of work on its way from a caller, or a batch job, to a backend server.
type Request struct {
	// ID is the same for all attempts at the request.
	ID string
	// Caller is the caller's name in the bundle; Key tells the caller's own keys apart.
	Caller string
	Key    string
	Class  Class
	// Path is the caller's path, for example /v1/chat/completions.
	Path string
	// Model, Version and Adapter are set for model engines.
	Model   string
	Version string
	Adapter string
	// Service is set for plain services, with the method and headers to pass on.
	Service string
	Method  string
	Header  map[string]string
	Body    []byte
	// Idempotent says that running the request twice does no harm. Generations are, plain calls only if the bundle does not exclude it.
	Idempotent bool
	// PromptTokens and MaxTokens estimate the request's cost in tokens.
	PromptTokens int
	MaxTokens    int
	// Prefixes are hashes of the prompt's leading blocks, the shortest first.
	Prefixes []uint64
	// Fingerprint is the same for every resend of the same content.
	Fingerprint uint64
	// Deadline is when the caller gives up.
	Deadline time.Time
	// ConfigVersion is the bundle version under which the request was routed.
	ConfigVersion int64
}

// Result closes a request that ran.
type Result struct {
	EngineResult
	// Reply is set for plain services.
	Reply *ServiceReply
}

// OnlineServer answers one request, wherever it may run.
type OnlineServer interface {
	// Serve calls emit for each token of the whole answer in order. The error is always a *Refusal.
	Serve(ctx context.Context, r *Request, emit func(Token) error) (Result, error)
}

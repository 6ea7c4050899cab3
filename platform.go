package sardinerock

import (
	"context"
	"time"
)

// LogRecord is one record of a stream of the platform's log service.
type LogRecord struct {
	// Offset is the record's position in its stream. Offsets increase but need not be contiguous.
	Offset int64
	// Data is the record's content, as appended.
	Data []byte
}

// LogBounds is the range of offsets of a stream that the log service retains.
type LogBounds struct {
	// First is the offset of the oldest retained record, or Next if there is none.
	First int64
	// Next is the offset of the next record to be appended; 0 means that nothing was ever appended.
	Next int64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends one record and returns its offset. ErrLogRefused means that
	// the record was not and will not be appended. After any other error it may have
	// been appended, or may still be.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records at or after from, in order, waiting at most wait
	// for the first. An empty result is not an error. ErrLogGap means that records
	// at from are no longer retained.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]LogRecord, error)
	// Bounds returns the range of the stream that is retained.
	Bounds(ctx context.Context, stream string) (LogBounds, error)
}

// Role is the role of a process of the system.
type Role string

// The roles of long-running processes: an entry serves callers, a side runs beside a backend server.
const (
	RoleEntry Role = "entry"
	RoleSide  Role = "side"
)

// Instance is an element of the platform's instance list. It may be outdated, since the list lags.
type Instance struct {
	// ID is unique and never reused.
	ID string `json:"id"`
	// Role is the role of the system's process on the instance.
	Role Role `json:"role"`
	// Region and Zone are the location of the instance; Zone is the availability zone.
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Address is the host:port on which the system's process accepts connections from its peers.
	Address string `json:"address"`
	// Service is the name of the plain service of a side, empty for the side of a model engine.
	Service string `json:"service,omitempty"`
	// Leaving is set when the platform has decided to stop the instance.
	Leaving bool `json:"leaving,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances. It lags behind their actual state.
type InstanceList interface {
	// Instances returns the platform's current list.
	Instances(ctx context.Context) ([]Instance, error)
}

// EngineRequest is a request for one generation that a side sends to its engine.
type EngineRequest struct {
	// Attempt is unique per attempt and identifies the stream at the engine.
	Attempt string
	// Path is the caller's path, for example /v1/chat/completions.
	Path string
	// Model, Version and Adapter select what generates the answer; Adapter may be empty.
	Model   string
	Version string
	Adapter string
	// Body is the unchanged body of the caller's request.
	Body []byte
	// ResumeTokens and ResumeText are the number of tokens and the text that the caller has received from earlier attempts.
	ResumeTokens int
	ResumeText   string
}

// Token is one generated token of an answer.
type Token struct {
	// Index is the position of the token in the whole answer, from 0, across attempts.
	Index int
	// Text is the text of this token only.
	Text string
}

// EngineResult is the result of a finished generation.
type EngineResult struct {
	// FinishReason is "stop" or "length", as sent to callers.
	FinishReason string
	// PromptTokens and CompletionTokens count the tokens of the whole answer, not only those of the last attempt.
	PromptTokens     int
	CompletionTokens int
}

// EngineReport is the last load report of an engine, which lags behind its actual load.
type EngineReport struct {
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	CacheUsed     float64   `json:"cacheUsed"`
	MeasuredAt    time.Time `json:"measuredAt"`
	CacheSequence int64     `json:"cacheSequence"`
}

// CacheEvent records that an engine cached or dropped a prompt prefix.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped,omitempty"`
}

// LoadedModel is a combination of model, version and adapter that an engine has loaded.
type LoadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// OrderAction is the action that an order requests from an engine.
type OrderAction string

// The actions that engines support.
const (
	OrderLoad   OrderAction = "load"
	OrderUnload OrderAction = "unload"
)

// EngineOrder is an order to an engine to load or unload a model.
type EngineOrder struct {
	Action OrderAction `json:"action"`
	Target LoadedModel `json:"target"`
	// Fence is the fencing token. Engines that check it reject orders with a token below the highest seen.
	Fence int64 `json:"fence"`
}

// EngineState is the set of models that an engine has loaded and the fencing token of the last order that it accepted.
type EngineState struct {
	Loaded []LoadedModel `json:"loaded"`
	Fence  int64         `json:"fence"`
	// ChecksFence is false for engines that accept orders with any fencing token.
	ChecksFence bool `json:"checksFence"`
}

// Engine is a client of a model engine.
type Engine interface {
	// Generate runs one request and calls emit for each new token in order.
	// Cancelling ctx cancels the stream at the engine. An error that wraps
	// ErrNotSent proves that the engine never received the request.
	Generate(ctx context.Context, r *EngineRequest, emit func(Token) error) (EngineResult, error)
	// Report returns the engine's last load report.
	Report(ctx context.Context) (EngineReport, error)
	// CacheEvents returns events after the given sequence number; gaps are possible.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// Order sends an order. ErrFenced means that the engine has seen a newer fencing token.
	Order(ctx context.Context, o EngineOrder) error
	// State returns which models the engine has loaded.
	State(ctx context.Context) (EngineState, error)
}

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	Method string
	Path   string
	Header map[string]string
	Body   []byte
}

// ServiceReply is a plain service's response.
type ServiceReply struct {
	Status int
	Header map[string]string
	Body   []byte
	// Unframed is set if the reply has neither a length nor chunks, so that its end doesn't prove that
	// it is complete.
	Unframed bool
}

// PlainService is a client of a backend server of a plain service.
type PlainService interface {
	// Call sends one call. An error that wraps ErrNotSent proves that it was never sent.
	Call(ctx context.Context, r *ServiceRequest) (*ServiceReply, error)
}

package sardinerock

import (
	"context"
	"time"
)

// LogRecord is one record of a stream of the platform's log service.
type LogRecord struct {
	// Offset is the record's place in its stream; offsets grow without being contiguous.
	Offset int64
	// Data is the record as it was appended.
	Data []byte
}

// LogBounds says which part of a stream the log service still keeps.
type LogBounds struct {
	// First is the offset of the oldest record kept, or Next when there is none.
	First int64
	// Next is the offset that the next appended record gets; 0 means that nothing was ever appended.
	Next int64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record and returns its offset. ErrLogRefused means that
	// the record is not there; any other error leaves open whether it is, or
	// will be, there.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records at or after from, in order, waiting at most wait
	// for the first. An empty result is no error. ErrLogGap means that records
	// at from are no longer kept.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]LogRecord, error)
	// Bounds returns the part of the stream that is still kept.
	Bounds(ctx context.Context, stream string) (LogBounds, error)
}

// Role says what a process of the system does.
type Role string

// The two long-running roles.
const (
	RoleEntry Role = "entry"
	RoleSide  Role = "side"
)

// Instance is one line of the platform's instance list, as old as the list is.
type Instance struct {
	// ID is unique for the instance's life and never used again.
	ID string `json:"id"`
	// Role is the role of the system's process on the instance.
	Role Role `json:"role"`
	// Region and Zone say where the instance stands; Zone is the availability zone.
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Address is the host:port on which the system's process takes connections from its peers.
	Address string `json:"address"`
	// Service names the plain service beside a side, and is empty beside a model engine.
	Service string `json:"service,omitempty"`
	// Leaving is set once the platform has decided to stop the instance.
	Leaving bool `json:"leaving,omitempty"`
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	// Instances returns the list as the platform has it now.
	Instances(ctx context.Context) ([]Instance, error)
}

// EngineRequest is one generation that a side asks of its engine.
type EngineRequest struct {
	// Attempt is unique per try and names the stream at the engine.
	Attempt string
	// Path is the caller's path, for example /v1/chat/completions.
	Path string
	// Model, Version and Adapter name what is to answer; Adapter may be empty.
	Model   string
	Version string
	Adapter string
	// Body is the caller's request as it came.
	Body []byte
	// ResumeTokens and ResumeText are what the caller has got already from an earlier attempt.
	ResumeTokens int
	ResumeText   string
}

// Token is one generated token of an answer.
type Token struct {
	// Index counts the tokens of the whole answer from 0, across attempts.
	Index int
	// Text is the token's text.
	Text string
}

// EngineResult closes a generation.
type EngineResult struct {
	// FinishReason is "stop" or "length", as callers know it.
	FinishReason string
	// PromptTokens and CompletionTokens count the whole answer, not the attempt.
	PromptTokens     int
	CompletionTokens int
}

// EngineReport is an engine's load as it last reported it, with a lag.
type EngineReport struct {
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	CacheUsed     float64   `json:"cacheUsed"`
	MeasuredAt    time.Time `json:"measuredAt"`
	CacheSequence int64     `json:"cacheSequence"`
}

// CacheEvent says that an engine stored or dropped a prompt prefix.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Dropped  bool   `json:"dropped,omitempty"`
}

// LoadedModel is one model, adapter and version that an engine holds.
type LoadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// OrderAction is what an order asks of an engine.
type OrderAction string

// The orders that engines take.
const (
	OrderLoad   OrderAction = "load"
	OrderUnload OrderAction = "unload"
)

// EngineOrder is one order to an engine.
type EngineOrder struct {
	Action OrderAction `json:"action"`
	Target LoadedModel `json:"target"`
	// Fence is the fencing number; engines that check it refuse one below the highest seen.
	Fence int64 `json:"fence"`
}

// EngineState is what an engine holds and whom it last obeyed.
type EngineState struct {
	Loaded []LoadedModel `json:"loaded"`
	Fence  int64         `json:"fence"`
	// ChecksFence is false for engines that take orders with any fencing number.
	ChecksFence bool `json:"checksFence"`
}

// Engine is one model engine.
type Engine interface {
	// Generate runs one request and calls emit for each new token in order.
	// Cancelling ctx cancels the stream at the engine. An error that wraps
	// ErrNotSent proves that the engine never got the request.
	Generate(ctx context.Context, r *EngineRequest, emit func(Token) error) (EngineResult, error)
	// Report returns the engine's last load report.
	Report(ctx context.Context) (EngineReport, error)
	// CacheEvents returns events after the given sequence number; gaps are possible.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// Order gives an order. ErrFenced means that a newer fencing number was seen.
	Order(ctx context.Context, o EngineOrder) error
	// State reads back what the engine holds.
	State(ctx context.Context) (EngineState, error)
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Method string
	Path   string
	Header map[string]string
	Body   []byte
}

// ServiceReply is a plain service's answer.
type ServiceReply struct {
	Status int
	Header map[string]string
	Body   []byte
}

// PlainService is one plain backend server.
type PlainService interface {
	// Call runs one call; an error that wraps ErrNotSent proves that it was never sent.
	Call(ctx context.Context, r *ServiceRequest) (*ServiceReply, error)
}

package sardinerock

import "time"

// Gate is the admission control of one backend server: it decides which attempts start, wait, are refused or
// are preempted. It is not safe for concurrent use. The returned actions are for the caller, the side, to execute.
type Gate interface {
	// Offer adds an attempt. Its GateStart or GateRefuse is returned by this call or by a later one.
	Offer(now time.Time, w Work) []GateAction
	// Token records that the engine generated the attempt's next token.
	Token(now time.Time, attempt string)
	// Done records that a started attempt no longer runs in the engine, also after a preemption or Cancel.
	Done(now time.Time, attempt string, s GateSample) []GateAction
	// Cancel removes a waiting attempt. If the attempt has started, the caller also stops its stream and then calls Done.
	Cancel(now time.Time, attempt string) []GateAction
	// Quarantine records that a request is suspected of crashing backend servers. Its waiting
	// attempts then run only while nothing else does; if the request is blocked, they are refused.
	Quarantine(now time.Time, fingerprint uint64, blocked bool) []GateAction
	// Tick applies the passage of time. Call it about every 20 ms.
	Tick(now time.Time) []GateAction
	// SetLimits changes the limits without affecting running attempts.
	SetLimits(now time.Time, l GateLimits) []GateAction
	// Drain refuses the waiting attempts and all later offers as not run, and preempts batch work.
	Drain(now time.Time) []GateAction
	// State returns the gate's state for heartbeats.
	State() GateState
}

// Work is the part of an attempt that a gate needs.
type Work struct {
	Attempt string
	// Team, Caller and Key identify the queue of the work in fair queuing. An empty Team counts as a team.
	Team   string
	Caller string
	Key    string
	Class  Class
	// PromptTokens and MaxTokens estimate the cost in tokens.
	PromptTokens int
	MaxTokens    int
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// TeamWeight and Weight are the weights of the team and of the caller; values below 1 count as 1.
	TeamWeight int
	Weight     int
	// Alone requires that nothing else runs at the backend server, because the work is suspected of crashing backend servers.
	Alone bool
	// Fingerprint is the same for all requests with the same content.
	Fingerprint uint64
}

// GateActionKind is the kind of an action that the side executes on an attempt.
type GateActionKind int

// The kinds of actions.
const (
	// GateStart sends the attempt to the backend server.
	GateStart GateActionKind = iota
	// GateRefuse ends the attempt with the refusal; it did not run.
	GateRefuse
	// GatePreempt cancels the stream of a running batch attempt and returns the item to its owner.
	GatePreempt
)

// GateAction is an action that the side must execute on an attempt.
type GateAction struct {
	Kind    GateActionKind
	Attempt string
	// Refusal is set for GateRefuse.
	Refusal *Refusal
	// Waited is how long a started attempt was queued in the gate.
	Waited time.Duration
}

// GateSample is the actual cost of an attempt that no longer runs in the engine.
type GateSample struct {
	PromptTokens     int
	CompletionTokens int
	// Failed is set if the attempt did not finish.
	Failed bool
}

// GateLimits are the bounds within which a gate adapts.
type GateLimits struct {
	// MinSlots and MaxSlots bound the concurrent streams; values below 1 count as 1.
	MinSlots int
	MaxSlots int
	// FirstTokenTarget is the target for the engine's time to first token; zero means none.
	FirstTokenTarget time.Duration
	// TokenGapTarget is the target for the time between tokens; zero means none.
	TokenGapTarget time.Duration
	// PromptShare is the fraction of the engine's time that the prefill of batch prompts may take
	// while the engine decodes online work; zero means a tenth.
	PromptShare float64
}

// GateState is the state of a gate, sent in heartbeats.
type GateState struct {
	Slots         int
	OnlineRunning int
	OnlineWaiting int
	BatchRunning  int
	BatchWaiting  int
	// BatchCredit is how many more batch items the gate accepts now.
	BatchCredit int
	// Reserve is how many free slots batch work must not use, so that they are left for a burst of online work.
	Reserve int
	// FirstToken and TokenGap are smoothed latencies of online work; zero if unknown.
	FirstToken time.Duration
	TokenGap   time.Duration
	Draining   bool
}

package sardinerock

import "time"

// Gate decides at one backend server what starts, waits, is refused or preempted; it isn't safe for concurrent use.
type Gate interface {
	// Offer hands in one attempt; its Start or Refuse comes with this call or a later one.
	Offer(now time.Time, w Work) []GateAction
	// Token tells that the attempt's next token came from the engine.
	Token(now time.Time, attempt string)
	// Done tells that a started attempt has left the engine, also after Preempt or Cancel.
	Done(now time.Time, attempt string, s GateSample) []GateAction
	// Cancel tells that nobody wants the attempt any more; of a started one the caller stops the stream and calls Done.
	Cancel(now time.Time, attempt string) []GateAction
	// Quarantine tells that a request has come under suspicion of crashing backend
	// servers: what waits of it runs only alone, or if guilty is refused.
	Quarantine(now time.Time, fingerprint uint64, guilty bool) []GateAction
	// Tick lets time pass; call it every 20 ms or so.
	Tick(now time.Time) []GateAction
	// SetLimits changes the bounds without touching what runs.
	SetLimits(now time.Time, l GateLimits) []GateAction
	// Drain refuses what waits and all later offers as not run and preempts batch work.
	Drain(now time.Time) []GateAction
	// State returns what heartbeats tell of the gate.
	State() GateState
}

// Work is one attempt as gates see it.
type Work struct {
	Attempt string
	// Team, Caller and Key name whose turn the work takes; an empty Team is one of its own.
	Team   string
	Caller string
	Key    string
	Class  Class
	// PromptTokens and MaxTokens estimate the cost in tokens.
	PromptTokens int
	MaxTokens    int
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// TeamWeight and Weight are shares of the team and of the caller; below 1 counts as 1.
	TeamWeight int
	Weight     int
	// Alone asks for a backend server to itself: the work is suspected of crashing backend servers.
	Alone bool
	// Fingerprint is the same for every resend of the same content.
	Fingerprint uint64
}

// GateActionKind says what the side has to do with an attempt.
type GateActionKind int

// The kinds of action.
const (
	// GateStart sends the attempt to the backend server.
	GateStart GateActionKind = iota
	// GateRefuse ends the attempt with the refusal; it did not run.
	GateRefuse
	// GatePreempt cancels the stream of a running batch attempt and hands the item back.
	GatePreempt
)

// GateAction is one order of the gate to its side.
type GateAction struct {
	Kind    GateActionKind
	Attempt string
	// Refusal is set for GateRefuse.
	Refusal *Refusal
	// Waited is how long a started attempt stood at the gate.
	Waited time.Duration
}

// GateSample is what an attempt has shown when it leaves the engine.
type GateSample struct {
	PromptTokens     int
	CompletionTokens int
	// Failed says that the attempt did not come to its end.
	Failed bool
}

// GateLimits are the bounds within which a gate adapts.
type GateLimits struct {
	// MinSlots and MaxSlots bound the concurrent streams; below 1 counts as 1.
	MinSlots int
	MaxSlots int
	// FirstTokenTarget is the engine's time to first token that the gate steers for; zero means none.
	FirstTokenTarget time.Duration
	// TokenGapTarget is the time between tokens that the gate steers for; zero means none.
	TokenGapTarget time.Duration
	// PromptShare is the part of the engine's time that batch prompts may take while online work decodes; zero means a tenth.
	PromptShare float64
}

// GateState is what a gate shows of itself in heartbeats.
type GateState struct {
	Slots         int
	OnlineRunning int
	OnlineWaiting int
	BatchRunning  int
	BatchWaiting  int
	// BatchCredit is how many more batch items are welcome now.
	BatchCredit int
	// Reserve is how many slots are kept from batch work for the next burst.
	Reserve int
	// FirstToken and TokenGap are smoothed figures of online work; zero when unknown.
	FirstToken time.Duration
	TokenGap   time.Duration
	Draining   bool
}

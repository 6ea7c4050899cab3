package engine

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/params"
)

// Knobs set the speed and the faults of a fake engine; POST /knobs changes them at run time.
type Knobs struct {
	// Slots is how many streams run at once; 0 means no bound. Further streams
	// wait in a FIFO queue, whatever their priority.
	Slots int `json:"slots"`
	// StepUs is the duration of one step in microseconds; each running stream
	// gets one token a step. PerStreamUs is added for each running stream.
	StepUs      int `json:"stepUs"`
	PerStreamUs int `json:"perStreamUs"`
	// PrefillTokensPerSecond is the prefill speed; 0 means that prefill takes no time.
	// PrefillChunk is how many prompt tokens one step computes; 0 means 512.
	PrefillTokensPerSecond int `json:"prefillTokensPerSecond"`
	PrefillChunk           int `json:"prefillChunk"`
	// SlowFactor multiplies the duration of each step; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// CacheBlocks is the capacity of the prefix cache in blocks; 0 means no cache.
	CacheBlocks int `json:"cacheBlocks"`
	// CacheEventLagMs delays cache events. One of every CacheEventGap events is
	// never delivered; 0 means that all are.
	CacheEventLagMs int `json:"cacheEventLagMs"`
	CacheEventGap   int `json:"cacheEventGap"`
	// ReportLagMs is the least age of the load reports that readers get; 0 means current reports.
	ReportLagMs int `json:"reportLagMs"`
	// A request whose body contains CrashMarker crashes the engine CrashMs after
	// it arrives; empty means none does.
	CrashMarker string `json:"crashMarker"`
	CrashMs     int    `json:"crashMs"`
	// Raising Silence makes the connections that are open at that moment
	// unresponsive: they stay open, accept requests and never answer. New
	// connections work.
	Silence int `json:"silence"`
	// ChecksFence makes the engine reject orders with a lower fencing token than one before.
	ChecksFence bool `json:"checksFence"`
}

// WeightSource provides the weights of a model; Fetch returns once they are delivered.
type WeightSource interface {
	Fetch(ctx context.Context, target sardinerock.LoadedModel) error
}

// Fake is a fake model engine with continuous batching. It works in steps, as
// such engines do: in each step every running stream gets one token, and prefill
// computes a chunk of the prompts, in the order of arrival, which makes the step
// longer for all streams. So a long prompt slows down all running streams, and a
// stream without a free slot waits behind all that arrived before it.
type Fake struct {
	Knobs Knobs
	// Preloaded are the models that are loaded at the start and after a crash.
	Preloaded []sardinerock.LoadedModel
	// Weights provides the weights when a model is loaded; nil means that loading takes no time.
	Weights WeightSource
	// OnCrash is called after a crash; it closes the engine's connections or ends its process.
	OnCrash func()

	mux            params.Router
	mu             sync.Mutex
	initialized    bool
	crashes        int
	appliedSilence int
	// connections maps the remote address of each connection to whether it is unresponsive.
	connections    map[string]bool
	stepLoopActive bool
	running        []*stream
	waiting        []*stream
	generated      int64
	cache          *lru.Cache[uint64, struct{}]
	events         []timedEvent
	sequence       int64
	visibleReport  sardinerock.EngineReport
	latestReport   sardinerock.EngineReport
	orders         orderState
}

// stream is one request that the engine answers.
type stream struct {
	target  sardinerock.LoadedModel
	attempt string
	answer  []string
	// next is the index of the next token to emit.
	next int
	// promptTokens is the length of the whole prompt. uncomputed is how many tokens
	// prefill has still to compute: of the prompt without its cached blocks, and of
	// the answer that is resumed.
	promptTokens int
	uncomputed   int
	// blocks are the hashes of the prompt's blocks; stored is set once they are in the cache.
	blocks []uint64
	stored bool
	// maxTokens is the caller's bound on the tokens of the answer.
	maxTokens int
	// tokens has capacity for the whole answer, so that a slow reader doesn't block a step.
	tokens chan int
}

const defaultPrefillChunk = 512

// initialize sets the state of a newly started process, once. The caller holds e.mu.
func (e *Fake) initialize() {
	if e.initialized {
		return
	}
	e.initialized = true
	e.connections = make(map[string]bool)
	e.orders = orderState{loaded: make(map[sardinerock.LoadedModel]bool)}
	for _, m := range e.Preloaded {
		e.orders.loaded[m] = true
	}
	e.newCache()
}

// Crash resets the engine as if its process had crashed and restarted: running
// streams and the cache are lost, and only the preloaded models are loaded.
func (e *Fake) Crash() {
	e.mu.Lock()
	e.crashes++
	e.initialized = false
	e.running, e.waiting, e.events = nil, nil, nil
	e.visibleReport, e.latestReport = sardinerock.EngineReport{}, sardinerock.EngineReport{}
	e.initialize()
	onCrash := e.OnCrash
	e.mu.Unlock()
	if onCrash != nil {
		onCrash()
	}
}

// Crashes returns how often the engine has crashed.
func (e *Fake) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Generated returns how many tokens the engine has emitted since its creation; a crash doesn't reset the count.
func (e *Fake) Generated() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generated
}

// SetKnobs replaces all knobs at run time, as POST /knobs does for single fields.
func (e *Fake) SetKnobs(k Knobs) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.initialize()
	e.Knobs = k
	e.applyKnobs()
}

// submit queues a stream. Its tokens are sent to s.tokens, which is closed at the end of the answer.
func (e *Fake) submit(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting = append(e.waiting, s)
	if !e.stepLoopActive {
		e.stepLoopActive = true
		go e.runSteps()
	}
}

// cancel removes a stream, whether it runs or waits.
func (e *Fake) cancel(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = removeStream(e.running, s)
	e.waiting = removeStream(e.waiting, s)
}

func removeStream(streams []*stream, s *stream) []*stream {
	for i, other := range streams {
		if other == s {
			return append(streams[:i:i], streams[i+1:]...)
		}
	}
	return streams
}

// runSteps runs steps until no stream is left.
func (e *Fake) runSteps() {
	stepEnd := time.Now()
	for {
		e.mu.Lock()
		e.admit()
		e.sampleReport(time.Now())
		if len(e.running) == 0 {
			e.stepLoopActive = false
			e.mu.Unlock()
			return
		}
		duration := e.prefill()
		e.mu.Unlock()

		// If a sleep ends late, the next step is shortened by that time. A longer
		// delay, as after an idle time, is not made up for.
		if now := time.Now(); stepEnd.Before(now.Add(-duration)) {
			stepEnd = now
		}
		stepEnd = stepEnd.Add(duration)
		if wait := time.Until(stepEnd); wait > 0 {
			time.Sleep(wait)
		}

		e.mu.Lock()
		e.emitTokens()
		e.mu.Unlock()
	}
}

// admit moves waiting streams into free slots.
func (e *Fake) admit() {
	for len(e.waiting) > 0 && (e.Knobs.Slots == 0 || len(e.running) < e.Knobs.Slots) {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.uncomputed = s.promptTokens + s.next - e.cachedBlocks(s.blocks)*sardinerock.BlockTokens
		e.running = append(e.running, s)
	}
}

// prefill computes this step's chunk of prompt tokens and returns the duration of the step.
func (e *Fake) prefill() time.Duration {
	chunk := e.Knobs.PrefillChunk
	if chunk == 0 {
		chunk = defaultPrefillChunk
	}
	computed := 0
	for _, s := range e.running {
		n := min(s.uncomputed, chunk-computed)
		s.uncomputed -= n
		computed += n
	}
	duration := time.Duration(e.Knobs.StepUs+e.Knobs.PerStreamUs*len(e.running)) * time.Microsecond
	if speed := e.Knobs.PrefillTokensPerSecond; speed > 0 {
		duration += time.Duration(computed) * time.Second / time.Duration(speed)
	}
	if e.Knobs.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * e.Knobs.SlowFactor)
	}
	return duration
}

// emitTokens ends a step: each stream whose prefill is complete gets its next token.
func (e *Fake) emitTokens() {
	unfinished := e.running[:0:0]
	for _, s := range e.running {
		if s.uncomputed > 0 {
			unfinished = append(unfinished, s)
			continue
		}
		if !s.stored {
			e.storeBlocks(s.blocks)
			s.stored = true
		}
		s.tokens <- s.next
		s.next++
		e.generated++
		if s.next < len(s.answer) {
			unfinished = append(unfinished, s)
			continue
		}
		close(s.tokens)
	}
	e.running = unfinished
}

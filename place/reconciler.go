package place

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// Reconciler loads and unloads the models of one engine until they match the plan, and keeps them so.
//
// Engines that check the fencing token reject the orders of a superseded side. For those
// that do not, the reconciler reads the engine's state before each order and sends none if
// the state has a higher token, reads it back after the order, and checks it again at
// intervals. An order that a paused side still gets through between two checks is undone
// at the next one, so it lasts at most Interval.
type Reconciler struct {
	Engine sardinerock.Engine
	// Self is the side's instance id. Process is unique to the process.
	Self    string
	Process string
	Config  sardinerock.ConfigSource
	// Sides returns the instances to plan for, including this side. It is empty until they are known.
	Sides func() []sardinerock.Instance
	// InUse reports whether requests for a model are running or queued at this side.
	InUse  func(sardinerock.LoadedModel) bool
	Events *event.Logger
	// StoreBytesPerSecond is the weight store's rate for the whole fleet; with 0, loads are not spread over time.
	StoreBytesPerSecond int64
	// Interval is the time between two checks of an engine that matches the plan.
	Interval time.Duration
	// Grace and RelocationGrace are as in Inputs.
	Grace           time.Duration
	RelocationGrace time.Duration

	mu           sync.Mutex
	state        sardinerock.EngineState
	controlState *fsm.FSM
	fence        int64
	// version is the configuration version on which fence is based.
	version        int64
	target         Target
	planned        bool
	plannedVersion int64
	plannedSides   []sardinerock.Instance
	earliestLoad   time.Time
	completeSince  time.Time
	failures       int
}

// Defaults for fields left zero.
const (
	defaultInterval        = time.Second
	defaultGrace           = 10 * time.Second
	defaultRelocationGrace = 5 * time.Minute
	orderTimeout           = 10 * time.Minute
	stateTimeout           = 3 * time.Second
	maxBackoff             = 30 * time.Second
)

// States of a reconciler and the event between them.
const (
	stateInControl  = "inCharge"
	stateSuperseded = "superseded"
	eventSupersede  = "supersede"
)

func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

// Loaded returns the engine's models as of the last check.
func (r *Reconciler) Loaded() []sardinerock.LoadedModel {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.state.Loaded)
}

// Superseded reports whether another side controls this engine. This process then sends no more orders.
func (r *Reconciler) Superseded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controlState != nil && r.controlState.Is(stateSuperseded)
}

// Run reconciles the engine until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := r.Step(ctx, time.Now())
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return ctx.Err()
}

// Step checks the engine's state once, sends at most one order, and returns the time until the next check.
func (r *Reconciler) Step(ctx context.Context, now time.Time) time.Duration {
	interval := orDefault(r.Interval, defaultInterval)
	state, err := r.readState(ctx)
	if err != nil {
		return r.backOff(interval)
	}
	snapshot := r.Config.Current()
	if snapshot == nil || r.Superseded() {
		return interval
	}
	if !r.plan(now, snapshot) || !r.checkFence(state, snapshot.Version) {
		return interval
	}
	step := Next(r.inputs(now, state))
	if step.Action == "" {
		r.failures = 0
		return interval
	}
	if err := r.execute(ctx, step); err != nil {
		return r.backOff(interval)
	}
	r.failures = 0
	return 0
}

// backOff returns a pause that doubles with each consecutive failure: a weight store that rejects loads already gets more requests than it can serve.
func (r *Reconciler) backOff(interval time.Duration) time.Duration {
	r.failures++
	pause := min(interval<<min(r.failures, 8), maxBackoff)
	return pause/2 + rand.N(pause/2+1)
}

func (r *Reconciler) readState(ctx context.Context) (sardinerock.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := r.Engine.State(ctx)
	if err != nil {
		return state, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	return state, nil
}

// plan updates the target if the configuration or the fleet changed; computing a plan for
// 11,000 engines takes about 60 ms. It reports whether there is a target; there is none
// until the instance list has been read once.
func (r *Reconciler) plan(now time.Time, snapshot *sardinerock.ConfigSnapshot) bool {
	sides := r.Sides()
	if len(sides) == 0 {
		return r.planned
	}
	if r.planned && snapshot.Version == r.plannedVersion && slices.Equal(sides, r.plannedSides) {
		return true
	}
	p := NewPlan(snapshot.Bundle.Models, sides)
	t := p.Target(r.Self)
	// A new version changes the whole fleet, so the sides load one after another. A new
	// side, or one that replaces a lost side, loads at once.
	staggered := r.planned && snapshot.Version != r.plannedVersion
	same := r.planned && slices.Equal(t.Models, r.target.Models)
	r.planned, r.plannedVersion, r.plannedSides = true, snapshot.Version, sides
	if same {
		return true
	}
	r.earliestLoad = now
	if staggered {
		r.earliestLoad = now.Add(LoadDelay(t.Rank, t.Bytes, r.StoreBytesPerSecond))
	}
	r.target = t
	r.completeSince = time.Time{}
	r.Events.Info(event.PlacementChosen).Int64("version", snapshot.Version).Int("models", len(t.Models)).
		Int("rank", t.Rank).Dur("loadIn", r.earliestLoad.Sub(now)).Msg("new placement target for this engine")
	return true
}

// checkFence sets the fencing token and reports whether this side may send orders. It may not
// if the engine has seen a higher token from another side.
func (r *Reconciler) checkFence(state sardinerock.EngineState, version int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.controlState == nil {
		r.controlState = fsm.NewFSM(stateInControl, fsm.Events{{Name: eventSupersede, Src: []string{stateInControl}, Dst: stateSuperseded}}, nil)
		r.fence = Fence(state.Fence, version, r.Process)
		r.version = version
	}
	if state.Fence > r.fence {
		r.supersededLocked(state.Fence)
		return false
	}
	if version > r.version {
		r.version = version
		r.fence = max(r.fence, Fence(0, version, r.Process))
	}
	return true
}

// supersededLocked stops all further orders of this process. If it took a higher fencing
// token instead, the two sides would outbid each other forever.
func (r *Reconciler) supersededLocked(by int64) {
	if err := r.controlState.Event(context.Background(), eventSupersede); err != nil {
		return // Already superseded.
	}
	r.Events.Error(event.OrderRefused).Int64("fence", r.fence).Int64("seen", by).Msg("another side gives this engine orders; this one sends no more orders")
}

// inputs updates completeSince and returns the inputs of the next step.
func (r *Reconciler) inputs(now time.Time, state sardinerock.EngineState) Inputs {
	complete := true
	for _, m := range r.target.Models {
		complete = complete && slices.Contains(state.Loaded, m)
	}
	switch {
	case !complete:
		r.completeSince = time.Time{}
	case r.completeSince.IsZero():
		r.completeSince = now
	}
	return Inputs{
		Now: now, Desired: r.target.Models, State: state, EarliestLoad: r.earliestLoad, CompleteSince: r.completeSince, InUse: r.InUse,
		Grace: orDefault(r.Grace, defaultGrace), RelocationGrace: orDefault(r.RelocationGrace, defaultRelocationGrace),
	}
}

// execute sends one order and verifies its effect.
func (r *Reconciler) execute(ctx context.Context, step Step) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	id := event.ModelLoaded
	if step.Action == sardinerock.OrderUnload {
		id = event.ModelUnloaded
	}
	err := r.Engine.Order(ctx, sardinerock.EngineOrder{Action: step.Action, Target: step.Target, Fence: r.fence})
	if errors.Is(err, sardinerock.ErrFenced) {
		r.mu.Lock()
		r.supersededLocked(-1)
		r.mu.Unlock()
		return err
	}
	if err != nil {
		r.Events.Warn(event.OrderRefused).Str("action", string(step.Action)).Str("model", step.Target.Model).
			Str("modelVersion", step.Target.Version).Str("adapter", step.Target.Adapter).Err(err).Msg("engine rejected the order or did not answer; retrying after a backoff")
		return err
	}
	state, err := r.readState(ctx)
	if err != nil {
		return err
	}
	// Another side's order may have been applied in between; the order is then retried after a backoff.
	if slices.Contains(state.Loaded, step.Target) != (step.Action == sardinerock.OrderLoad) {
		r.Events.Warn(event.OrderRefused).Str("action", string(step.Action)).Str("model", step.Target.Model).
			Str("modelVersion", step.Target.Version).Str("adapter", step.Target.Adapter).Msg("engine state does not show the order after it was accepted; retrying after a backoff")
		return errNotApplied
	}
	r.Events.Info(id).Str("model", step.Target.Model).Str("modelVersion", step.Target.Version).
		Str("adapter", step.Target.Adapter).Int64("fence", r.fence).Str("reason", step.Reason).Msg("order applied")
	return nil
}

var errNotApplied = errors.New("engine: state does not show the order after it was accepted")

package place

import (
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
)

// Inputs is everything that the next order depends on.
type Inputs struct {
	Now     time.Time
	Desired []sardinerock.LoadedModel
	State   sardinerock.EngineState
	// EarliestLoad is when this side may start to load from the weight store.
	EarliestLoad time.Time
	// CompleteSince is when the engine was first seen to hold all desired models; zero if it does not.
	CompleteSince time.Time
	// InUse reports whether requests for a model are running or queued at this side.
	InUse func(sardinerock.LoadedModel) bool
	// Grace is how long models that are no longer desired stay loaded after all desired ones are.
	Grace time.Duration
	// RelocationGrace replaces Grace if nothing is desired here any more: other engines have to load the models first.
	RelocationGrace time.Duration
}

// Step is the next order, or, if Action is empty, the reason to wait.
type Step struct {
	Action sardinerock.OrderAction
	Target sardinerock.LoadedModel
	// Reason says why the order is due or why there is none, for the log.
	Reason string
}

// Next returns the one order that is due, the most urgent first.
//
// Loads come before unloads, for changes of version under load: unloading first would leave
// the fleet without the model for the minutes of a load. The old version is unloaded only
// once the new one is loaded, no request for the old one is left, and entries have had time
// to learn of the new one.
func Next(s Inputs) Step {
	for _, m := range s.Desired {
		if slices.Contains(s.State.Loaded, m) {
			continue
		}
		if s.Now.Before(s.EarliestLoad) {
			return Step{Target: m, Reason: "load delayed to limit the load on the weight store"}
		}
		return Step{Action: sardinerock.OrderLoad, Target: m, Reason: "desired and not loaded"}
	}
	for _, m := range adaptersFirst(s.State.Loaded) {
		if slices.Contains(s.Desired, m) {
			continue
		}
		grace := s.Grace
		if len(s.Desired) == 0 {
			grace = s.RelocationGrace
		}
		switch {
		case s.CompleteSince.IsZero() || s.Now.Sub(s.CompleteSince) < grace:
			return Step{Target: m, Reason: "kept until the replacement is served"}
		case s.InUse != nil && s.InUse(m):
			return Step{Target: m, Reason: "in use by requests"}
		}
		return Step{Action: sardinerock.OrderUnload, Target: m, Reason: "no longer desired"}
	}
	return Step{Reason: "all desired models are loaded"}
}

// adaptersFirst sorts adapters before the versions that they depend on, so that they are unloaded first.
func adaptersFirst(loaded []sardinerock.LoadedModel) []sardinerock.LoadedModel {
	out := slices.Clone(loaded)
	slices.SortStableFunc(out, func(x, y sardinerock.LoadedModel) int {
		return boolToInt(x.Adapter == "") - boolToInt(y.Adapter == "")
	})
	return out
}

// LoadDelay spreads the loads of a new version over time at the weight store's rate, in bytes
// per second: each side starts when those before it in the plan should have finished. A
// rate of 0 means no delay.
//
// Without the delay, all sides of a large fleet request the weights at once, the store
// rejects most of them, and even the first ones finish only when all do.
func LoadDelay(rank int, bytes, storeBytesPerSecond int64) time.Duration {
	if storeBytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(rank) * float64(bytes) / float64(storeBytesPerSecond)
	return min(time.Duration(seconds*float64(time.Second)), maxLoadDelay)
}

// maxLoadDelay limits the delay if the configured rate is far too low.
const maxLoadDelay = time.Hour

// fenceProcessBits is the number of low bits that distinguish two sides that start from the same engine state.
const fenceProcessBits = 16

// Fence returns a fencing token that is higher than seen and, in its high bits, higher than the configuration version.
//
// One engine may have two sides: the old process, paused, and its replacement. Neither
// stores anything on disk, so the token is derived from the engine's state. The low bits
// come from the process, because otherwise both would choose the same token.
func Fence(seen, version int64, process string) int64 {
	return (max(seen>>fenceProcessBits, version)+1)<<fenceProcessBits | int64(rendezvousWeight("fence", process)&(1<<fenceProcessBits-1))
}

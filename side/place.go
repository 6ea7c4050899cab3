package side

import (
	"context"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const placeEvery = time.Second

// placeLoop keeps the engine at what the configuration in force asks for.
func (s *Side) placeLoop(ctx context.Context) {
	if s.Engine == nil {
		return
	}
	every(ctx, placeEvery, func() { s.place(ctx) })
}

func (s *Side) place(ctx context.Context) {
	current := s.replica.Current()
	if current == nil {
		return
	}
	state, err := s.Engine.State(ctx)
	if err != nil {
		return
	}
	for _, m := range current.Bundle.Models {
		for _, v := range m.Versions {
			for _, adapter := range append([]string{""}, m.Adapters...) {
				target := sardinerock.LoadedModel{Model: m.Name, Version: v.Name, Adapter: adapter}
				if slices.Contains(state.Loaded, target) {
					continue
				}
				order := sardinerock.EngineOrder{Action: sardinerock.OrderLoad, Target: target, Fence: current.Version}
				if err := s.Engine.Order(ctx, order); err != nil {
					s.Events.Warn(event.OrderRefused).Str("model", m.Name).Str("version", v.Name).Err(err).Msg("load refused")
					continue
				}
				s.Events.Info(event.ModelLoaded).Str("model", m.Name).Str("version", v.Name).Str("adapter", adapter).Msg("loaded")
			}
		}
	}
	s.probe(ctx, probeTimeout)
}

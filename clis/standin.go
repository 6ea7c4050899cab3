//go:build !lean

package clis

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/engine"
	"github.com/sardinerock/sardinerock/fakes"
	"github.com/sardinerock/sardinerock/remote"
)

// exitCrashed is how the stand-in of an engine ends at a request that crashes it.
const exitCrashed = 3

func (p *Program) addStandins() {
	parent := flaggy.NewSubcommand("standin")
	parent.Description = "run a stand-in of the platform, for trying and for tests"
	p.parser.AttachSubcommand(parent, 1)
	l := &conf.Standin{}
	p.add(parent, "log", "stand-in of the log service", l,
		func(ctx context.Context) error { return runLog(ctx, l) })
	i := &conf.StandinInstances{}
	p.add(parent, "instances", "stand-in of the instance list", i,
		func(ctx context.Context) error { return runInstances(ctx, i) })
	w := &conf.Standin{}
	p.add(parent, "weights", "stand-in of the weight store", w,
		func(ctx context.Context) error { return runWeights(ctx, w) })
	e := &conf.StandinEngine{}
	p.add(parent, "engine", "stand-in of a model engine", e,
		func(ctx context.Context) error { return p.runEngine(ctx, e) })
	s := &conf.StandinService{}
	p.add(parent, "service", "stand-in of a plain service", s,
		func(ctx context.Context) error { return runService(ctx, s) })
}

// parseKnobs reads knobs from a setting; an unknown one is an error.
func parseKnobs[T any](text string) (T, error) {
	var knobs T
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&knobs); err != nil {
		return knobs, fmt.Errorf("--knobs: %w", err)
	}
	return knobs, nil
}

// serve serves a stand-in until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := listen("address", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func runLog(ctx context.Context, s *conf.Standin) error {
	knobs, err := parseKnobs[fakes.LogKnobs](s.Knobs)
	if err != nil {
		return err
	}
	return serve(ctx, s.Address, &fakes.Log{Knobs: knobs})
}

func runWeights(ctx context.Context, s *conf.Standin) error {
	knobs, err := parseKnobs[fakes.WeightsKnobs](s.Knobs)
	if err != nil {
		return err
	}
	return serve(ctx, s.Address, &fakes.Weights{Knobs: knobs})
}

func runService(ctx context.Context, s *conf.StandinService) error {
	knobs, err := parseKnobs[fakes.ServiceKnobs](s.Knobs)
	if err != nil {
		return err
	}
	return serve(ctx, s.Address, &fakes.Service{Name: s.Name, Knobs: knobs})
}

func runInstances(ctx context.Context, s *conf.StandinInstances) error {
	knobs, err := parseKnobs[fakes.InstancesKnobs](s.Knobs)
	if err != nil {
		return err
	}
	list := &fakes.Instances{Knobs: knobs}
	if s.Preset != "" {
		raw, err := readFile(s.Preset)
		if err != nil {
			return err
		}
		var preset fakes.InstanceLines
		if err := json.Unmarshal(raw, &preset); err != nil {
			return fmt.Errorf("--preset: %s: %w", s.Preset, err)
		}
		for _, i := range preset.Instances {
			list.Put(i)
		}
	}
	return serve(ctx, s.Address, list)
}

func (p *Program) runEngine(ctx context.Context, s *conf.StandinEngine) error {
	knobs, err := parseKnobs[engine.Knobs](s.Knobs)
	if err != nil {
		return err
	}
	e := &engine.Fake{Knobs: knobs}
	for _, name := range s.Preload {
		e.Preloaded = append(e.Preloaded, loadedModel(name))
	}
	if s.WeightsURL != "" {
		e.Weights = &remote.Weights{Sender: remote.Sender{URL: s.WeightsURL}}
	}
	host := &fakes.Host{Handler: e, Address: s.Address, ReviveAfter: s.ReviveAfter}
	e.OnCrash = func() {
		fmt.Fprintln(p.Err, "crashed")
		if s.ReviveAfter == 0 {
			os.Exit(exitCrashed)
		}
		host.Crash()
	}
	if err := host.Start(); err != nil {
		return err
	}
	defer host.Stop()
	<-ctx.Done()
	return nil
}

// loadedModel reads model@version or model@version:adapter.
func loadedModel(name string) sardinerock.LoadedModel {
	model, rest, _ := strings.Cut(name, "@")
	version, adapter, _ := strings.Cut(rest, ":")
	return sardinerock.LoadedModel{Model: model, Version: version, Adapter: adapter}
}

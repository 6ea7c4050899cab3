package launch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/engine"
	"github.com/sardinerock/sardinerock/fakes"
	"github.com/sardinerock/sardinerock/remote"
)

const (
	// exitCrashed is the exit code of a fake engine after a request that crashes it.
	exitCrashed = 3
	// headerTimeout bounds the time in which a client sends the header of a request.
	headerTimeout = 10 * time.Second
)

// parseKnobs decodes the JSON of the setting --knobs; an unknown field is an error.
func parseKnobs[T any](text string) (T, error) {
	var knobs T
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&knobs); err != nil {
		return knobs, fmt.Errorf("--knobs: %w", err)
	}
	return knobs, nil
}

// serve serves a fake until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := conf.Listen("address", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Log runs the fake log service until ctx ends.
func Log(ctx context.Context, s *conf.Standin) error {
	knobs, err := parseKnobs[fakes.LogKnobs](s.Knobs)
	if err != nil {
		return err
	}
	return serve(ctx, s.Address, &fakes.Log{Knobs: knobs})
}

// Weights runs the fake weight store until ctx ends.
func Weights(ctx context.Context, s *conf.Standin) error {
	knobs, err := parseKnobs[fakes.WeightsKnobs](s.Knobs)
	if err != nil {
		return err
	}
	return serve(ctx, s.Address, &fakes.Weights{Knobs: knobs})
}

// Service runs a fake plain service until ctx ends.
func Service(ctx context.Context, s *conf.StandinService) error {
	knobs, err := parseKnobs[fakes.ServiceKnobs](s.Knobs)
	if err != nil {
		return err
	}
	return serve(ctx, s.Address, &fakes.Service{Name: s.Name, Knobs: knobs})
}

// Instances runs the fake instance list until ctx ends. It starts with the instances of the file s.Preset, if set.
func Instances(ctx context.Context, s *conf.StandinInstances) error {
	knobs, err := parseKnobs[fakes.InstancesKnobs](s.Knobs)
	if err != nil {
		return err
	}
	list := &fakes.Instances{Knobs: knobs}
	if s.Preset != "" {
		raw, err := conf.ReadFile(s.Preset)
		if err != nil {
			return err
		}
		var preset fakes.InstancesReply
		if err := json.Unmarshal(raw, &preset); err != nil {
			return fmt.Errorf("--preset: %s: %w", s.Preset, err)
		}
		for _, i := range preset.Instances {
			list.Put(i)
		}
	}
	return serve(ctx, s.Address, list)
}

// Engine runs a fake model engine until ctx ends. At a crash it writes "crashed" to
// stderr and restarts after s.ReviveAfter; if that is 0, the process exits.
func Engine(ctx context.Context, s *conf.StandinEngine, stderr io.Writer) error {
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
	host := &fakes.Host{Handler: e, Address: s.Address, RestartAfter: s.ReviveAfter}
	e.OnCrash = func() {
		fmt.Fprintln(stderr, "crashed")
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

// loadedModel parses model@version or model@version:adapter.
func loadedModel(name string) sardinerock.LoadedModel {
	model, rest, _ := strings.Cut(name, "@")
	version, adapter, _ := strings.Cut(rest, ":")
	return sardinerock.LoadedModel{Model: model, Version: version, Adapter: adapter}
}

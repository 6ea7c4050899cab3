package fakes

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/params"
)

// ErrWeightsDown is the error of Fetch during an outage that rejects requests.
var ErrWeightsDown = errors.New("weight store: out of service")

// WeightsKnobs are the speed and the faults of the weight store.
type WeightsKnobs struct {
	Outage Outage `json:"outage"`
	// BytesPerSecond is the rate at which fetches are served, one after the other;
	// 0 means that a fetch takes no time.
	BytesPerSecond int64 `json:"bytesPerSecond"`
	// BytesPerModel is the size of each model's weights.
	BytesPerModel int64 `json:"bytesPerModel"`
}

// WeightFetches is the response to GET /fetches: how many fetches were requested.
type WeightFetches struct {
	Fetches int `json:"fetches"`
}

// Weights is a fake of the rate-limited weight store. It transfers no bytes; a
// fetch only takes the time that the transfer would.
type Weights struct {
	Knobs WeightsKnobs

	mux params.Router
	mu  sync.Mutex
	// busyUntil is when the last queued fetch is complete.
	busyUntil time.Time
	fetches   int
}

// Fetches returns how many fetches were requested, including those that failed.
func (s *Weights) Fetches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches
}

// Fetch implements engine.WeightSource.
func (s *Weights) Fetch(ctx context.Context, _ sardinerock.LoadedModel) error {
	s.mu.Lock()
	s.fetches++
	outage, wait := s.Knobs.Outage, s.queueFetch(time.Now())
	s.mu.Unlock()
	return simulateFaults(ctx, outage, wait, ErrWeightsDown)
}

// queueFetch queues a fetch behind those before it and returns the time until it is complete.
func (s *Weights) queueFetch(now time.Time) time.Duration {
	if s.Knobs.BytesPerSecond <= 0 {
		return 0
	}
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	seconds := float64(s.Knobs.BytesPerModel) / float64(s.Knobs.BytesPerSecond)
	s.busyUntil = s.busyUntil.Add(time.Duration(seconds * float64(time.Second)))
	return s.busyUntil.Sub(now)
}

// ServeHTTP implements http.Handler: POST /fetch with a model responds once its weights are delivered.
func (s *Weights) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.Once.Do(func() { s.routes(&s.mux) })
	s.mux.ServeHTTP(w, r)
}

func (s *Weights) routes(mux *params.Router) {
	mux.HandleFunc("POST /fetch", s.serveFetch)
	mux.HandleFunc("GET /fetches", func(w http.ResponseWriter, _ *http.Request) {
		params.Reply(w, http.StatusOK, WeightFetches{Fetches: s.Fetches()})
	})
	mux.HandleFunc("/knobs", func(w http.ResponseWriter, r *http.Request) {
		params.Serve(w, r, &s.mu, &s.Knobs, func() {})
	})
}

func (s *Weights) serveFetch(w http.ResponseWriter, r *http.Request) {
	var target sardinerock.LoadedModel
	if err := params.Decode(r.Body, &target); err != nil {
		params.Fail(w, http.StatusBadRequest, "fetch: "+err.Error())
		return
	}
	if err := s.Fetch(r.Context(), target); err != nil {
		params.Fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

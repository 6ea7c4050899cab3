package httpd

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/calls"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/forms"
	"github.com/sardinerock/sardinerock/grants"
)

// Server is the HTTP handler of an entry. Its fields are set before the first call.
type Server struct {
	Online    sardinerock.OnlineServer
	Jobs      sardinerock.JobStore
	Files     sardinerock.FileStore
	Publisher sardinerock.Publisher
	// Status returns what the process knows of the fleet. With nil, the status shows only the configuration and the jobs.
	Status func() Status
	// Ready returns nil, or the reason why the process must not get requests yet. It may be nil.
	Ready  func() error
	Limits calls.Limits
	Events *event.Logger
	// Metrics is the registry that /metrics exports; nil creates one for this server.
	Metrics metrics.Registry
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	once      sync.Once
	mux       *http.ServeMux
	limits    calls.Limits
	directory atomic.Pointer[grants.Directory]
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.init)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) init() {
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	s.limits = s.Limits.WithDefaults()
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /metrics", s.metrics)
	s.handle("POST /v1/chat/completions", s.complete)
	s.handle("POST /v1/completions", s.complete)
	s.handle("GET /v1/models", s.listModels)
	s.handle("GET /v1/models/{model}", s.getModel)
	s.handle("POST /v1/files", s.putFile)
	s.handle("GET /v1/files/{id}", s.getFile)
	s.handle("GET /v1/files/{id}/content", s.getContent)
	s.handle("POST /v1/batches", s.createBatch)
	s.handle("GET /v1/batches", s.listBatches)
	s.handle("GET /v1/batches/{id}", s.getBatch)
	s.handle("POST /v1/batches/{id}/cancel", s.cancelBatch)
	s.handle("/services/{service}/{path...}", s.callService)
	s.mux.HandleFunc("POST /operator/bundles", s.instrument(s.publish))
	s.handle("GET /operator/status", s.showStatus)
	s.handle("POST /operator/jobs/{id}/cancel", s.cancelJob)
	s.mux.HandleFunc("/", s.instrument(func(_ *calls.Exchange) error {
		return forms.Refuse(sardinerock.CodeNotFound, "", "no such path; the paths of this server begin with /v1/, /services/ or /operator/")
	}))
}

// handle registers a handler for calls that require an authenticated caller.
func (s *Server) handle(pattern string, h func(*calls.Exchange) error) {
	s.mux.HandleFunc(pattern, s.instrument(func(x *calls.Exchange) error {
		if err := s.authenticate(x); err != nil {
			return err
		}
		return h(x)
	}))
}

// instrument wraps a handler: it writes the returned error to the caller, and counts and logs how each call ends.
func (s *Server) instrument(h func(*calls.Exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := s.Clock()
		x := &calls.Exchange{W: w, R: r, Limits: s.limits, Clock: s.Clock}
		open := metrics.GetOrRegisterCounter("front.open", s.Metrics)
		open.Inc(1)
		defer open.Dec(1)
		if err := h(x); err != nil {
			s.writeRefusal(x, sardinerock.AsRefusal(err))
			return
		}
		metrics.GetOrRegisterTimer("front.served", s.Metrics).Update(s.Clock().Sub(started))
		s.Events.Info(event.RequestServed).Str("request", x.Request).Str("caller", x.CallerName()).Str("path", r.URL.Path).
			Dur("took", s.Clock().Sub(started)).Msg("request served")
	}
}

// writeRefusal logs and counts the error of a call and writes it to the caller.
func (s *Server) writeRefusal(x *calls.Exchange, f *sardinerock.Refusal) {
	metrics.GetOrRegisterCounter("front.refused."+string(f.Code), s.Metrics).Inc(1)
	s.Events.Warn(event.RequestRefused).Str("request", x.Request).Str("caller", x.CallerName()).Str("path", x.R.URL.Path).
		Str("code", string(f.Code)).Str("outcome", f.Outcome.String()).Dur("retryAfter", f.RetryAfter).
		Str("reason", f.Message).Msg("request refused")
	x.WriteRefusal(f)
}

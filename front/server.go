package front

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/forms"
	"github.com/sardinerock/sardinerock/grants"
)

// Limits bounds what one call may take; a zero field takes its default.
type Limits struct {
	// OnlineBody is the largest body of an online request, in bytes; 8 MiB by default.
	OnlineBody int64
	// FileBody is the largest uploaded file, in bytes; 1 GiB by default.
	FileBody int64
	// ReadTimeout bounds the reading of an online request's body; 30 s by default.
	ReadTimeout time.Duration
	// UploadTimeout bounds the reading of an uploaded file; 10 min by default.
	UploadTimeout time.Duration
	// WriteTimeout bounds one write to a caller, who may read slowly; 10 s by default.
	WriteTimeout time.Duration
	// DefaultDeadline holds for requests that set none; 60 s by default.
	DefaultDeadline time.Duration
	// MaxDeadline bounds what requests may ask for; 10 min by default.
	MaxDeadline time.Duration
}

func (l Limits) withDefaults() Limits {
	orBytes(&l.OnlineBody, 8<<20)
	orBytes(&l.FileBody, 1<<30)
	orDuration(&l.ReadTimeout, 30*time.Second)
	orDuration(&l.UploadTimeout, 10*time.Minute)
	orDuration(&l.WriteTimeout, 10*time.Second)
	orDuration(&l.DefaultDeadline, time.Minute)
	orDuration(&l.MaxDeadline, 10*time.Minute)
	return l
}

func orBytes(n *int64, byDefault int64) {
	if *n == 0 {
		*n = byDefault
	}
}

func orDuration(d *time.Duration, byDefault time.Duration) {
	if *d == 0 {
		*d = byDefault
	}
}

// Server is the HTTP handler of an entry; its fields are set before the first call.
type Server struct {
	Online    sardinerock.OnlineServer
	Jobs      sardinerock.JobStore
	Files     sardinerock.FileStore
	Publisher sardinerock.Publisher
	// Status tells what the process knows of the fleet; nil leaves it at the configuration.
	Status func() Status
	// Ready returns why the process must get no requests yet, or nil.
	Ready  func() error
	Limits Limits
	Events *event.Logger
	// Metrics is what /metrics shows; nil makes a registry of the server's own.
	Metrics metrics.Registry
	// Clock tells the time; nil means time.Now.
	Clock func() time.Time

	once      sync.Once
	mux       *http.ServeMux
	limits    Limits
	directory atomic.Pointer[grants.Directory]
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.prepare)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) prepare() {
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	s.limits = s.Limits.withDefaults()
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
	s.mux.HandleFunc("POST /operator/bundles", s.plainly(s.publish))
	s.handle("GET /operator/status", s.showStatus)
	s.handle("POST /operator/jobs/{id}/cancel", s.cancelJob)
	s.mux.HandleFunc("/", s.plainly(func(_ *exchange) error {
		return forms.Refuse(sardinerock.CodeNotFound, "", "no such path; the paths of this server begin with /v1/, /services/ or /operator/")
	}))
}

// exchange is one call by a caller that is known.
type exchange struct {
	w http.ResponseWriter
	r *http.Request
	// caller and directory are nil where none are needed.
	caller    *sardinerock.Caller
	directory *grants.Directory
	// request is the id under which the lines of other events tell of the same request; empty for calls that run nothing.
	request string
	// answering is set once the answer's header is out; errors then need a form of their own.
	answering bool
}

// handle registers a handler for calls that name their caller.
func (s *Server) handle(pattern string, h func(*exchange) error) {
	s.mux.HandleFunc(pattern, s.plainly(func(x *exchange) error {
		if err := s.authenticate(x); err != nil {
			return err
		}
		return h(x)
	}))
}

// plainly turns a handler that returns its refusal into an ordinary one, and counts and logs how each call ends.
func (s *Server) plainly(h func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := s.Clock()
		x := &exchange{w: w, r: r}
		open := metrics.GetOrRegisterCounter("front.open", s.Metrics)
		open.Inc(1)
		defer open.Dec(1)
		if err := h(x); err != nil {
			s.writeRefusal(x, sardinerock.AsRefusal(err))
			return
		}
		metrics.GetOrRegisterTimer("front.served", s.Metrics).Update(s.Clock().Sub(started))
		s.Events.Info(event.RequestServed).Str("request", x.request).Str("caller", x.callerName()).Str("path", r.URL.Path).
			Dur("took", s.Clock().Sub(started)).Msg("request served")
	}
}

func (x *exchange) callerName() string {
	if x.caller == nil {
		return ""
	}
	return x.caller.Name
}

package fakes

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock/params"
)

// maxCallBytes bounds the body of one call.
const maxCallBytes = 16 << 20

// ServiceKnobs are the faults of a plain service.
type ServiceKnobs struct {
	Outage Outage `json:"outage"`
	// SlowMs is the duration of one call.
	SlowMs int `json:"slowMs"`
	// LoseAnswers is how many of the next calls run without a response.
	LoseAnswers int `json:"loseAnswers"`
	// Status is the status of the responses; 0 means 200.
	Status int `json:"status"`
}

// ServiceRun says how often a call ran. It is the response to the call and an element of GET /ran.
type ServiceRun struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Runs    int    `json:"runs"`
	// BodyHash is the xxhash of the latest call's body, in hex.
	BodyHash string `json:"bodyHash"`
}

// ServiceRuns is the response to GET /ran: all calls that ran.
type ServiceRuns struct {
	Runs []ServiceRun `json:"runs"`
}

// Service is a fake plain service that counts how often each call ran, by method and path.
type Service struct {
	Knobs ServiceKnobs
	// Name is the name of the service in the bundle.
	Name string

	mu   sync.Mutex
	runs map[string]*ServiceRun
}

// Runs returns how often the call with that method and path ran.
func (s *Service) Runs(method, path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run := s.runs[method+" "+path]; run != nil {
		return run.Runs
	}
	return 0
}

// ServeHTTP implements http.Handler. /knobs and /ran control the fake; all other paths are calls.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/knobs":
		params.Serve(w, r, &s.mu, &s.Knobs, func() {})
	case "/ran":
		s.serveRuns(w)
	default:
		s.serveCall(w, r)
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		params.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	faults := s.Knobs
	s.mu.Unlock()
	if faults.Outage == OutageRefuse {
		params.Fail(w, http.StatusServiceUnavailable, "out of service")
		return
	}
	if faults.Outage == OutageHang {
		<-r.Context().Done()
		return
	}
	run, lost := s.countRun(r, body)
	// The call has taken effect, even if its client disconnects before the response.
	select {
	case <-time.After(params.Milliseconds(faults.SlowMs)):
	case <-r.Context().Done():
		return
	}
	if lost {
		dropConnection(w)
	}
	status := http.StatusOK
	if faults.Status != 0 {
		status = faults.Status
	}
	params.Reply(w, status, run)
}

// countRun counts a call and reports whether its response is to be lost.
func (s *Service) countRun(r *http.Request, body []byte) (ServiceRun, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]*ServiceRun)
	}
	key := r.Method + " " + r.URL.Path
	run := s.runs[key]
	if run == nil {
		run = &ServiceRun{Service: s.Name, Method: r.Method, Path: r.URL.Path}
		s.runs[key] = run
	}
	run.Runs++
	run.BodyHash = fmt.Sprintf("%016x", xxhash.Sum64(body))
	lost := s.Knobs.LoseAnswers > 0
	if lost {
		s.Knobs.LoseAnswers--
	}
	return *run, lost
}

func (s *Service) serveRuns(w http.ResponseWriter) {
	s.mu.Lock()
	reply := ServiceRuns{Runs: []ServiceRun{}}
	for _, run := range s.runs {
		reply.Runs = append(reply.Runs, *run)
	}
	s.mu.Unlock()
	sort.Slice(reply.Runs, func(i, j int) bool {
		a, b := reply.Runs[i], reply.Runs[j]
		return a.Path+a.Method < b.Path+b.Method
	})
	params.Reply(w, http.StatusOK, reply)
}

package node

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/event"
)

// statusRecorder records the status of a response, which is 0 until the response is complete. While this entry leaves, it
// asks callers to send their next request on another connection.
type statusRecorder struct {
	http.ResponseWriter
	leaving         func() bool
	written, status int
}

// Unwrap is called by http.ResponseController.
func (s *statusRecorder) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) {
	if s.written == 0 && status >= http.StatusOK {
		s.written = status
		if s.leaving() {
			s.Header().Set("Connection", "close")
		}
	}
	s.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (s *statusRecorder) Write(b []byte) (int, error) {
	if s.written == 0 {
		s.WriteHeader(http.StatusOK)
	}
	return s.ResponseWriter.Write(b)
}

// complete is called at the end of a response that wasn't aborted.
func (s *statusRecorder) complete() { s.status = s.written }

// requestEnded records the end of a request that was received at begin, with the status of its response, or 0 if that isn't
// complete.
func (n *Node) requestEnded(r *http.Request, status int, begin time.Time) {
	outcome, leaving := n.shutdown.Exit(status)
	if !leaving {
		return
	}
	metrics.GetOrRegisterCounter("leaving."+string(outcome), n.Metrics).Inc(1)
	end, _ := n.shutdown.End()
	n.Events.Info(event.LeavingEnded).Str("request", n.Dialect.ReadCall(r).ID).Str("path", r.URL.Path).Str("outcome", string(outcome)).
		Int("status", status).Dur("leftAtStart", end.Sub(begin)).Dur("left", time.Until(end)).Dur("took", time.Since(begin)).
		Msg("request ended during the shutdown")
}

// logCounts logs how many requests the shutdown has met, and what became of them.
func (n *Node) logCounts() {
	c := n.shutdown.Close()
	n.Events.Info(event.LeavingCounted).Int("inProgress", c.InProgress).Int("taken", c.Taken).Int("answered", c.Answered).
		Int("refused", c.Refused).Int("failed", c.Failed).Int("cut", c.Cut).Msg("requests of the shutdown")
}

package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/forms"
)

// OutcomeHeader says on every refusal whether the request ran: notRun, ran or unknown.
const OutcomeHeader = "Sardinerock-Outcome"

// writeRefusal gives the caller the final answer to a request that was not wholly served.
func (s *Server) writeRefusal(x *exchange, f *sardinerock.Refusal) {
	metrics.GetOrRegisterCounter("front.refused."+string(f.Code), s.Metrics).Inc(1)
	s.Events.Warn(event.RequestRefused).Str("request", x.request).Str("caller", x.callerName()).Str("path", x.r.URL.Path).
		Str("code", string(f.Code)).Str("outcome", f.Outcome.String()).Dur("retryAfter", f.RetryAfter).
		Str("reason", f.Message).Msg("request refused")
	if x.answering {
		// The status is out already. A stream that just stopped would look like a
		// whole answer to many clients, so its last event is the error. If the caller
		// is gone, nobody is left to tell.
		_ = s.writeEvent(x, forms.NewErrorBody(f))
		return
	}
	h := x.w.Header()
	h.Set(OutcomeHeader, f.Outcome.String())
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Code == sardinerock.CodeUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	s.writeJSON(x, f.Status(), forms.NewErrorBody(f))
}

// writeJSON writes a whole answer; an error here means that the caller is gone, and nobody is left to tell.
func (s *Server) writeJSON(x *exchange, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(x.w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.extendWrite(x)
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	x.w.Write(append(raw, '\n'))
}

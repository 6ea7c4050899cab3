package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// OutcomeHeader says on every refusal whether the request ran: notRun, ran or unknown.
const OutcomeHeader = "Sardinerock-Outcome"

// ErrorDetail is the inner part of an error in the usual JSON form.
type ErrorDetail struct {
	Message string           `json:"message"`
	Type    string           `json:"type"`
	Param   *string          `json:"param"`
	Code    sardinerock.Code `json:"code"`
	// Outcome repeats the header for those who only see the body, as in a stream or an error file.
	Outcome string `json:"outcome"`
	// RetryAfterMs is when to come back, in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// ErrorBody is an error in the usual JSON form.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// refuse makes the refusal of a request that this process turned away before it went anywhere.
func refuse(code sardinerock.Code, param, format string, a ...any) *sardinerock.Refusal {
	return &sardinerock.Refusal{Code: code, Param: param, Message: fmt.Sprintf(format, a...), Outcome: sardinerock.OutcomeNotRun}
}

// NewErrorBody puts a refusal into the usual JSON form.
func NewErrorBody(f *sardinerock.Refusal) ErrorBody {
	d := ErrorDetail{
		Message:      f.Message,
		Type:         errorType(f.Status()),
		Code:         f.Code,
		Outcome:      f.Outcome.String(),
		RetryAfterMs: f.RetryAfter.Milliseconds(),
	}
	if f.Param != "" {
		d.Param = &f.Param
	}
	return ErrorBody{Error: d}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

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
		_ = s.writeEvent(x, NewErrorBody(f))
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
	s.writeJSON(x, f.Status(), NewErrorBody(f))
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

// readFault tells a caller what was wrong with the body that could not be read.
func readFault(err error) *sardinerock.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(sardinerock.CodeBodyTooLarge, "", "the body is over the limit of %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(sardinerock.CodeInvalidRequest, "", "the body did not arrive in time")
	}
	return refuse(sardinerock.CodeInvalidRequest, "", "the body could not be read: %v", err)
}

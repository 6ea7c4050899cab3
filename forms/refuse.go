package forms

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/sardinerock/sardinerock"
)

// ErrorDetail is the inner object of an error body.
type ErrorDetail struct {
	Message string           `json:"message"`
	Type    string           `json:"type"`
	Param   *string          `json:"param"`
	Code    sardinerock.Code `json:"code"`
	// Outcome repeats the Sardinerock-Outcome header for callers that see only the body, as in
	// a stream or a file of failed items.
	Outcome string `json:"outcome"`
	// RetryAfterMs is the time after which to retry, in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// ErrorBody is the error object of the API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// Refuse returns the refusal of a request that this process rejects before it runs anywhere.
func Refuse(code sardinerock.Code, param, format string, a ...any) *sardinerock.Refusal {
	return &sardinerock.Refusal{Code: code, Param: param, Message: fmt.Sprintf(format, a...), Outcome: sardinerock.OutcomeNotRun}
}

// NewErrorBody returns the error object for a refusal.
func NewErrorBody(r *sardinerock.Refusal) ErrorBody {
	d := ErrorDetail{
		Message:      r.Message,
		Type:         errorType(r.Status()),
		Code:         r.Code,
		Outcome:      r.Outcome.String(),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
	if r.Param != "" {
		d.Param = &r.Param
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

// ReadFault returns the refusal for a request body that can't be read: too large, too slow
// or aborted.
func ReadFault(err error) *sardinerock.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Refuse(sardinerock.CodeBodyTooLarge, "", "the body is over the limit of %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return Refuse(sardinerock.CodeInvalidRequest, "", "the body did not arrive in time")
	}
	return Refuse(sardinerock.CodeInvalidRequest, "", "the body could not be read: %v", err)
}

package sardinerock

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Errors that the clients of the platform's services and of engines wrap.
var (
	ErrLogRefused     = errors.New("log: record refused, it is not in the stream")
	ErrLogGap         = errors.New("log: records at this offset are no longer kept")
	ErrNotSent        = errors.New("request never reached the backend server")
	ErrFenced         = errors.New("engine has seen a newer fencing number")
	ErrModelNotLoaded = errors.New("engine does not hold the model")
	ErrNotFound       = errors.New("not found")
)

// Outcome is whether a request ran at a backend server.
type Outcome int

// The three outcomes. OutcomeNotRun is used only if it is proven.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeRan
)

// String returns the value of the Sardinerock-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "notRun"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Code is an error code in responses. Codes are stable, so that callers may depend on them.
type Code string

// The error codes.
const (
	CodeInvalidRequest  Code = "invalidRequest"
	CodeBodyTooLarge    Code = "bodyTooLarge"
	CodeUnauthorized    Code = "unauthorized"
	CodeForbidden       Code = "forbidden"
	CodeNotFound        Code = "notFound"
	CodeModelNotFound   Code = "modelNotFound"
	CodeConflict        Code = "idempotencyConflict"
	CodeRateLimited     Code = "rateLimited"
	CodeOverloaded      Code = "overloaded"
	CodeDeadline        Code = "deadlineExceeded"
	CodeCrashSuspect    Code = "requestCrashesBackend"
	CodeNoBackend       Code = "noBackendServer"
	CodeBackendLost     Code = "backendServerLost"
	CodeNotReady        Code = "notReady"
	CodeShuttingDown    Code = "shuttingDown"
	CodeLogUnavailable  Code = "logUnavailable"
	CodeCancelled       Code = "cancelled"
	CodeVersionConflict Code = "versionConflict"
	CodePreempted       Code = "preempted"
	CodeInternal        Code = "internal"
)

// Refusal is the final response to a request that was not, or not completely, served.
type Refusal struct {
	Code    Code
	Message string
	Outcome Outcome
	// RetryAfter is the delay before a retry; zero if a retry would not help.
	RetryAfter time.Duration
	// Param is the name of the field at fault, empty if there is none.
	Param string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// Status returns the HTTP status for the code.
func (r *Refusal) Status() int {
	switch r.Code {
	case CodeInvalidRequest:
		return http.StatusBadRequest
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeNotFound, CodeModelNotFound:
		return http.StatusNotFound
	case CodeConflict, CodeVersionConflict:
		return http.StatusConflict
	case CodeRateLimited:
		return http.StatusTooManyRequests
	case CodeCrashSuspect:
		return http.StatusUnprocessableEntity
	case CodeDeadline:
		return http.StatusGatewayTimeout
	case CodeBackendLost:
		return http.StatusBadGateway
	case CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// AsRefusal returns the refusal that err wraps, or else a refusal with CodeInternal, the text of err and an unknown outcome.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Code: CodeInternal, Message: err.Error(), Outcome: OutcomeUnknown}
}

// WriteRefusal writes the response to a request that is not served, with a Retry-After header if retry is above 0.
func WriteRefusal(d Dialect, w http.ResponseWriter, status int, reason string, retry time.Duration) {
	if retry > 0 {
		d.WriteRetryAfter(w.Header(), retry)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected; nothing else can be done.
	_, _ = io.WriteString(w, reason+"\n")
}

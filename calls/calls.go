package calls

import (
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
	"github.com/sardinerock/sardinerock/grants"
)

// Exchange is one HTTP call of an authenticated caller.
type Exchange struct {
	W http.ResponseWriter
	R *http.Request
	// Caller and Directory are nil for calls that don't need them.
	Caller    *sardinerock.Caller
	Directory *grants.Directory
	// Request is the id of the request in all its log records; empty for calls that run no inference.
	Request string
	// HeaderSent is set once the response header is written; errors are then sent as events.
	HeaderSent bool
	// Limits are the call's limits; no field is zero.
	Limits Limits
	// Clock returns the current time.
	Clock func() time.Time
}

// CallerName returns the name of the caller, or an empty string without a Caller.
func (x *Exchange) CallerName() string {
	if x.Caller == nil {
		return ""
	}
	return x.Caller.Name
}

// RequireOperator returns a CodeForbidden refusal unless the caller is an operator.
func (x *Exchange) RequireOperator() error {
	if !x.Caller.Operator {
		return forms.Refuse(sardinerock.CodeForbidden, "", "caller %q is no operator", x.Caller.Name)
	}
	return nil
}

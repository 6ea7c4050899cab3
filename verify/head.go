package verify

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed means that what was received breaks the grammar of HTTP/1.1 (RFC 9110 and RFC 9112).
var ErrMalformed = errors.New("verify: malformed response")

// maxStatus is the largest status code of HTTP.
const maxStatus = 599

// Status returns ErrMalformed if the version of a response isn't one of HTTP/1, or its status isn't one that answers a request
// without an upgrade. net/http accepts any version and any three digits.
func Status(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s, want HTTP/1.1 or HTTP/1.0", ErrMalformed, r.Proto)
	case r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %q, want 100 to %d", ErrMalformed, r.Status, maxStatus)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %q to a request without an upgrade", ErrMalformed, r.Status)
	}
	return nil
}

package verify

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
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

// Names returns ErrMalformed if the name of a field isn't a token. net/textproto accepts names with blanks, which it keeps, so that
// "Content-Length : 5" states no length.
func Names(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: name of a field %q", ErrMalformed, name)
		}
	}
	return nil
}

// Trailer returns ErrMalformed if Names does for the fields after the body of a response, which was read to its end.
func Trailer(r *http.Response) error { return Names(r.Trailer) }

// codingName is the name of the field Transfer-Encoding in lower case.
const codingName = "transfer-encoding"

// place is where in a head the next byte belongs.
type place int

const (
	inVersion place = iota
	inStatus
	inReason
	atLineStart
	inName
	inValue
	// atLastLineFeed is after the carriage return of the empty line that ends the head.
	atLastLineFeed
	atEnd
)

// Head checks the lines of the head of a response, and of the informational heads before it, as their bytes arrive: a parsed head no
// longer shows which lines were continued by the next one, and which encoding net/http ignores.
type Head struct {
	place place
	// informational is set in a head that another one follows.
	informational bool
	// coding is how much of codingName the present name is so far, or noCoding.
	coding    int
	hasCoding bool
	err       error
}

// noCoding means that a name isn't codingName.
const noCoding = -1

// Add checks the next bytes that were received, and reports whether the head has ended or is malformed. What follows is ignored.
func (h *Head) Add(received []byte) (ended bool) {
	for _, b := range received {
		if h.ended() {
			break
		}
		h.next(b)
	}
	return h.ended()
}

func (h *Head) ended() bool { return h.place == atEnd || h.err != nil }

func (h *Head) next(b byte) {
	switch {
	case h.place == inVersion && b != '\n':
		if b == ' ' {
			h.place = inStatus
		}
	case h.place == inStatus && '0' <= b && b <= '9':
		h.place, h.informational = inReason, b == '1'
	case h.place == inReason || h.place == inValue:
		if b == '\n' {
			h.place = atLineStart
		}
	case b == '\n' && (h.place == atLineStart || h.place == atLastLineFeed):
		h.place = atEnd
		if h.informational {
			h.place, h.informational = inVersion, false
		}
	case b == '\r' && h.place == atLineStart:
		h.place = atLastLineFeed
	case b == ':' && h.place == inName:
		h.hasCoding = h.hasCoding || h.coding == len(codingName)
		h.place, h.coding = inValue, 0
	case (h.place == atLineStart || h.place == inName) && httpguts.IsTokenRune(rune(b)):
		h.place = inName
		if 0 <= h.coding && h.coding < len(codingName) && toLower(b) == codingName[h.coding] {
			h.coding++
		} else {
			h.coding = noCoding
		}
	default:
		h.err = fmt.Errorf("%w: byte %q in the first line or in the name of a field", ErrMalformed, b)
	}
}

func toLower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}

// Check returns ErrMalformed if a head, which was added and parsed, breaks the grammar. A line that begins with a blank, and
// continues the line before, is rejected, too: senders must not use it, and which field such a line was meant to be is unknown. An
// encoding in HTTP/1.0 leaves unknown where the body ends.
func (h *Head) Check(r *http.Response) error {
	switch {
	case h.err != nil:
		return h.err
	case h.hasCoding && !r.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: field %s in %s", ErrMalformed, codingName, r.Proto)
	}
	return Status(r)
}

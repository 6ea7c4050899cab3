package conns

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/sardinerock/sardinerock"
)

// framingHeaders are set by encode only: a second one would change where the request ends, or which host it names.
var framingHeaders = []string{"Content-Length", "Transfer-Encoding", "Host"}

// encode returns a request in the form in which it is sent, with its Content-Length. It returns ErrMalformedRequest if a
// value would change that form: a line end in it, for example, would begin a second request.
func encode(call *sardinerock.Call, header http.Header) ([]byte, error) {
	switch {
	case !httpguts.ValidHeaderFieldName(call.Method):
		return nil, fmt.Errorf("%w: method %q", ErrMalformedRequest, call.Method)
	case !sardinerock.ValidTarget(call.Target):
		return nil, fmt.Errorf("%w: target %q", ErrMalformedRequest, call.Target)
	case !httpguts.ValidHostHeader(call.Host):
		return nil, fmt.Errorf("%w: host %q", ErrMalformedRequest, call.Host)
	}
	b := bytes.NewBuffer(make([]byte, 0, 512+len(call.Body)))
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) || isFramingHeader(name) {
			return nil, fmt.Errorf("%w: header %q", ErrMalformedRequest, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return nil, fmt.Errorf("%w: value of header %q", ErrMalformedRequest, name)
			}
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes(), nil
}

func isFramingHeader(name string) bool {
	for _, h := range framingHeaders {
		if strings.EqualFold(name, h) {
			return true
		}
	}
	return false
}

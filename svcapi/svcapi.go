package svcapi

import (
	"crypto/rand"
	"net/http"
	"path"
	"slices"
	"strings"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/calls"
	"github.com/sardinerock/sardinerock/forms"
	"github.com/sardinerock/sardinerock/grants"
)

// hopByHopHeaders apply to one connection only, or to this system, and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", calls.TimeoutHeader, calls.OutcomeHeader,
}

// InnerPath returns the path within the service, decoded. The error is a *sardinerock.Refusal.
//
// The bundle's patterns of calls that are not idempotent are matched against this path, so
// it must be the path that the service acts on. If "/orders/%2e%2e/print" were accepted, a
// service that resolves the dots would run "/print", which is not idempotent, while this
// system would see a call below "/orders/" and might repeat it.
func InnerPath(r *http.Request) (string, error) {
	innerPath := "/" + r.PathValue("path")
	cleaned := path.Clean(innerPath)
	if strings.HasSuffix(innerPath, "/") && cleaned != "/" {
		cleaned += "/"
	}
	if cleaned != innerPath || strings.Contains(innerPath, `\`) {
		return "", forms.Refuse(sardinerock.CodeInvalidRequest, "", "the path %q must be written without empty, . or .. parts", innerPath)
	}
	return innerPath, nil
}

// NewRequest builds the request of a call of a plain service. The inner path is that of InnerPath.
func NewRequest(x *calls.Exchange, service *sardinerock.Service, innerPath string, body []byte) *sardinerock.Request {
	// The path is forwarded as the caller escaped it, without the prefix that selects the service.
	escaped := strings.TrimPrefix(x.R.URL.EscapedPath(), "/services/"+x.R.PathValue("service"))
	if x.R.URL.RawQuery != "" {
		escaped += "?" + x.R.URL.RawQuery
	}
	return &sardinerock.Request{
		ID:            rand.Text(),
		Caller:        x.Caller.Name,
		Path:          escaped,
		Service:       service.Name,
		Method:        x.R.Method,
		Header:        forwardedHeaders(x.R.Header),
		Body:          body,
		Idempotent:    idempotent(service, x.R.Method, innerPath),
		Fingerprint:   grants.Fingerprint(service.Name, x.R.Method, escaped, string(body)),
		ConfigVersion: x.Directory.Snapshot.Version,
	}
}

// idempotent reports whether the bundle allows a call to run twice. The method alone does not
// decide it: a GET that prints a letter is not idempotent.
func idempotent(service *sardinerock.Service, method, innerPath string) bool {
	for _, p := range service.NonRepeatable {
		sameMethod := p.Method == "" || strings.EqualFold(p.Method, method)
		if sameMethod && strings.HasPrefix(innerPath, p.PathPrefix) {
			return false
		}
	}
	return true
}

func forwardedHeaders(h http.Header) map[string]string {
	out := map[string]string{}
	for name, values := range h {
		if !slices.Contains(hopByHopHeaders, name) {
			out[name] = strings.Join(values, ", ")
		}
	}
	return out
}

// WriteReply writes a service's response to the caller, without hop-by-hop headers.
func WriteReply(x *calls.Exchange, reply *sardinerock.ServiceReply) {
	h := x.W.Header()
	for name, value := range reply.Header {
		if !slices.Contains(hopByHopHeaders, http.CanonicalHeaderKey(name)) {
			h.Set(name, value)
		}
	}
	if reply.Unframed {
		sardinerock.OmitFraming(h)
	}
	x.ExtendWriteDeadline()
	x.W.WriteHeader(reply.Status)
	x.W.Write(reply.Body)
}

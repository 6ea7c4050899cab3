package conns

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

// TestRequestThatWouldChangeItsFormIsNotSent guards against a second request being smuggled to a backend server inside a value
// that a caller gave.
func TestRequestThatWouldChangeItsFormIsNotSent(t *testing.T) {
	valid := func() (*sardinerock.Call, http.Header) {
		return &sardinerock.Call{Method: "POST", Target: "/a/b?c=%20d", Host: "h.example:80", Body: []byte("xyz")}, http.Header{"Model": {"m"}, "Deadline-Ms": {"1000"}}
	}
	for name, change := range map[string]func(c *sardinerock.Call, h http.Header){
		"line end in the target":        func(c *sardinerock.Call, _ http.Header) { c.Target = "/a HTTP/1.1\r\n\r\nGET /b" },
		"space in the target":           func(c *sardinerock.Call, _ http.Header) { c.Target = "/a HTTP/1.1" },
		"empty target":                  func(c *sardinerock.Call, _ http.Header) { c.Target = "" },
		"control character":             func(c *sardinerock.Call, _ http.Header) { c.Target = "/a\x00" },
		"line end in the method":        func(c *sardinerock.Call, _ http.Header) { c.Method = "GET / HTTP/1.1\r\nX: " },
		"line end in the host":          func(c *sardinerock.Call, _ http.Header) { c.Host = "h\r\nX: y" },
		"line end in a header":          func(_ *sardinerock.Call, h http.Header) { h["Model"] = []string{"m\r\nX: y"} },
		"line feed in a header":         func(_ *sardinerock.Call, h http.Header) { h["Model"] = []string{"m\nX: y"} },
		"line end in a header's name":   func(_ *sardinerock.Call, h http.Header) { h["X: y\r\nZ"] = []string{"m"} },
		"colon in a header's name":      func(_ *sardinerock.Call, h http.Header) { h["X:"] = []string{"m"} },
		"second length of the body":     func(_ *sardinerock.Call, h http.Header) { h["Content-Length"] = []string{"1"} },
		"body in chunks":                func(_ *sardinerock.Call, h http.Header) { h["Transfer-Encoding"] = []string{"chunked"} },
		"length, other case":            func(_ *sardinerock.Call, h http.Header) { h["content-length"] = []string{"1"} },
		"second host, which may differ": func(_ *sardinerock.Call, h http.Header) { h["Host"] = []string{"other"} },
	} {
		t.Run(name, func(t *testing.T) {
			c, h := valid()
			_, err := encode(c, h)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			change(c, h)
			_, err = encode(c, h)
			NewWithT(t).Expect(err).To(MatchError(ErrMalformedRequest))
		})
	}
}

// FuzzEncode checks that what is sent is one request, with the values that were given, whatever they are.
func FuzzEncode(f *testing.F) {
	f.Add("POST", "/a/b?c=%20d", "h.example", "Model", "m", []byte("body"))
	f.Add("GET", "/a HTTP/1.1\r\n\r\nGET /b", "h", "X", "y\r\n", []byte{})
	f.Fuzz(func(t *testing.T, method, target, host, name, value string, body []byte) {
		raw, err := encode(&sardinerock.Call{Method: method, Target: target, Host: host, Body: body}, http.Header{name: {value}})
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(raw))
		r, err := http.ReadRequest(reader)
		if err != nil {
			// The backend server rejects it as a whole.
			return
		}
		read, err := io.ReadAll(r.Body)
		if err != nil || r.Method != method || r.RequestURI != target || !bytes.Equal(read, body) && method != http.MethodConnect {
			t.Fatalf("%q became %s %q with body %q, error %v", raw, r.Method, r.RequestURI, read, err)
		}
		if rest, _ := io.ReadAll(reader); len(rest) > 0 {
			t.Fatalf("%q has a second request: %q", raw, rest)
		}
	})
}

package relay_test

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/fakes"
)

// raw sends bytes, with the id of the request in place of $ID, and ends the connection.
func raw(text string) script {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprint(c, strings.ReplaceAll(text, "$ID", r.Header.Get("Request-Id")))
	}
}

const (
	signedFields = "Request-Id: $ID\r\nResponse-Signature: sig\r\n"
	lengthAndEnd = "Content-Length: 4\r\n\r\nbody"
	signedOK     = "HTTP/1.1 200 OK\r\n" + signedFields + lengthAndEnd
)

// malformedStatuses are responses whose first line isn't one of a response to a request of HTTP/1.1.
var malformedStatuses = map[string]string{
	"000":                           "HTTP/1.1 000 X\r\n" + signedFields + lengthAndEnd,
	"000 without framing":           "HTTP/1.1 000 X\r\n" + signedFields + "\r\nbody",
	"000, a response in its body":   fmt.Sprintf("HTTP/1.1 000 X\r\n%sContent-Length: %d\r\n\r\n%s", signedFields, len(signedOK), signedOK),
	"099, a response in its body":   "HTTP/1.1 099 X\r\n" + signedFields + "\r\n" + signedOK,
	"a sign, and a response":        "HTTP/1.1 +20 X\r\n" + signedFields + "\r\n" + signedOK,
	"a negative number":             "HTTP/1.1 -01 X\r\n" + signedFields + lengthAndEnd,
	"101 without an upgrade":        "HTTP/1.1 101 X\r\n" + signedFields + "\r\n" + signedOK,
	"101 with an upgrade":           "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: other\r\n" + signedFields + "\r\n" + signedOK,
	"600":                           "HTTP/1.1 600 X\r\n" + signedFields + lengthAndEnd,
	"999":                           "HTTP/1.1 999 X\r\n" + signedFields + lengthAndEnd,
	"two digits":                    "HTTP/1.1 20 X\r\n" + signedFields + lengthAndEnd,
	"four digits":                   "HTTP/1.1 2000 X\r\n" + signedFields + lengthAndEnd,
	"HTTP/0.9":                      "HTTP/0.9 200 X\r\n" + signedFields + lengthAndEnd,
	"HTTP/2.0":                      "HTTP/2.0 200 X\r\n" + signedFields + lengthAndEnd,
	"HTTP/3.7":                      "HTTP/3.7 200 X\r\n" + signedFields + lengthAndEnd,
	"000 after an informational":    "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\n" + signedFields + "\r\n" + signedOK,
	"000 of another, then a second": "HTTP/1.1 000 X\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n" + signedOK,
}

// expectNoResponse expects that what the first backend server sends is an attempt that may have run, and no response: the request
// is repeated where that is allowed, and fails otherwise.
func expectNoResponse(t *testing.T, text string) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		newTestbed(t, raw(text)).expectRejection(path, http.StatusBadGateway, 1)
	}
	for path, second := range map[string]script{"/safe/x": completeResponse(http.StatusOK, allEvents(5)), "/resumable/x": events(1, 5, true)} {
		s := newTestbed(t, raw(text), second)
		resp, body, err := s.post(path)
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		s.g.Expect(body).To(Equal(allEvents(5)))
		s.g.Expect(s.seen()).To(HaveLen(2))
	}
}

// TestMalformedStatusIsNoResponse guards against bytes whose first line has a status or a version that HTTP/1.1 doesn't have, or a
// response in the body of such bytes, reaching the caller as a response.
func TestMalformedStatusIsNoResponse(t *testing.T) {
	for name, text := range malformedStatuses {
		t.Run(name, func(t *testing.T) { expectNoResponse(t, text) })
	}
}

// malformedFields are what follows the signed fields of a response with a field that breaks the grammar.
var malformedFields = map[string]string{
	"blank before the colon":                "Other : value\r\n" + lengthAndEnd,
	"blank in the name":                     "Other Name: value\r\n" + lengthAndEnd,
	"blank before the colon, a length":      "Content-Length : 4\r\n\r\nbody",
	"the same, and more bytes":              "Content-Length : 4\r\n\r\nbody and more",
	"blank before the colon, an encoding":   "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"the same beside a length":              "Transfer-Encoding : chunked\r\n" + lengthAndEnd,
	"tab in the name":                       "Other\tName: value\r\n" + lengthAndEnd,
	"tab before the colon, an encoding":     "Transfer-Encoding\t: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"NUL in the name":                       "Other\x00: value\r\n" + lengthAndEnd,
	"control byte in the name":              "Other\x01Name: value\r\n" + lengthAndEnd,
	"DEL in the name":                       "Other\x7f: value\r\n" + lengthAndEnd,
	"byte over 127 in the name":             "Oth\xe9r: value\r\n" + lengthAndEnd,
	"carriage return in the name":           "Oth\rer: value\r\n" + lengthAndEnd,
	"carriage return before the colon":      "Content-Length\r: 4\r\n\r\nbody",
	"separator in the name":                 "Other(1): value\r\n" + lengthAndEnd,
	"empty name":                            ": value\r\n" + lengthAndEnd,
	"no colon":                              "Other\r\n" + lengthAndEnd,
	"control byte in a value":               "Other: a\x00b\r\n" + lengthAndEnd,
	"carriage return in a value":            "Other: a\rb\r\n" + lengthAndEnd,
	"line that begins with a blank":         "Other: value\r\n Name: value\r\n" + lengthAndEnd,
	"line that begins with a tab":           "Other: value\r\n\tName: value\r\n" + lengthAndEnd,
	"blank line with a blank":               "Other: value\r\n \r\n" + lengthAndEnd,
	"length that begins with a blank":       "Other: value\r\n Content-Length: 4\r\n\r\nbody and more",
	"encoding that begins with a blank":     "Other: value\r\n Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"line feeds only":                       strings.ReplaceAll("Other : value\r\n"+lengthAndEnd, "\r\n", "\n"),
	"two lengths":                           "Content-Length: 5\r\n" + lengthAndEnd,
	"length with a sign":                    "Content-Length: +4\r\n\r\nbody",
	"trailer with a blank in the name":      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nOther Name: value\r\n\r\n",
	"trailer with a blank before the colon": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nOther: value\r\nName : value\r\n\r\n",
	"trailer with a control byte":           "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nOther\x01: value\r\n\r\n",
	"trailer that begins with a blank":      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n Other: value\r\n\r\n",
}

// malformedHeads are whole heads with such a field.
var malformedHeads = map[string]string{
	"field before all others":             "HTTP/1.1 200 OK\r\nOther : value\r\n" + signedFields + lengthAndEnd,
	"first line that begins with a blank": "HTTP/1.1 200 OK\r\n Other: value\r\n" + signedFields + lengthAndEnd,
	"informational head":                  "HTTP/1.1 103 X\r\nOther : value\r\n\r\n" + signedOK,
	"informational head, continued line":  "HTTP/1.1 103 X\r\nOther: x\r\n Name: value\r\n\r\n" + signedOK,
	"head after an informational one":     "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nOther : value\r\n" + signedFields + lengthAndEnd,
	"HTTP/1.0 with an encoding":           "HTTP/1.0 200 OK\r\n" + signedFields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.0 with encoding and length":   "HTTP/1.0 200 OK\r\n" + signedFields + "Transfer-Encoding: chunked\r\n" + lengthAndEnd,
	"status 206":                          "HTTP/1.1 206 X\r\nOther : value\r\n" + signedFields + lengthAndEnd,
	"status 404":                          "HTTP/1.1 404 X\r\nOther : value\r\n" + signedFields + lengthAndEnd,
	"status 500":                          "HTTP/1.1 500 X\r\nOther : value\r\n" + signedFields + lengthAndEnd,
	"status 503, not executed":            "HTTP/1.1 503 X\r\nOther : value\r\nNot-Executed: 1\r\n" + signedFields + "Content-Length: 0\r\n\r\n",
	"stream":                              "HTTP/1.1 200 OK\r\nOther : value\r\n" + signedFields + "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
	"of another request":                  "HTTP/1.1 200 OK\r\nOther : value\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n" + signedOK,
	"large, at its end":                   "HTTP/1.1 200 OK\r\n" + strings.Repeat("Other: value\r\n", 1000) + "Other : value\r\n" + signedFields + lengthAndEnd,
}

// TestMalformedFieldIsNoResponse guards against a head with a field that breaks the grammar reaching the caller as a response,
// without that field, or with a body that isn't framed as its backend server meant.
func TestMalformedFieldIsNoResponse(t *testing.T) {
	heads := maps.Clone(malformedHeads)
	for name, text := range malformedFields {
		heads[name] = "HTTP/1.1 200 OK\r\n" + signedFields + text
	}
	for name, text := range heads {
		t.Run(name, func(t *testing.T) { expectNoResponse(t, text) })
	}
}

// TestTrailerOfAStreamIsChecked guards against a stream that ends with a malformed trailer being complete.
func TestTrailerOfAStreamIsChecked(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + signedFields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	part := fmt.Sprintf("%x\r\n%s\r\n", len(allEvents(3)), allEvents(3))
	broken := raw(head + part + "0\r\nOther : value\r\n\r\n")
	s := newTestbed(t, broken)
	_, _, err := s.post("/stream/x")
	s.g.Expect(err).To(HaveOccurred())
	s = newTestbed(t, broken, events(4, 5, true))
	_, body, err := s.post("/resumable/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(body).To(Equal(allEvents(5)))
	s = newTestbed(t, raw(head+part+"0\r\nOther: value\r\n\r\n"))
	_, body, err = s.post("/stream/x")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(body).To(Equal(allEvents(3)))
}

// TestWellFormedFieldsReachTheCaller guards against a response being dropped because of fields that are unusual, and allowed.
func TestWellFormedFieldsReachTheCaller(t *testing.T) {
	for name, fields := range map[string]string{
		"all bytes of a token":  "a!#$%&'*+-.^_`|~9Z: value\r\n",
		"empty value":           "Other:\r\n",
		"blanks around a value": "Other: \t value \t\r\n",
		"tab in a value":        "Other: a\tb\r\n",
		"bytes over 127":        "Other: \xe9\xff\r\n",
		"colons in a value":     "Other: a : b\r\n",
		"same name twice":       "Other: a\r\nOther: b\r\n",
		"lower case":            "other-name: a\r\n",
		"longer than any other": strings.Repeat("a", 3000) + ": " + strings.Repeat("b", 5000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, ends := range []string{"\r\n", "\n"} {
				text := "HTTP/1.1 200 OK\r\n" + signedFields + fields + lengthAndEnd
				s := newTestbed(t, raw(strings.ReplaceAll(text, "\r\n", ends)))
				_, body, err := s.post("/once/x")
				s.g.Expect(err).NotTo(HaveOccurred())
				s.g.Expect(body).To(Equal("body"))
			}
		})
	}
}

// TestInformationalHeadsAreSkipped guards against a response being dropped because informational heads come before it.
func TestInformationalHeadsAreSkipped(t *testing.T) {
	for name, text := range map[string]string{
		"100":         "HTTP/1.1 100 Continue\r\n\r\n" + signedOK,
		"103 and 199": "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 199 X\r\n\r\n" + signedOK,
		"HTTP/1.0":    strings.Replace(signedOK, "HTTP/1.1", "HTTP/1.0", 1),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t, raw(text))
			_, body, err := s.post("/once/x")
			s.g.Expect(err).NotTo(HaveOccurred())
			s.g.Expect(body).To(Equal("body"))
		})
	}
}

// TestHeadThatStopsIsNoResponse guards against a response whose backend server stopped in the middle of its head, and closed the
// connection in order, reaching the caller with an empty or short body. A test of conns stops at each byte.
func TestHeadThatStopsIsNoResponse(t *testing.T) {
	heads := fakes.Heads(signedFields)
	heads["not executed"] = fakes.Heads("Not-Executed: 1\r\n" + signedFields)["status 503"]
	for name, text := range heads {
		t.Run(name, func(t *testing.T) {
			for end := range len(text) - 1 {
				if text[end] == '\n' {
					expectNoResponse(t, text[:end])
					expectNoResponse(t, text[:end+1])
				}
			}
		})
	}
}

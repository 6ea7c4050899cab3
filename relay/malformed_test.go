package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
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

package conns_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/platform"
)

// malformed returns heads that a response must not have, each followed by one that would be taken if the first were skipped, or if
// what breaks the grammar were ignored.
func malformed(fields, body string) map[string]string {
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	ok := "HTTP/1.1 200 OK\r\n" + whole
	return map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\n\r\n" + ok,
		"status 101":             "HTTP/1.1 101 X\r\n\r\n" + ok,
		"status 600":             "HTTP/1.1 600 X\r\n" + whole,
		"another version":        "HTTP/2.0 200 OK\r\n" + whole,
		"blank in a name":        "HTTP/1.1 200 OK\r\nOther Name: x\r\n" + whole,
		"blank before a colon":   "HTTP/1.1 200 OK\r\nOther : x\r\n" + whole,
		"continued line":         "HTTP/1.1 200 OK\r\nOther: x\r\n Name: x\r\n" + whole,
		"control byte in a name": "HTTP/1.1 200 OK\r\nOther\x01: x\r\n" + whole,
		"informational head":     "HTTP/1.1 103 OK\r\nOther : x\r\n\r\n" + ok,
	}
}

// TestMalformedReservation guards against bytes that are no response of HTTP/1.1 counting as a reserved slot.
func TestMalformedReservation(t *testing.T) {
	for name, text := range malformed("", `{"hold":"h"}`) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := startBackend(t, write(text), write(text))
			c := &conns.Conns{Dialect: platform.Dialect{}}
			r, err := c.Reserve(t.Context(), &b.BackendServer, 100, time.Second)
			g.Expect(err).To(MatchError(conns.ErrIncomplete))
			g.Expect(r).To(BeNil())
			g.Expect(b.connections.Load()).To(BeEquivalentTo(2), "the connection isn't used again")
		})
	}
}

// TestMalformedHealth guards against bytes that are no response of HTTP/1.1 showing that an instance answers.
func TestMalformedHealth(t *testing.T) {
	for name, text := range malformed("Instance-Id: i-1\r\n", "ok") {
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, write(text))
			b.Name = "i-1"
			err := (&conns.Conns{Dialect: platform.Dialect{}}).CheckInstance(t.Context(), &b.BackendServer, "/health", time.Second)
			NewWithT(t).Expect(err).To(MatchError(conns.ErrIncomplete))
		})
	}
}

// TestConnectionAfterAMalformedHeadIsClosed guards against the rest of what isn't a response being read as the response to the
// next request.
func TestConnectionAfterAMalformedHeadIsClosed(t *testing.T) {
	for name, text := range malformed("Request-Id: $ID\r\nResponse-Signature: s\r\n", "wrong") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := startBackend(t, write(text), write(okResponse))
			c := &conns.Conns{Dialect: platform.Dialect{}}
			_, err := exchange(c, b, "r1")
			g.Expect(err).To(MatchError(conns.ErrIncomplete))
			body, err := exchange(c, b, "r2")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("body"))
			g.Expect(b.connections.Load()).To(BeEquivalentTo(2))
		})
	}
}

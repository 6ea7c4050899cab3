package conns_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/fakes"
	"github.com/sardinerock/sardinerock/platform"
)

// writeMalformed writes bytes, and closes the connection if they end inside a head.
func writeMalformed(text string) script {
	return func(c net.Conn, r *http.Request) bool {
		return write(text)(c, r) && strings.Contains(text, "\r\n\r\n")
	}
}

// TestMalformedReservation guards against bytes that are no response of HTTP/1.1 counting as a reserved slot.
func TestMalformedReservation(t *testing.T) {
	for name, text := range fakes.Malformed("", `{"hold":"h"}`) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := startBackend(t, writeMalformed(text), writeMalformed(text))
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
	for name, text := range fakes.Malformed("Instance-Id: i-1\r\n", "ok") {
		if name == "trailer" {
			// The head states which instance answers.
			continue
		}
		t.Run(name, func(t *testing.T) {
			b := startBackend(t, writeMalformed(text))
			b.Name = "i-1"
			err := (&conns.Conns{Dialect: platform.Dialect{}}).CheckInstance(t.Context(), &b.BackendServer, "/health", time.Second)
			NewWithT(t).Expect(err).To(MatchError(conns.ErrIncomplete))
		})
	}
}

// TestConnectionAfterAMalformedHeadIsClosed guards against the rest of what isn't a response being read as the response to the
// next request.
func TestConnectionAfterAMalformedHeadIsClosed(t *testing.T) {
	for name, text := range fakes.Malformed("Request-Id: $ID\r\nResponse-Signature: s\r\n", "wrong") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := startBackend(t, writeMalformed(text), write(okResponse))
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

// TestHeadThatStopsIsNoResponse guards against a head that stops at any byte, before the connection is closed in order, being
// returned as that of a response.
func TestHeadThatStopsIsNoResponse(t *testing.T) {
	heads := fakes.Heads("Request-Id: $ID\r\nResponse-Signature: s\r\n")
	heads["not executed"] = fakes.Heads("Not-Executed: 1\r\n" + "Request-Id: $ID\r\nResponse-Signature: s\r\n")["status 503"]
	for name, text := range heads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var scripts []script
			for end := range len(text) {
				scripts = append(scripts, func(c net.Conn, r *http.Request) bool { write(text[:end])(c, r); return false })
			}
			b := startBackend(t, scripts...)
			c := &conns.Conns{Dialect: platform.Dialect{}}
			for range scripts {
				_, err := exchange(c, b, "r1")
				g.Expect(err).To(MatchError(conns.ErrIncomplete))
			}
		})
	}
}

package invoke_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/fakes"
	"github.com/sardinerock/sardinerock/invoke"
)

// TestMalformedResponseToAnItemIsNoResult guards against bytes that aren't a response of HTTP/1.1 becoming the result of an item, or
// a failure that counts against it.
func TestMalformedResponseToAnItemIsNoResult(t *testing.T) {
	const fields = "Request-Id: item\r\nResponse-Signature: sig\r\n"
	texts := fakes.Malformed(fields, events(1, 2))
	for name, line := range map[string]string{"status 422": "422 X", "status 500": "500 X"} {
		texts[name] = "HTTP/1.1 " + line + "\r\nOther : x\r\n" + fields + "Content-Length: 0\r\n\r\n"
	}
	head := "HTTP/1.1 200 OK\r\n" + fields + "Content-Type: text/event-stream\r\n\r\n"
	for end := range len(head) {
		texts["head that stops at "+head[:end]] = head[:end]
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			resumeAfter := 0
			if name == "trailer" {
				// The events have arrived before it, and are kept.
				resumeAfter = 2
			}
			expectItem(t, text, resumeAfter)
		})
	}
}

// expectItem expects that an item whose first response is malformed goes on in its second run, after an event; 0 means from the start.
func expectItem(t *testing.T, malformed string, resumeAfter int) {
	broken := func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, malformed)
		return false
	}
	s := start(t, broken, framings["in chunks"](events(resumeAfter+1, 5)))
	v, item := s.invoker(), s.item()
	outcome, err := v.Run(t.Context(), item, &s.choice)
	s.g.Expect(outcome).To(Or(Equal(invoke.Interrupted), Equal(invoke.BrokenOff)), "%v", err)
	outcome, err = v.Run(t.Context(), item, &s.choice)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(outcome).To(Equal(invoke.Succeeded))
	s.g.Expect(s.text()).To(Equal(text(5)))
	s.g.Expect(s.resumed).To(HaveLen(2))
	s.g.Expect(strings.TrimLeft(s.resumed[1], "0")).To(Equal(strings.TrimLeft(strconv.Itoa(resumeAfter), "0")))
}

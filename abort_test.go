package sardinerock_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

// Guards against an aborted response that looks complete to its caller, whichever framing the caller got.
func TestAbortedResponsesDontLookComplete(t *testing.T) {
	for name, tt := range map[string]struct {
		version string
		prepare func(h http.Header)
		reset   bool
	}{
		"HTTP/1.1, chunks":         {version: "HTTP/1.1", prepare: func(http.Header) {}},
		"HTTP/1.1, length":         {version: "HTTP/1.1", prepare: func(h http.Header) { h.Set("Content-Length", "9") }},
		"HTTP/1.1, without either": {version: "HTTP/1.1", prepare: sardinerock.OmitFraming, reset: true},
		"HTTP/1.0":                 {version: "HTTP/1.0", prepare: func(http.Header) {}, reset: true},
		"HTTP/1.0, length":         {version: "HTTP/1.0", prepare: func(h http.Header) { h.Set("Content-Length", "9") }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				tt.prepare(w.Header())
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				// The caller has received the part before the connection ends.
				time.Sleep(50 * time.Millisecond)
				sardinerock.AbortResponse(w, r)
			}))
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			fmt.Fprintf(c, "GET / %s\r\nHost: h\r\n\r\n", tt.version)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			g.Expect(string(body)).To(Equal("part"))
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.Is(err, syscall.ECONNRESET)).To(Equal(tt.reset), err.Error())
		})
	}
}

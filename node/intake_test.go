package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestIncompleteRequestsAreRejected guards against a caller that stops before the end of its request being waited for beyond
// its own deadline, and against a rejection that doesn't say that the request has not run.
func TestIncompleteRequestsAreRejected(t *testing.T) {
	f := newFleet(t, 1)
	for name, tt := range map[string]struct {
		text   string
		status int
	}{
		"body without end":   {"POST /letters/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 300\r\nContent-Length: 5\r\n\r\nx", http.StatusRequestTimeout},
		"chunk without end":  {"POST /letters/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 300\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx", http.StatusRequestTimeout},
		"job without end":    {"POST /batch/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 300\r\nContent-Length: 5\r\n\r\n{", http.StatusRequestTimeout},
		"too large":          {"POST /letters/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 100001\r\n\r\n", http.StatusRequestEntityTooLarge},
		"no route, no end":   {"POST /none/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nx", http.StatusNotFound},
		"results, no end":    {"GET /v1/lots/none?after=0 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", http.StatusNotFound},
		"head without bound": {"POST /letters/x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2<<20), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, err := net.Dial("tcp", f.entries[0].settings.CallerAddress)
			g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			g.Expect(c.SetDeadline(time.Now().Add(timeout))).To(Succeed())
			// An error means that the entry has answered before it read everything.
			_, _ = io.WriteString(c, tt.text)
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			answer.Body.Close()
			g.Expect(answer.StatusCode).To(Equal(tt.status))
		})
	}
	status, _ := f.call(f.entries[0], http.MethodPost, "/letters/x", "after", "x")
	f.g.Expect(status).To(Equal(http.StatusOK))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.g.Expect(f.runs).To(HaveLen(1), "only the complete request has run")
}

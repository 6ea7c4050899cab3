package verify_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/verify"
)

// serveRaw answers each request that was read as a whole with raw bytes, and closes its connection.
func serveRaw(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestTransportReturnsWellFormedResponses guards against a response being rejected because it has no framing, has informational
// heads before it, or comes while the last write of a long request returns.
func TestTransportReturnsWellFormedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"with a length":        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"in chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nOther: x\r\n\r\n",
		"without framing":      "HTTP/1.1 200 OK\r\n\r\nbody",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\n\r\nbody",
		"informational heads":  "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody",
		"head larger than any": "HTTP/1.1 200 OK\r\nOther: " + strings.Repeat("x", 20<<10) + "\r\n\r\nbody",
	} {
		for _, size := range []int{0, 100, 3 << 20} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				g := NewWithT(t)
				client := &http.Client{Transport: &verify.Transport{Transport: &http.Transport{DisableKeepAlives: true, DialContext: verify.Dialer((&net.Dialer{}).DialContext)}}}
				url := serveRaw(t, text)
				for range 30 {
					resp, err := client.Post(url, "text/plain", strings.NewReader(strings.Repeat("u", size)))
					g.Expect(err).NotTo(HaveOccurred())
					read, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(string(read)).To(Equal("body"))
				}
			})
		}
	}
}

// TestTransportRequiresFraming guards against a response whose end nothing proves being returned where one must be framed.
func TestTransportRequiresFraming(t *testing.T) {
	for text, framed := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":                            true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n": true,
		"HTTP/1.1 204 No Content\r\n\r\n":                                             true,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                true,
		"HTTP/1.1 200 OK\r\n\r\nbody":                                                 false,
		"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nbody":                            false,
	} {
		g := NewWithT(t)
		client := &http.Client{Transport: &verify.Transport{Framed: true, Transport: &http.Transport{DialContext: verify.Dialer((&net.Dialer{}).DialContext)}}}
		resp, err := client.Get(serveRaw(t, text))
		g.Expect(err == nil).To(Equal(framed), "%q: %v", text, err)
		if err == nil {
			resp.Body.Close()
		}
	}
}

package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/fakes"
)

// startRawPeer starts a peer that answers each request with raw bytes and closes the connection.
func startRawPeer(t *testing.T, text string) string {
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
	return l.Addr().String()
}

// TestBrokenResponseOfAPeerIsUnknown guards against bytes of a peer that aren't a whole response reaching a caller, or being taken
// for a statement that the peer did nothing.
func TestBrokenResponseOfAPeerIsUnknown(t *testing.T) {
	broken := fakes.Malformed("Content-Type: application/json\r\n", `{"total":1}`)
	broken["without framing"] = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + `{"total":1}`
	broken["HTTP/1.0 without framing"] = "HTTP/1.0 200 OK\r\n\r\n" + `{"total":1}`
	broken["chunks that stop"] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n"
	broken["body that stops"] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{"
	broken["503 of status 000"] = "HTTP/1.1 000 X\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
	for name, text := range broken {
		for method, want := range map[string]int{http.MethodPost: http.StatusGatewayTimeout, http.MethodGet: http.StatusServiceUnavailable} {
			t.Run(name+" "+method, func(t *testing.T) {
				g := NewWithT(t)
				address := startRawPeer(t, text)
				p := &Proxy{
					Local: &fakeEntry{status: http.StatusServiceUnavailable}, Stale: func() bool { return false }, Peers: func() []string { return []string{address} },
					Client: NewClient(), Events: &event.Logger{}, Metrics: metrics.NewRegistry(),
				}
				w := httptest.NewRecorder()
				r := httptest.NewRequest(method, "http://h.example/jobs/j", strings.NewReader("items"))
				if method == http.MethodPost {
					p.Submit(w, r, &sardinerock.Route{}, &sardinerock.Call{ID: "j", Body: []byte("items")}, time.Now(), 0)
				} else {
					p.Call(w, r, sardinerock.BatchCall{Job: "j"})
				}
				g.Expect(w.Code).To(Equal(want))
				g.Expect(w.Body.String()).NotTo(ContainSubstring("total"))
			})
		}
	}
}

package share

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/fakes"
	"github.com/sardinerock/sardinerock/memkv"
	"github.com/sardinerock/sardinerock/proxy"
)

// TestBrokenReplyOfAReader guards against bytes of a reader that aren't a whole response counting as records, or as a gap.
func TestBrokenReplyOfAReader(t *testing.T) {
	raw, err := cbor.Marshal(reply{End: 7})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	broken := fakes.Malformed(headerAge+": 0\r\n", string(raw))
	broken["without framing"] = "HTTP/1.1 200 OK\r\n" + headerAge + ": 0\r\n\r\n" + string(raw)
	broken["gap of status 410, malformed"] = "HTTP/1.1 410 X\r\nOther : x\r\nContent-Length: 0\r\n\r\n"
	for name, text := range broken {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = c.Write([]byte(text))
					}
					c.Close()
				}
			}()
			s := &Source{
				Store: &memkv.Store{}, Readers: func() []string { return []string{l.Addr().String()} }, Serving: func() bool { return false },
				MaxAge: time.Second, Client: proxy.NewClient(), Events: &event.Logger{}, Metrics: metrics.NewRegistry(),
			}
			page, err := s.Read(t.Context(), topic, 7, 0)
			// The store is read in its place.
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(page.End).To(BeZero())
		})
	}
}

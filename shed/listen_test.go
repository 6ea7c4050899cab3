package shed

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/event"
)

// TestOnlyUnreadConnectionsAreShed guards against requests that were read, and connections that are kept open, being
// closed while new connections are shed.
func TestOnlyUnreadConnectionsAreShed(t *testing.T) {
	g := NewWithT(t)
	l := &Listener{Limiter: &Limiter{}, Events: &event.Logger{}, Metrics: metrics.NewRegistry()}
	hold := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-hold
		}
		_, _ = io.WriteString(w, "served")
	}))
	l.Listener = s.Listener
	s.Listener = l
	s.Config.ConnState = l.State
	s.Start()
	t.Cleanup(s.Close)
	get := func(c *http.Client, path string) error {
		resp, err := c.Get(s.URL + path)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	kept, held, other := newClient(), newClient(), newClient()
	g.Expect(get(kept, "/")).To(Succeed())
	result := make(chan error)
	go func() { result <- get(held, "/hold") }()
	g.Eventually(func() int {
		count := 0
		l.first.Range(func(any, any) bool { count++; return true })
		return count
	}, 5*time.Second).Should(Equal(1))

	l.Limiter.Expect(time.Now().Add(-time.Second))
	g.Expect(get(other, "/")).NotTo(Succeed())
	g.Expect(get(kept, "/")).To(Succeed())
	close(hold)
	g.Expect(<-result).To(Succeed())
	l.Limiter.Expect(time.Time{})
	g.Eventually(func() error { return get(other, "/") }, 5*time.Second).Should(Succeed())
	g.Expect(metrics.GetOrRegisterCounter("front.shed", l.Metrics).Count()).To(BeNumerically(">=", 1))
}

// newClient returns a client that keeps a connection of its own.
func newClient() *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
}

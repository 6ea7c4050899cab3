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
	entered, hold := make(chan struct{}), make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			close(entered)
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
	<-entered
	l.Limiter.overload()
	g.Expect(get(other, "/")).NotTo(Succeed())
	g.Expect(get(kept, "/")).To(Succeed())
	close(hold)
	g.Expect(<-result).To(Succeed())
	// The process is seen to have caught up when it reads a connection in time again.
	g.Eventually(func() error { return get(other, "/") }, 5*time.Second).Should(Succeed())
	g.Expect(metrics.GetOrRegisterCounter("front.shed", l.Metrics).Count()).To(BeNumerically(">=", 1))
}

// overload makes the limiter take the process for overloaded, with many connections that were not read in time.
func (l *Limiter) overload() {
	now := time.Now()
	for range watchedRate {
		l.Accept(now)
	}
	for range numDelays {
		l.Received(time.Second, now)
	}
	l.Accept(now)
}

// newClient returns a client that keeps a connection of its own.
func newClient() *http.Client {
	return &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
}

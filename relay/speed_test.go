package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

const (
	pacedEvents = 12
	eventPause  = 10 * time.Millisecond
)

// paced streams events with a pause before each.
func paced(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
	for i := 1; i <= pacedEvents; i++ {
		time.Sleep(eventPause)
		text := eventText(i)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

// slowCaller is a caller that doesn't read for a while before the last event.
type slowCaller struct {
	*httptest.ResponseRecorder
	writes int
}

func (c *slowCaller) Write(b []byte) (int, error) {
	if c.writes++; c.writes == pacedEvents-1 {
		time.Sleep(10 * eventPause)
	}
	return c.ResponseRecorder.Write(b)
}

// The time per event of online responses must reach the pool, without the time for which callers don't
// read. Otherwise a few callers on slow connections would move online work to other backend servers.
func TestResponsesShowTheSpeedOfBackendServers(t *testing.T) {
	s := newTestbed(t)
	s.fallback = paced
	s.servers[0].Started = 1
	s.pool.SetServers([]sardinerock.BackendServer{s.servers[0]})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		r := httptest.NewRequest(http.MethodPost, "http://h.example/resumable/x", strings.NewReader("body"))
		r.Header.Set("Request-Id", "r1")
		r.Header.Set("Deadline-Ms", s.wait)
		w := &slowCaller{ResponseRecorder: httptest.NewRecorder()}
		s.access.ServeHTTP(w, r)
		s.g.Expect(w.Body.String()).To(Equal(allEvents(pacedEvents)))
	}
	s.pool.SpeedReports(time.Now())
	e := s.pool.Speed(s.servers[0].ID, time.Now())
	s.g.Expect(e.EventTime).To(BeNumerically("~", eventPause, eventPause/2))
	s.g.Expect(e.FirstByte).To(BeNumerically(">=", eventPause))
}

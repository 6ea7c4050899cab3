package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/platform"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/watch"
)

// restarts is a testbed with the only backend server i-1, which registers by itself.
type restarts struct {
	*testbed
	watched *watch.Servers
	// served counts the requests by the address at which they arrived.
	served map[string]int
}

func newRestarts(t *testing.T) *restarts {
	s := &restarts{testbed: newTestbed(t), served: map[string]int{}}
	s.watched = &watch.Servers{Parse: platform.ParseServer, Changed: s.pool.SetServers, Events: &event.Logger{}}
	s.fallback = func(c net.Conn, r *http.Request) {
		s.mu.Lock()
		s.served[c.LocalAddr().String()]++
		s.mu.Unlock()
		if r.Header.Get("Expect-Instance") != "i-1" {
			fmt.Fprint(c, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
			return
		}
		// The testbed closes each connection after one request. A client that isn't notified may reuse it meanwhile.
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"))
	}
	return s
}

func (s *restarts) register(address, state string, born, sequence int64) {
	text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","slots":2,"state":%q,"sequence":%d,"born":%d}`, service, address, state, sequence, born)
	s.watched.Apply([]sardinerock.StoreRecord{{Key: "i-1", Value: []byte(text)}}, false)
}

func (s *restarts) servedAt(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served[address]
}

// expectServed sends requests, which must all be served at an address.
func (s *restarts) expectServed(address string) {
	s.g.THelper()
	s.mu.Lock()
	s.served = map[string]int{}
	s.mu.Unlock()
	for range 10 {
		resp, _, err := s.post("/once/x")
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	}
	s.g.Expect(s.servedAt(address)).To(Equal(10))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.g.Expect(s.served).To(HaveLen(1))
}

// After a restart under the same id, requests must go to the new address and none to the old one, with the
// id that the backend server expects. What was known of the earlier process must not count: its
// ejection, its aborts and what other entries run there.
func TestRestartedBackendServerStartsAnew(t *testing.T) {
	s := newRestarts(t)
	before, after := s.listen(t), s.listen(t)
	s.register(before, "ready", 1_000, 900)
	s.expectServed(before)
	s.mu.Lock()
	s.scripts = []script{closeConn}
	s.mu.Unlock()
	s.expectRejection("/once/x", http.StatusBadGateway, 11)
	s.pool.SetPeer("front-2", []pool.Load{{Server: pool.Hash("i-1@rs"), Online: 2}}, time.Now())
	s.g.Expect(s.pool.Counts(time.Now())).To(And(HaveField("Ejected", 1), HaveField("PeersOnline", 2)))

	s.register(after, "ready", 2_000, 1)
	s.g.Expect(s.pool.Counts(time.Now())).To(Equal(pool.Counts{Listed: 1, Slots: 2}))
	s.g.Expect(s.pool.Suspect("i-1@1jk", time.Now())).To(BeFalse())
	s.expectServed(after)

	s.register(before, "ready", 1_000, 901)
	s.expectServed(after)
}

// A drained backend server that restarts must be used again, also at the address that it had.
func TestDrainedBackendServerRestarts(t *testing.T) {
	s := newRestarts(t)
	address := s.listen(t)
	s.register(address, "ready", 1_000, 1)
	s.register(address, "draining", 1_000, 2)
	s.expectRejection("/once/x", http.StatusServiceUnavailable, 0)
	s.register(address, "ready", 2_000, 1)
	s.expectServed(address)
}

// A request in progress on the earlier process must end as the kind of its route says, and must not take a
// slot of the new process.
func TestRequestInProgressDuringRestart(t *testing.T) {
	for path, want := range map[string]int{"/once/x": http.StatusBadGateway, "/safe/x": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			s := newRestarts(t)
			before, after := s.listen(t), s.listen(t)
			s.register(before, "ready", 1_000, 1)
			crash, arrived := make(chan struct{}), make(chan struct{})
			s.scripts = []script{func(c net.Conn, _ *http.Request) {
				close(arrived)
				<-crash
			}}
			status := make(chan int, 1)
			go func() {
				resp, _, err := s.post(path)
				if err != nil {
					resp = &http.Response{}
				}
				status <- resp.StatusCode
			}()
			<-arrived
			s.register(after, "ready", 2_000, 1)
			s.g.Expect(s.pool.Counts(time.Now())).To(And(HaveField("Listed", 1), HaveField("OwnOnline", 1)))
			s.expectServed(after)
			close(crash)
			s.g.Expect(<-status).To(Equal(want))
			s.g.Expect(s.pool.OwnLoads()).To(BeEmpty())
			s.g.Expect(s.servedAt(before)).To(BeZero())
		})
	}
}

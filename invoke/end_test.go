package invoke_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/invoke"
	"github.com/sardinerock/sardinerock/platform"
	"github.com/sardinerock/sardinerock/pool"
)

// server is a backend server that answers the n-th request with the n-th script.
type server struct {
	g        *WithT
	choice   pool.Choice
	listener net.Listener

	mu      sync.Mutex
	scripts []script
	// resumed holds the event ids after which the requests ask to resume.
	resumed []string
	// restarted is set once another instance has the address, and checks counts the health checks.
	restarted bool
	checks    int
	// unidentified makes the answers to health checks name no instance.
	unidentified bool

	// early leaves the bodies of requests to the scripts.
	early bool

	// received holds the data of the events that items received.
	received []string
}

// text returns the text that items received.
func (s *server) text() string { return strings.Join(s.received, "\n") }

// script answers a request and reports whether the backend server refuses all further connections.
type script func(c net.Conn, r *http.Request) (ends bool)

func start(t *testing.T, scripts ...script) *server {
	s := &server{g: NewWithT(t), scripts: scripts}
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	s.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { s.listener.Close() })
	s.choice.BackendServer = sardinerock.BackendServer{ID: "i-1", Name: "i-1", Service: "models", Address: s.listener.Addr().String(), Slots: 2}
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if !s.early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if r.URL.Path == healthPath {
		s.serveHealth(c)
		return
	}
	s.mu.Lock()
	s.resumed = append(s.resumed, r.Header.Get("Last-Event-Id"))
	if len(s.scripts) == 0 {
		s.mu.Unlock()
		return
	}
	play := s.scripts[0]
	s.scripts = s.scripts[1:]
	s.mu.Unlock()
	if play(c, r) {
		s.listener.Close()
	}
}

// framings are the ways in which a body that ends in order may be framed.
var framings = map[string]func(body string) script{
	"without framing": func(body string) script {
		return respond("HTTP/1.1 200 OK\r\n%s\r\n%s", body)
	},
	"HTTP/1.0": func(body string) script {
		return respond("HTTP/1.0 200 OK\r\n%s\r\n%s", body)
	},
	"in chunks": func(body string) script {
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n%s0\r\n\r\n", body)
	},
	"with a length": func(body string) script {
		return respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))+"%s\r\n%s", body)
	},
}

func respond(format, body string) script {
	return func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, format, fmt.Sprintf("Request-Id: %s\r\nResponse-Signature: sig\r\n", r.Header.Get("Request-Id")), body)
		return false
	}
}

func crash(play script) script {
	return func(c net.Conn, r *http.Request) bool { play(c, r); return true }
}

func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func text(last int) string {
	var lines []string
	for i := 1; i <= last; i++ {
		lines = append(lines, fmt.Sprint("piece ", i))
	}
	return strings.Join(lines, "\n")
}

func (s *server) invoker() *invoke.Invoker {
	p := &pool.Pool{}
	p.SetServers([]sardinerock.BackendServer{s.choice.BackendServer})
	return &invoke.Invoker{
		Batch: platform.Dialect{}, Table: s.table, Pool: p,
		Conns: &conns.Conns{Dialect: platform.Dialect{}},
	}
}

func (s *server) table() *sardinerock.RouteTable {
	return &sardinerock.RouteTable{Services: map[string]sardinerock.ServiceInfo{s.choice.Service: {HealthPath: healthPath}}}
}

// item returns an item whose data is added to s.received.
func (s *server) item() *invoke.Item {
	return &invoke.Item{
		Host: "h", Body: &sardinerock.BatchItem{ID: "item", Path: "/x"},
		OnEvent:    func(_ sardinerock.Position, data string) { s.received = append(s.received, data) },
		BeforeSend: func(context.Context) error { return nil },
	}
}

// run runs an item until a run completes it, at most runs times, and returns the outcome of the last run and
// the text.
func (s *server) run(t *testing.T, runs int) (outcome invoke.Outcome, received string) {
	v, item := s.invoker(), s.item()
	for range runs {
		outcome, _ = v.Run(t.Context(), item, &s.choice)
		if outcome == invoke.Succeeded {
			break
		}
	}
	return outcome, strings.Join(s.received, "\n")
}

// TestItemThatEndsInsideAnEventIsResumed guards against a result that ends inside an event, where a backend server
// broke off the stream of an item, however that was framed.
func TestItemThatEndsInsideAnEventIsResumed(t *testing.T) {
	for name, framed := range framings {
		for cut, rest := range map[string]string{
			"in the id":                 "id: ",
			"after the id":              "id: 3\n",
			"in the data":               "id: 3\ndata: pie",
			"after the data's line end": "id: 3\ndata: piece 3\n",
			"between CR and LF":         "id: 3\r\ndata: piece 3\r\n\r",
		} {
			t.Run(name+" "+cut, func(t *testing.T) {
				s := start(t, framed(events(1, 2)+rest), framings["in chunks"](events(3, 5)))
				outcome, received := s.run(t, 1)
				s.g.Expect(outcome).To(Equal(invoke.BrokenOff))
				s.g.Expect(received).To(Equal(text(2)))

				s = start(t, framed(events(1, 2)+rest), framings["in chunks"](events(3, 5)))
				outcome, received = s.run(t, 2)
				s.g.Expect(outcome).To(Equal(invoke.Succeeded))
				s.g.Expect(received).To(Equal(text(5)))
				s.g.Expect(s.resumed).To(Equal([]string{"", "2"}))
			})
		}
	}
}

// TestUnframedItemIsAskedForMoreEvents guards against a short result of an item whose stream a backend server
// closed between two events, without framing.
func TestUnframedItemIsAskedForMoreEvents(t *testing.T) {
	unframed := framings["without framing"]
	for name, tt := range map[string]struct {
		scripts []script
		// first is the outcome of the first run, and text what is received in it.
		first   invoke.Outcome
		text    string
		resumed []string
	}{
		"complete": {
			scripts: []script{unframed(events(1, 5)), unframed("")},
			first:   invoke.Succeeded, text: text(5), resumed: []string{"", "5"},
		},
		"complete, confirmed in chunks": {
			scripts: []script{unframed(events(1, 5)), framings["in chunks"]("")},
			first:   invoke.Succeeded, text: text(5), resumed: []string{"", "5"},
		},
		"cut by a backend server that works": {
			scripts: []script{unframed(events(1, 2)), unframed(events(3, 4)), unframed(events(5, 5)), unframed("")},
			first:   invoke.Succeeded, text: text(5), resumed: []string{"", "2", "4", "5"},
		},
		"cut by one that ended": {
			scripts: []script{crash(unframed(events(1, 2)))},
			first:   invoke.BrokenOff, text: text(2), resumed: []string{""},
		},
		"cut before the first event": {
			scripts: []script{unframed("")},
			first:   invoke.BrokenOff, resumed: []string{""},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, tt.scripts...)
			outcome, received := s.run(t, 1)
			s.g.Expect(outcome).To(Equal(tt.first))
			s.g.Expect(received).To(Equal(tt.text))
			s.g.Expect(s.resumed).To(Equal(tt.resumed))
		})
	}
}

func notExecuted(c net.Conn, _ *http.Request) bool {
	fmt.Fprint(c, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	return false
}

func status(code int) script {
	return func(c net.Conn, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\nContent-Length: 0\r\n\r\n", code, r.Header.Get("Request-Id"))
		return false
	}
}

func closeConn(net.Conn, *http.Request) bool { return false }

// TestUnconfirmedItemIsResumed guards against an item whose stream ended without framing counting as complete, or as
// failed, because its backend server gave no answer on whether it is complete.
func TestUnconfirmedItemIsResumed(t *testing.T) {
	unframed := framings["without framing"]
	for name, tt := range map[string]struct {
		scripts []script
		// outcomes are those of the runs, and text is what was received in all.
		outcomes []invoke.Outcome
		text     string
	}{
		"no slot, complete": {
			scripts:  []script{unframed(events(1, 3)), notExecuted, unframed("")},
			outcomes: []invoke.Outcome{invoke.Interrupted, invoke.Succeeded}, text: text(3),
		},
		"no slot, cut": {
			scripts:  []script{unframed(events(1, 3)), notExecuted, unframed(events(4, 5)), unframed("")},
			outcomes: []invoke.Outcome{invoke.Interrupted, invoke.Succeeded}, text: text(5),
		},
		"server error, complete": {
			scripts:  []script{unframed(events(1, 3)), status(http.StatusInternalServerError), framings["in chunks"]("")},
			outcomes: []invoke.Outcome{invoke.Interrupted, invoke.Succeeded}, text: text(3),
		},
		"rejected for good, complete": {
			scripts:  []script{unframed(events(1, 3)), status(http.StatusUnprocessableEntity), framings["in chunks"]("")},
			outcomes: []invoke.Outcome{invoke.Interrupted, invoke.Succeeded}, text: text(3),
		},
		"connection closed, and without events after it": {
			scripts:  []script{unframed(events(1, 3)), closeConn, unframed(""), unframed(events(4, 5)), unframed("")},
			outcomes: []invoke.Outcome{invoke.BrokenOff, invoke.Succeeded}, text: text(5),
		},
		"confirmed by a backend server that ended": {
			scripts:  []script{unframed(events(1, 3)), crash(unframed(""))},
			outcomes: []invoke.Outcome{invoke.BrokenOff}, text: text(3),
		},
		"asked inside an event": {
			scripts:  []script{unframed(events(1, 3)), unframed("id: 4\nda"), framings["in chunks"](events(4, 5))},
			outcomes: []invoke.Outcome{invoke.BrokenOff, invoke.Succeeded}, text: text(5),
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, tt.scripts...)
			item := s.item()
			var outcomes []invoke.Outcome
			for range tt.outcomes {
				outcome, err := s.invoker().Run(t.Context(), item, &s.choice)
				// An error would eject the backend server.
				s.g.Expect(err != nil).To(Equal(outcome == invoke.BrokenOff), "%v", err)
				outcomes = append(outcomes, outcome)
			}
			s.g.Expect(outcomes).To(Equal(tt.outcomes))
			s.g.Expect(strings.Join(s.received, "\n")).To(Equal(tt.text))
		})
	}
}

package sardinerock_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

// get sends a request over a connection of its own.
func get(g *WithT, address, version string) *http.Response {
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(c, "GET / %s\r\nHost: h\r\n\r\n", version)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	return resp
}

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
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				tt.prepare(w.Header())
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				// The caller has received the part before the connection ends.
				time.Sleep(50 * time.Millisecond)
				sardinerock.AbortResponse(w, r)
			}))
			s.Config.ConnContext = sardinerock.ConnContext
			s.Start()
			defer s.Close()
			resp := get(g, s.Listener.Addr().String(), tt.version)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			g.Expect(string(body)).To(Equal("part"))
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.Is(err, syscall.ECONNRESET)).To(Equal(tt.reset), err.Error())
		})
	}
}

// serveEnv is set for the process of TestDeathOfTheProcessIsAReset that serves.
const serveEnv = "SARDINEROCK_TEST_SERVE"

// Guards against a response without framing that looks complete to its caller because the process that sends it
// dies, which closes its connections.
func TestDeathOfTheProcessIsAReset(t *testing.T) {
	g := NewWithT(t)
	if os.Getenv(serveEnv) != "" {
		serveUnframed(g)
		return
	}
	for name, dies := range map[string]bool{"in the middle": true, "never": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cmd := exec.Command(os.Args[0], "-test.run=^TestDeathOfTheProcessIsAReset$")
			cmd.Env = append(os.Environ(), serveEnv+"=1")
			out, err := cmd.StdoutPipe()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(cmd.Start()).To(Succeed())
			defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
			address, err := bufio.NewReader(out).ReadString('\n')
			g.Expect(err).NotTo(HaveOccurred())
			resp := get(g, strings.TrimSpace(address), "HTTP/1.1")
			defer resp.Body.Close()
			part := make([]byte, len("part"))
			_, err = io.ReadFull(resp.Body, part)
			g.Expect(err).NotTo(HaveOccurred())
			if dies {
				g.Expect(cmd.Process.Kill()).To(Succeed())
			}
			rest, err := io.ReadAll(resp.Body)
			if dies {
				g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(rest)).To(Equal("rest"))
		})
	}
}

// serveUnframed serves a response without framing that takes a second, and prints its address.
func serveUnframed(g *WithT) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	fmt.Println(l.Addr())
	s := &http.Server{ConnContext: sardinerock.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sardinerock.OmitFraming(w.Header())
		_, _ = io.WriteString(w, "part")
		sardinerock.GuardUnframed(w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Second)
		_, _ = io.WriteString(w, "rest")
		sardinerock.EndGuarded(w, r)
	})}
	_ = s.Serve(l)
}

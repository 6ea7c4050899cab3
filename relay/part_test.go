package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

const (
	// guiltyPart is the part of a prompt that ends each backend server which begins to write an answer on it.
	guiltyPart = "bad0"
	// crashesKnown is how many backend servers may end before the part must be known, and contactTime how much later it
	// must be known everywhere; sendsAllowed is how often it may be sent after that.
	crashesKnown = 5
	contactTime  = 3 * time.Second
	sendsAllowed = 3
)

// endOnPart makes a backend server end the connection of each request with the guilty part, after the head of its
// response, and complete all others.
func endOnPart(guilty, sound *atomic.Int32) script {
	return func(c net.Conn, r *http.Request) {
		if strings.Contains(r.Header.Get("Prompt-Prefix"), guiltyPart+":") {
			guilty.Add(1)
			events(1, 0, false)(c, r)
			return
		}
		sound.Add(1)
		// The connection isn't kept: a request that was sent on one which ends at that moment isn't repeated.
		if strings.HasPrefix(r.URL.Path, "/safe/") || strings.HasPrefix(r.URL.Path, "/once/") {
			fmt.Fprintf(c, signedHead+"Connection: close\r\nContent-Length: 5\r\n\r\nwhole", 1, r.Header.Get("Request-Id"), "text/plain")
			return
		}
		body := allEvents(3)
		fmt.Fprintf(c, signedHead+"Connection: close\r\nContent-Length: %d\r\n\r\n%s", 1, r.Header.Get("Request-Id"), eventStream, len(body), body)
	}
}

// TestPromptPartThatEndsBackendServersIsContained guards against requests, no two alike, of which one part of the
// prompt ends each backend server, being sent to one after the other, and against requests that share their other parts
// being rejected with them.
func TestPromptPartThatEndsBackendServersIsContained(t *testing.T) {
	for name, prompt := range map[string]func(n int) string{
		"first":  func(n int) string { return fmt.Sprintf("%s:100,a%d:100,b%d:50", guiltyPart, n%4, n) },
		"second": func(n int) string { return fmt.Sprintf("a:100,%s:100,b%d:50", guiltyPart, n) },
		"third":  func(n int) string { return fmt.Sprintf("a:100,c%d:10,%s:100,b%d:50", n, guiltyPart, n) },
		"changing": func(n int) string {
			return []string{guiltyPart + ":100,a:100", "a:100," + guiltyPart + ":100"}[n%2] + fmt.Sprintf(",b%d:50", n)
		},
	} {
		for _, path := range []string{"/resumable/", "/stream/", "/safe/", "/once/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				var guilty, sound atomic.Int32
				s := newTestbed(t)
				s.fallback = endOnPart(&guilty, &sound)
				sent := 0
				post := func(prompt string) int {
					sent++
					r, err := http.NewRequest(http.MethodPost, s.front.URL+path+fmt.Sprint("x", sent), strings.NewReader(fmt.Sprint("body ", sent)))
					s.g.Expect(err).NotTo(HaveOccurred())
					r.Host = "h.example"
					r.Header.Set("Request-Id", fmt.Sprint("r", sent))
					r.Header.Set("Deadline-Ms", "900")
					r.Header.Set("Prompt-Prefix", prompt)
					resp, err := http.DefaultClient.Do(r)
					if err != nil {
						return 0
					}
					defer resp.Body.Close()
					_, _ = io.Copy(io.Discard, resp.Body)
					return resp.StatusCode
				}
				for n := 0; guilty.Load() < crashesKnown && n < 2*crashesKnown; n++ {
					post(prompt(n))
				}
				time.Sleep(contactTime)
				s.restoreServers()
				before := guilty.Load()
				for n := range 40 {
					post(prompt(100 + n))
					s.g.Expect(post(fmt.Sprintf("a:100,a%d:100,d%d:50", n%4, n))).To(Equal(http.StatusOK), "a sound request")
				}
				s.g.Expect(guilty.Load()-before).To(BeNumerically("<=", sendsAllowed), "sent to backend servers, which end")
				s.g.Expect(sound.Load()).To(BeNumerically(">=", 40))
			})
		}
	}
}

// restoreServers replaces all backend servers by others at the same addresses, as after a crash.
func (s *testbed) restoreServers() {
	var list []sardinerock.BackendServer
	for _, b := range s.servers {
		b.ID += "-again"
		list = append(list, b)
	}
	s.servers = list
	s.pool.SetServers(list)
	s.relay.Origins.SetServers(list)
}

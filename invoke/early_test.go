package invoke_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/invoke"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 12 << 20

// resetLater resets the connection after a script, before the request is read.
func resetLater(play script) script {
	return func(c net.Conn, r *http.Request) bool {
		play(c, r)
		time.Sleep(100 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// readThen reads the request before a script.
func readThen(play script) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		return play(c, r)
	}
}

// TestEarlyResponseToAnItemIsIncomplete guards against a short result of an item whose stream, without framing, was reset while
// the item was being written.
func TestEarlyResponseToAnItemIsIncomplete(t *testing.T) {
	unframed := framings["without framing"]
	for name, scripts := range map[string][]script{
		"before the first event": {resetLater(unframed("")), readThen(unframed(events(1, 5))), readThen(unframed(""))},
		"between two events":     {resetLater(unframed(events(1, 3))), readThen(framings["in chunks"](events(4, 5)))},
		"asked for more events":  {readThen(unframed(events(1, 3))), resetLater(unframed("")), resetLater(unframed("")), readThen(framings["in chunks"](events(4, 5)))},
		"each time":              {resetLater(unframed(events(1, 3))), resetLater(unframed("")), resetLater(unframed("")), readThen(framings["in chunks"](events(4, 5)))},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, scripts...)
			s.early = true
			v, item := s.invoker(), s.item()
			item.Body.Body = bytes.Repeat([]byte("u"), uploadBytes)
			outcome := invoke.Interrupted
			for range len(scripts) {
				if outcome, _ = v.Run(t.Context(), item, &s.choice); outcome == invoke.Succeeded {
					break
				}
			}
			s.g.Expect(outcome).To(Equal(invoke.Succeeded))
			s.g.Expect(s.text()).To(Equal(text(5)))
		})
	}
}

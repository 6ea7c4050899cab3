package node_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestItemThatEndsBackendServersReachesFew guards against an item that ends each backend server, after a few
// events or before the first, being sent to the next one again and again.
func TestItemThatEndsBackendServersReachesFew(t *testing.T) {
	for name, endsAfter := range map[string]int{"after one event": 1, "after three events": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			f.events, f.endsAfter = 400, endsAfter
			status, body := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(1, 1))
			f.g.Expect(status).To(Equal(http.StatusAccepted), body)
			runs := func() int { f.mu.Lock(); defer f.mu.Unlock(); return f.runs["item0"] }
			// Three backend servers, and at most three later ones.
			f.g.Consistently(runs, 15*time.Second).Should(BeNumerically("<=", 6))
			f.g.Expect(runs()).To(BeNumerically(">=", 3))
		})
	}
}

package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A large response that ends early ends the caller's connection by a panic. If the request kept its slot
// then, the backend server would look fuller with each of them, at all entries, until this one restarts.
func TestBrokenLargeResponseFreesItsSlot(t *testing.T) {
	const size = 400 << 10
	s := newTestbed(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Request-Id"), size, strings.Repeat("x", size-1))
	})
	_, _, err := s.post("/safe/x")
	s.g.Expect(err).To(HaveOccurred())
	s.g.Eventually(func() int { return s.pool.Counts(time.Now()).OwnOnline }).Should(BeZero())
}

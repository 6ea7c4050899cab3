package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

// useVersions replaces the backend servers by one for each version. Each names its version in its events, and
// ends the first run of each request after two of the five events.
func (s *testbed) useVersions(t *testing.T, versions ...string) {
	s.servers = nil
	byAddress := map[string]string{}
	for i, version := range versions {
		id := fmt.Sprint("i-", i)
		b := sardinerock.BackendServer{ID: id, Name: id, Service: service, Version: version, Address: s.listen(t), Slots: 2}
		byAddress[b.Address] = version
		s.servers = append(s.servers, b)
	}
	s.setServers(s.servers)
	s.fallback = func(c net.Conn, r *http.Request) {
		first, last := 1, 2
		if after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")); after > 0 {
			first, last = after+1, 5
		}
		writeStream(c, r, first, last, byAddress[c.LocalAddr().String()])
	}
}

// setServers makes a list of backend servers known.
func (s *testbed) setServers(list []sardinerock.BackendServer) {
	s.pool.SetServers(list)
	s.relay.Origins.SetServers(list)
}

// writeStream streams events that name a version, and ends the response only if the fifth is sent. It says that the connection
// isn't kept: a request that is sent on one which ends at that moment may have run, and counts as an attempt.
func writeStream(c net.Conn, r *http.Request, first, last int, version string) {
	fmt.Fprintf(c, signedHead+"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n", 1, r.Header.Get("Request-Id"), eventStream)
	for i := first; i <= last; i++ {
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, version, i)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
	if last == 5 {
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

var eventVersion = regexp.MustCompile(`data: (\S+) `)

// versionsIn returns the versions that the events of a body name, and the number of events.
func versionsIn(body string) (versions map[string]bool, events int) {
	versions = map[string]bool{}
	for _, m := range eventVersion.FindAllStringSubmatch(body, -1) {
		versions[m[1]] = true
		events++
	}
	return versions, events
}

// TestBrokenStreamGoesOnAtItsVersion guards against a stream that its backend server broke off being continued
// by a backend server of another software version.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for name, versions := range map[string][]string{
		"two and two":    {"v1", "v2", "v1", "v2"},
		"two and six":    {"v2", "v1", "v2", "v2", "v1", "v2", "v2", "v2"},
		"three versions": {"v1", "v2", "v3", "v1", "v2", "v3"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			s.useVersions(t, versions...)
			for n := range 30 {
				_, body, err := s.post(fmt.Sprint("/resumable/", n))
				s.g.Expect(err).NotTo(HaveOccurred())
				seen, events := versionsIn(body)
				s.g.Expect(seen).To(HaveLen(1), body)
				s.g.Expect(events).To(Equal(5))
				s.g.Expect(s.seen()).To(HaveLen(2 * (n + 1)))
			}
		})
	}
}

package node_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	batchRoute = `{"name":"b","host":"h","path_prefix":"/batch/","kind":"batch","service":"s","max_attempts":2,"completion_target_ms":18000,"retention_s":600,"max_count":1000}`
	otherRoute = `{"name":"l","host":"h","path_prefix":"/letters/","kind":"safe","service":"s","max_attempts":2,"timeout_ms":5000}`
	rootRoute  = `{"name":"l","host":"h","path_prefix":"/","kind":"safe","service":"s","max_attempts":2,"timeout_ms":5000}`
	otherHost  = `{"name":"l","host":"g","path_prefix":"/letters/","kind":"safe","service":"s","max_attempts":2,"timeout_ms":5000}`
	otherBatch = `{"name":"c","host":"h","path_prefix":"/other/","kind":"batch","service":"s","max_attempts":2,"completion_target_ms":18000,"retention_s":600,"max_count":1000}`
)

// configureRoutes stores a configuration with some routes, and waits until some entries have it.
func (f *fleet) configureRoutes(version int, routes string, entries ...*entry) {
	path := fmt.Sprintf("/probe/%d/", version)
	probe := fmt.Sprintf(`{"name":"p","host":"p","path_prefix":%q,"kind":"safe","service":"s","max_attempts":1,"timeout_ms":1000}`, path)
	f.put(configTopic, "config", fmt.Sprintf(`{"version":%d,"routes":[%s,%s]}`, version, routes, probe))
	for _, e := range entries {
		f.g.Eventually(func() int { return f.statusAt(e, "p", path) }, timeout).ShouldNot(Or(Equal(http.StatusNotFound), BeZero()))
	}
}

// statusAt returns the status of a request to a host and path, or 0 if there is no response.
func (f *fleet) statusAt(e *entry, host, path string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+e.settings.CallerAddress+path, http.NoBody)
	f.g.Expect(err).NotTo(HaveOccurred())
	r.Host = host
	r.Header.Set("Request-Id", "probe")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// TestJobOutlivesItsRoute guards against calls on accepted jobs, done and open ones, being rejected because of what was configured
// later.
func TestJobOutlivesItsRoute(t *testing.T) {
	for name, configurations := range map[string][]string{
		"route removed":                      {otherRoute},
		"route removed, another batch route": {otherBatch},
		"another route has all paths":        {rootRoute},
		"host removed":                       {otherHost},
		"removed and added again":            {otherRoute, batchRoute},
		"changed many times":                 {otherHost, rootRoute, batchRoute, otherRoute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			status, body := f.call(f.entries[0], http.MethodPost, "/batch/j", "done", jobBody(2, 1))
			f.g.Expect(status).To(Equal(http.StatusAccepted), body)
			f.expectDone("done", 2)
			f.mu.Lock()
			f.onRun = func(_ http.ResponseWriter, r *http.Request) bool {
				if r.Host == "h" && r.Method == http.MethodPost {
					f.hang(r)
				}
				return false
			}
			f.mu.Unlock()
			status, body = f.call(f.entries[1], http.MethodPost, "/batch/j", "open", jobBody(3, 1))
			f.g.Expect(status).To(Equal(http.StatusAccepted), body)
			routes := ""
			for n, c := range configurations {
				f.configureRoutes(10+n, c, f.entries...)
				routes = c
			}
			for _, e := range f.entries {
				f.g.Expect(f.results(e, "done", 0).Results).To(HaveLen(2))
				f.g.Expect(f.results(e, "open", 0).Total).To(Equal(3))
				status, body = f.call(e, http.MethodGet, "/v1/items/open?id=item2", "", "")
				f.g.Expect(status).To(Equal(http.StatusOK), body)
				f.g.Expect(body).To(Equal("body 2"))
				if routes != rootRoute {
					status, body = f.call(e, http.MethodPost, "/batch/j", "open", jobBody(3, 1))
					f.g.Expect(status).To(Equal(http.StatusAccepted), body)
				}
				status, body = f.call(e, http.MethodGet, "/v1/lots/none", "", "")
				if routes != rootRoute {
					f.g.Expect(status).To(Equal(http.StatusNotFound), body)
				}
			}
			for _, e := range f.entries {
				status, body = f.call(e, http.MethodDelete, "/v1/lots/open", "", "")
				f.g.Expect(status).To(Equal(http.StatusOK), body)
				f.g.Expect(f.results(e, "open", 0).Total).To(Equal(3))
			}
			if routes != batchRoute && routes != rootRoute {
				status, body = f.call(f.entries[0], http.MethodPost, "/batch/j", "new", jobBody(1, 1))
				f.g.Expect(status).To(Equal(http.StatusNotFound), body)
			}
		})
	}
}

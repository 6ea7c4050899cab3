package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the deployment, and the time after contact that a check leaves as a margin.
const (
	contactTime = 3000 * time.Millisecond
	drainTime   = 2000 * time.Millisecond
	applyTime   = 2000 * time.Millisecond
	margin      = 50 * time.Millisecond
)

// arrival is a request that reached a backend server.
type arrival struct {
	id, server, service string
	at                  time.Time
}

// traffic is the load of the deployment: lookups all the time, and batch jobs and reads of their results until stopJobs.
type traffic struct {
	w    *world
	stop chan struct{}
	// jobsStopped is closed when no more calls on batch jobs are sent.
	jobsStopped chan struct{}
	group       sync.WaitGroup

	mu       sync.Mutex
	arrivals []arrival
	// sent holds when each lookup was sent, and paths to which path.
	sent  map[string]time.Time
	paths map[string]string
	jobs  []string
}

// handle runs a request at a backend server.
func (t *traffic) handle(s *server, c net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("Request-Id")
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{id, s.id, s.service, time.Now()})
	t.mu.Unlock()
	t.w.logf("server %s (%s) runs %s", s.id, s.service, id)
	time.Sleep(15 * time.Millisecond)
	if !isPath(r, "/lots/") {
		return reply(c, id, http.StatusOK, "", "ok")
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := 1; n <= 40; n++ {
		event := fmt.Sprintf("id: %d\ndata: t%d\n\n", n, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// every calls send at intervals until a channel is closed.
func (t *traffic) every(d time.Duration, stop <-chan struct{}, send func(e *entry)) {
	t.group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(d):
				t.group.Go(func() { send(t.w.entries[n%len(t.w.entries)]) })
			}
		}
	})
}

func (t *traffic) lookup(e *entry, path string) {
	id := t.w.id("q")
	t.mu.Lock()
	t.sent[id], t.paths[id] = time.Now(), path
	t.mu.Unlock()
	t.w.ask(e, http.MethodPost, path, map[string]string{"Request-Id": id, "Deadline-Ms": "2500"}, "x", 3*time.Second)
}

func (t *traffic) submit(e *entry) {
	var items []string
	for n := range 8 {
		items = append(items, fmt.Sprintf(`{"id":"%s","path":"/lots/3/%d","headers":{"Model":"m","Token-Usage":"250,40"},"body":"q83vEjRWeJA=","tokens":290}`, t.w.id("e"), n))
	}
	id := t.w.id("l")
	header := map[string]string{"Request-Id": id, "Deadline-Ms": "4000", "Content-Type": "application/json"}
	t.w.ask(e, http.MethodPost, "/lots/"+id, header, `{"items":[`+strings.Join(items, ",")+`]}`, 5*time.Second)
	t.mu.Lock()
	t.jobs = append(t.jobs, id)
	t.mu.Unlock()
}

func (t *traffic) read(e *entry) {
	t.mu.Lock()
	id := ""
	if n := len(t.jobs); n > 0 {
		id = t.jobs[n/2]
	}
	t.mu.Unlock()
	if id != "" {
		t.w.ask(e, http.MethodGet, "/v1/lots/"+id+"?after=0", nil, "", 3*time.Second)
	}
}

// startJobs submits and reads batch jobs for a while, as clients do at some times of a day.
func (t *traffic) startJobs(d time.Duration) {
	t.jobsStopped = make(chan struct{})
	t.every(300*time.Millisecond, t.jobsStopped, t.submit)
	for range 3 {
		t.every(150*time.Millisecond, t.jobsStopped, t.read)
	}
	time.Sleep(d)
	close(t.jobsStopped)
}

var silentServices = []map[string]any{plainService("alpha"), plainService("beta"), engineService("gamma")}

// silentRoutes are the routes, of which one is served by a service that changes.
func silentRoutes(moved string) []map[string]any {
	lookup := map[string]any{"timeout_ms": 2500, "max_attempts": 2}
	return []map[string]any{
		route("r-a", "/a/", "safe", "alpha", lookup),
		route("r-b", "/b/", "safe", moved, lookup),
		route("r-l", "/lots/", "batch", "gamma", map[string]any{"timeout_ms": 15000, "completion_target_ms": 18000, "retention_s": 60, "max_attempts": 3, "max_count": 2400000}),
	}
}

// startSilent starts a deployment with backend servers of three services, and its traffic.
func startSilent(w *world, entries int) (*traffic, []*server, error) {
	t := &traffic{w: w, stop: make(chan struct{}), sent: map[string]time.Time{}, paths: map[string]string{}}
	w.put("keyed.op", "config", configuration(7, silentRoutes("alpha"), silentServices...))
	var servers []*server
	for n, service := range []string{"alpha", "alpha", "alpha", "beta", "gamma", "gamma"} {
		s := &server{id: w.id("i-"), service: service, address: fmt.Sprintf("%s%d:8080", w.prefix, 100+n), handle: t.handle, logf: w.logf}
		if err := s.listen(); err != nil {
			return nil, nil, err
		}
		go s.beat(w, "")
		servers = append(servers, s)
	}
	if err := w.startEntries(entries); err != nil {
		return nil, nil, err
	}
	time.Sleep(3 * time.Second)
	for _, path := range []string{"/a/1", "/b/1"} {
		t.every(40*time.Millisecond, t.stop, func(e *entry) { t.lookup(e, path) })
	}
	return t, servers, nil
}

// silentDrainCase has the open connections between the entries and the store go silent. Right after that, the entry of a backend server is removed.
// Requests that clients send once the machines are in touch again must not reach that server.
func silentDrainCase(w *world, trouble bool) (bool, error) {
	t, servers, err := startSilent(w, 3)
	if err != nil {
		return false, err
	}
	t.startJobs(6 * time.Second)
	time.Sleep(5 * time.Second)
	at := time.Now()
	if trouble {
		w.silence()
	}
	leaving := servers[0]
	leaving.stopBeat()
	time.Sleep(100 * time.Millisecond)
	w.put("keyed.servers", leaving.id, nil)
	removed := time.Now()
	time.Sleep(9 * time.Second)
	close(t.stop)
	t.group.Wait()

	held, last := true, time.Duration(0)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.arrivals {
		sent, ok := t.sent[a.id]
		if !ok || a.server != leaving.id {
			continue
		}
		last = max(last, sent.Sub(at))
		// Before that, the connections of the machines were disturbed within the last contact_ms.
		if sent.After(at.Add(contactTime+margin)) && a.at.After(removed.Add(drainTime)) {
			held = false
			w.logf("broken: %s was sent %.3f s after the connections went silent and reached %s %.3f s after the entry of that was removed", a.id, sent.Sub(at).Seconds(), a.server, a.at.Sub(removed).Seconds())
		}
	}
	w.logf("the last request to the server that left was sent %.3f s after the connections went silent", last.Seconds())
	fmt.Printf("last %.3f s, held %v\n", last.Seconds(), held)
	return held, nil
}

// silentConfigCase has the open connections between the entries and the store go silent, several times in the run. Right after that, a route moves to
// another service. Requests that clients send once the machines are in touch again must not run at the service that the route has left.
func silentConfigCase(w *world, trouble bool) (bool, error) {
	t, _, err := startSilent(w, 8)
	if err != nil {
		return false, err
	}
	held := true
	services := []string{"alpha", "beta"}
	for round := range 6 {
		t.startJobs(5 * time.Second)
		time.Sleep(3 * time.Second)
		at := time.Now()
		if trouble {
			w.silence()
		}
		time.Sleep(100 * time.Millisecond)
		before, after := services[round%2], services[(round+1)%2]
		w.put("keyed.op", "config", configuration(9+2*round, silentRoutes(after), silentServices...))
		changed := time.Now()
		time.Sleep(6 * time.Second)
		last := time.Duration(0)
		t.mu.Lock()
		for _, a := range t.arrivals {
			sent, ok := t.sent[a.id]
			if !ok || a.service != before || t.paths[a.id] != "/b/1" || sent.Before(at) {
				continue
			}
			last = max(last, sent.Sub(at))
			if sent.After(at.Add(contactTime+margin)) && sent.After(changed.Add(applyTime)) {
				held = false
				w.logf("broken: %s was sent %.3f s after the connections went silent and %.3f s after version %d, and ran at %s", a.id, sent.Sub(at).Seconds(), sent.Sub(changed).Seconds(), 9+2*round, a.service)
			}
		}
		t.mu.Unlock()
		w.logf("the last request that ran at the service before was sent %.3f s after the connections went silent", last.Seconds())
		fmt.Printf("last %.3f s, held %v\n", last.Seconds(), held)
	}
	close(t.stop)
	t.group.Wait()
	return held, nil
}

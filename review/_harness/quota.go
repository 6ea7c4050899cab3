package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The quota of the tenant, what it sends usually and while it is hot, and the bounds of the deployment on it.
const (
	quotaRate    = 3.0
	quotaBurst   = 4.0
	usualRate    = 2
	hotRate      = 15 * usualRate / 2
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	quotaBounds  = "strict_revoke = true\nrevoke_ms = 5000\nquota_window_s = 5\nquota_slack = 20\n"
)

// quotaCase kills all entries at the same moment while one tenant sends many times its usual, and starts them again. In no window more requests of the tenant
// may be sent and run than its quota allows.
func quotaCase(w *world, trouble bool) (bool, error) {
	w.bounds = quotaBounds
	const entries = 6
	var mu sync.Mutex
	sent := map[string]time.Time{}
	type run struct{ sent, ran time.Time }
	var runs []run
	handle := func(s *server, c net.Conn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Request-Id")
		mu.Lock()
		if r.Header.Get("Tenant") == "hot" {
			runs = append(runs, run{sent[id], time.Now()})
		}
		mu.Unlock()
		w.logf("server %s runs %s of tenant %s", s.id, id, r.Header.Get("Tenant"))
		time.Sleep(10 * time.Millisecond)
		return reply(c, id, http.StatusOK, "", "ok")
	}
	c := configuration(7, []map[string]any{
		route("r-a", "/a/", "safe", "alpha", map[string]any{"timeout_ms": 2500, "max_attempts": 2}),
	}, plainService("alpha"))
	c["tenants"] = []map[string]any{
		{"name": "hot", "api_keys": []string{"key-hot"}, "rate_per_s": quotaRate, "burst": quotaBurst},
		{"name": "calm", "api_keys": []string{"key-calm"}, "rate_per_s": 50, "burst": 50},
	}
	w.put("keyed.op", "config", c)
	for n := range 4 {
		s := &server{id: w.id("i-"), service: "alpha", address: fmt.Sprintf("%s%d:8080", w.prefix, 100+n), handle: handle, logf: w.logf}
		if err := s.listen(); err != nil {
			return false, err
		}
		go s.beat(w, "")
	}
	if err := w.startEntries(entries); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	send := func(key string, pause time.Duration) {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
					group.Go(func() {
						id := w.id("q")
						mu.Lock()
						sent[id] = time.Now()
						mu.Unlock()
						w.ask(w.entries[n%entries], http.MethodPost, "/a/1", map[string]string{"Request-Id": id, "Deadline-Ms": "2500", "X-Api-Key": key}, "x", 3*time.Second)
					})
				}
			}
		})
	}
	send("key-calm", 50*time.Millisecond)
	time.Sleep(12 * time.Second)
	w.logf("the tenant begins to send 7.5 times its usual")
	send("key-hot", time.Second/hotRate)
	time.Sleep(1400 * time.Millisecond)
	if trouble {
		for range 2 {
			if err := w.killAll(200 * time.Millisecond); err != nil {
				return false, err
			}
			time.Sleep(1100 * time.Millisecond)
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()

	mu.Lock()
	defer mu.Unlock()
	limit := int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack)
	slices.SortFunc(runs, func(a, b run) int { return a.sent.Compare(b.sent) })
	most := 0
	var at time.Time
	for n := range runs {
		count := 0
		for m := n; m < len(runs); m++ {
			if runs[m].ran.Sub(runs[n].sent) <= quotaWindow {
				count++
			}
		}
		if count > most {
			most, at = count, runs[n].sent
		}
	}
	w.logf("most requests of the tenant that were sent and run in %v: %d, from %.3f s on; the quota allows %d", quotaWindow, most, at.Sub(w.begin).Seconds(), limit)
	if most > limit {
		w.logf("broken: %d requests, %d more than the quota allows", most, most-limit)
	}
	fmt.Printf("most %d, limit %d\n", most, limit)
	return most <= limit, nil
}

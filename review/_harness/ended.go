package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cancelTime is cancel_ms.
const cancelTime = 3000 * time.Millisecond

// endedJobs are the items of jobs that their callers end.
type endedJobs struct {
	w  *world
	mu sync.Mutex
	// jobOf holds the job of each item, and runs when its runs began.
	jobOf map[string]string
	runs  map[string][]time.Time
	done  []string
}

func (j *endedJobs) handle(s *server, c net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("Request-Id")
	j.mu.Lock()
	j.runs[id] = append(j.runs[id], time.Now())
	j.mu.Unlock()
	j.w.logf("server %s runs %s", s.id, id)
	events := 5
	if isPath(r, "/lots/long/") {
		events = 51 + rand.IntN(14)
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := 1; n <= events; n++ {
		event := fmt.Sprintf("id: %d\ndata: t%d\n\n", n, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// submit submits a job and returns its id.
func (j *endedJobs) submit(e *entry, kind string, count int) string {
	id := j.w.id("l")
	var items []string
	for n := range count {
		item := j.w.id("e")
		j.mu.Lock()
		j.jobOf[item] = id
		j.mu.Unlock()
		items = append(items, fmt.Sprintf(`{"id":"%s","path":"/lots/%s/%d","headers":{"Model":"m","Token-Usage":"250,60"},"body":"q83vEjRWeJA=","tokens":310}`, item, kind, n))
	}
	header := map[string]string{"Request-Id": id, "Deadline-Ms": "4000", "Content-Type": "application/json"}
	if a := j.w.ask(e, http.MethodPost, "/lots/"+id, header, `{"items":[`+strings.Join(items, ",")+`]}`, 5*time.Second); a.status != http.StatusAccepted {
		return ""
	}
	return id
}

// read reads the results of finished jobs, several at a time, as callers do.
func (j *endedJobs) read(e *entry, d time.Duration) {
	var group sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(120 * time.Millisecond) {
		for _, id := range j.done {
			group.Go(func() { j.w.ask(e, http.MethodGet, "/v1/lots/"+id+"?after=0", nil, "", 3*time.Second) })
		}
	}
	group.Wait()
}

// endedCase has the open connections between one of two entries and the store go silent, several times. Right after that, callers end their jobs at the other entry.
// No item of these may reach a backend server later than cancel_ms after the acknowledgement, and once the machines are in touch again.
func endedCase(w *world, trouble bool) (bool, error) {
	j := &endedJobs{w: w, jobOf: map[string]string{}, runs: map[string][]time.Time{}}
	w.put("keyed.op", "config", configuration(7, []map[string]any{
		route("r-l", "/lots/", "batch", "gamma", map[string]any{"timeout_ms": 15000, "completion_target_ms": 18000, "retention_s": 60, "max_attempts": 3, "max_count": 2400000}),
	}, engineService("gamma")))
	for n := range 6 {
		s := &server{id: w.id("i-"), service: "gamma", address: fmt.Sprintf("%s%d:8080", w.prefix, 100+n), handle: j.handle, logf: w.logf}
		if err := s.listen(); err != nil {
			return false, err
		}
		go s.beat(w, "")
	}
	if err := w.startEntries(4); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for range 10 {
		j.done = append(j.done, j.submit(w.entries[0], "short", 10))
	}
	time.Sleep(5 * time.Second)
	held := true
	for range 7 {
		var readers sync.WaitGroup
		for _, e := range w.entries[1:] {
			readers.Go(func() { j.read(e, time.Second) })
		}
		readers.Wait()
		var jobs []string
		for range 10 {
			jobs = append(jobs, j.submit(w.entries[0], "long", 12))
		}
		time.Sleep(2 * time.Second)
		at := time.Now()
		if trouble {
			for _, e := range w.entries[1:] {
				w.logf("%d open connections of %s to the store go silent", e.store.silence(), e.name)
			}
		}
		time.Sleep(100 * time.Millisecond)
		ended := map[string]time.Time{}
		for _, id := range jobs {
			if a := w.ask(w.entries[0], http.MethodDelete, "/v1/lots/"+id, nil, "", 3*time.Second); a.status == http.StatusOK {
				ended[id] = time.Now()
			}
		}
		time.Sleep(7 * time.Second)
		late, last := 0, time.Duration(0)
		j.mu.Lock()
		for item, runs := range j.runs {
			acknowledged, ok := ended[j.jobOf[item]]
			if !ok {
				continue
			}
			for _, began := range runs {
				last = max(last, began.Sub(acknowledged))
				if began.After(acknowledged.Add(cancelTime+margin)) && began.After(at.Add(contactTime+margin)) {
					late++
					held = false
					w.logf("broken: item %s reached a backend server %.3f s after the acknowledged end of its job, %.3f s after the connections went silent", item, began.Sub(acknowledged).Seconds(), began.Sub(at).Seconds())
				}
			}
		}
		j.mu.Unlock()
		w.logf("%d jobs ended; the last item began %.3f s after the end of its job, %d too late", len(ended), last.Seconds(), late)
		fmt.Printf("ended %d, last %.3f s, late %d\n", len(ended), last.Seconds(), late)
	}
	return held, nil
}

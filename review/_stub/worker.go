package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// models is the service of the model workers; all others are plain services.
const models = "models"

const (
	workerSlots = 8
	itemEvents  = 12
	eventPause  = 30 * time.Millisecond
)

// worker is a stand-in of a model worker: it streams events, resumes after Last-Event-Id and drops a request
// when its connection closes.
type worker struct {
	id      string
	address string
	service string
	world   *world
	// firstToken is the time until the first event of a run.
	firstToken time.Duration

	mu     sync.Mutex
	active int
	holds  map[string]time.Time
	nextID int
}

func (w *world) startWorker(id, service string, firstToken time.Duration) *worker {
	l, err := net.Listen("tcp", w.ip(200+len(w.workers))+":0")
	check(err)
	k := &worker{id: id, address: l.Addr().String(), service: service, world: w, firstToken: firstToken, holds: map[string]time.Time{}}
	w.workers = append(w.workers, k)
	go func() { _ = http.Serve(l, k) }()
	go k.beat()
	return k
}

// beat registers the worker and repeats that every heartbeat.
func (k *worker) beat() {
	for sequence := 1; ; sequence++ {
		k.world.store.put("keyed.servers", k.id, map[string]any{
			"service": k.service, "address": k.address, "zone": "hall", "version": "v1", "slots": workerSlots, "state": "ready",
			"cold_remaining_ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": sequence,
		})
		time.Sleep(1200 * time.Millisecond)
	}
}

// busy returns the number of requests that the worker has.
func (k *worker) busy() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.active
}

func (k *worker) hold() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for id, end := range k.holds {
		if now.After(end) {
			delete(k.holds, id)
		}
	}
	if k.active+len(k.holds) >= workerSlots {
		return ""
	}
	k.nextID++
	id := fmt.Sprint("hold-", k.nextID)
	k.holds[id] = now.Add(400 * time.Millisecond)
	return id
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", k.id)
		return
	case r.URL.Path == "/v1/hold-take":
		if id := k.hold(); id != "" {
			writeJSON(w, http.StatusOK, map[string]any{"hold": id})
			return
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.Header.Get("Request-Id") == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != k.id:
		w.Header().Set("Instance-Id", k.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.mu.Lock()
	if h := r.Header.Get("Kv-Hold"); h != "" {
		delete(k.holds, h)
	}
	if k.active+len(k.holds) >= 2*workerSlots {
		k.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.active++
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		k.active--
		k.mu.Unlock()
	}()
	k.run(w, r, body)
}

// run streams the events of a request after the last one that its sender has.
func (k *worker) run(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("Request-Id")
	k.world.ran(run{at: time.Now(), worker: k.id, id: id, target: r.Method + " " + r.RequestURI, after: r.Header.Get("Last-Event-Id"), body: string(body)})
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Signature", "sig."+id)
	if k.service != models {
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, "answer of %s to %s", k.service, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	pause := k.firstToken
	for n := after + 1; n <= itemEvents; n++ {
		select {
		case <-r.Context().Done():
			k.world.note("worker %s: run of %s dropped by its sender before event %d", k.id, id, n)
			return
		case <-time.After(pause):
		}
		pause = eventPause
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	k.world.note("worker %s: run of %s complete", k.id, id)
}

func eventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// itemText returns the whole output of an item.
func itemText(id string) string {
	lines := make([]string, itemEvents)
	for n := range lines {
		lines[n] = eventText(id, n+1)
	}
	return strings.Join(lines, "\n")
}

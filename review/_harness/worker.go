package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workerSpec is what a backend server in a process of its own is started with.
type workerSpec struct {
	ID, Service, Address, Log string
}

// workerPieces and workerPause are the parts of its responses and the time between them.
const (
	workerPieces = 10
	workerPause  = 200 * time.Millisecond
)

// pieceOf returns a part of the body of the response to a request.
func pieceOf(id string, n int) string {
	return fmt.Sprintf("%s part %02d of %02d %s\n", id, n, workerPieces, strings.Repeat("x", 50))
}

// eventOf returns an event of the stream that answers a request.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// wholeBody returns the whole body of the response to a request.
func wholeBody(path, id string) string {
	var b strings.Builder
	for n := 1; n <= workerPieces; n++ {
		if strings.HasPrefix(path, "/s/") {
			b.WriteString(eventOf(id, n))
		} else {
			b.WriteString(pieceOf(id, n))
		}
	}
	return b.String()
}

// runWorker is a backend server whose responses have no length and end with their connection.
func runWorker(specPath string) {
	var spec workerSpec
	raw, err := os.ReadFile(specPath)
	if err == nil {
		err = json.Unmarshal(raw, &spec)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	out, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		os.Exit(exitNotRun)
	}
	var mu sync.Mutex
	logf := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(out, "%s pid %d: %s\n", time.Now().Format("15:04:05.000"), os.Getpid(), fmt.Sprintf(format, args...))
	}
	s := &server{id: spec.ID, service: spec.Service, address: spec.Address, logf: logf, handle: func(s *server, c net.Conn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Request-Id")
		logf("runs %s %s", id, r.URL.Path)
		kind := "application/octet-stream"
		if isPath(r, "/s/") {
			kind = "text/event-stream"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", id, id, kind)
		for n := 1; n <= workerPieces; n++ {
			part := pieceOf(id, n)
			if isPath(r, "/s/") {
				part = eventOf(id, n)
			}
			if _, err := fmt.Fprint(c, part); err != nil {
				logf("%s was dropped by its caller", id)
				return false
			}
			time.Sleep(workerPause)
		}
		logf("completed %s", id)
		return false
	}}
	if err := s.listen(); err != nil {
		logf("%v", err)
		os.Exit(exitNotRun)
	}
	logf("started")
	select {}
}

// startWorker starts a backend server as a process and returns it.
func (w *world) startWorker(spec workerSpec) (*exec.Cmd, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.dir, spec.ID+".json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return nil, err
	}
	cmd := exec.Command(os.Args[0], "worker", path)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes = append(w.processes, cmd)
	w.mu.Unlock()
	return cmd, nil
}

// rebornCase cuts a backend server off; behind the cut it crashes and starts again under its id. Its response, which has no length, has been
// forwarded in part. The client must not get that part as a whole response.
func rebornCase(w *world, trouble bool) (bool, error) {
	const (
		cutAfter   = 700 * time.Millisecond
		crashAfter = 900 * time.Millisecond
		backAfter  = 2900 * time.Millisecond
		healAfter  = 3700 * time.Millisecond
	)
	services := []map[string]any{plainService("alpha")}
	w.put("keyed.op", "config", configuration(7, []map[string]any{
		route("r-u", "/u/", "unsafe", "alpha", nil),
		route("r-r", "/r/", "safe", "alpha", map[string]any{"max_attempts": 2}),
		route("r-s", "/s/", "streaming", "alpha", map[string]any{"resumable": false, "gap_target_ms": 400}),
	}, services...))
	spec := workerSpec{ID: w.id("i-"), Service: "alpha", Address: w.prefix + "100:8080", Log: filepath.Join(w.dir, "worker.txt")}
	process, err := w.startWorker(spec)
	if err != nil {
		return false, err
	}
	link, err := newProxy(w.prefix+"150:8080", spec.Address)
	if err != nil {
		return false, err
	}
	s := &server{id: spec.ID, service: spec.Service, address: link.address, born: time.Now().UnixMilli()}
	go s.beat(w, "")
	if err := w.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var group sync.WaitGroup
	paths := []string{"/u/1", "/r/1", "/s/1"}
	answers := make([]answer, len(paths))
	began := time.Now()
	for n, path := range paths {
		group.Go(func() {
			answers[n] = w.ask(w.entries[n%2], "POST", path, map[string]string{"Request-Id": w.id("q"), "Deadline-Ms": "5000"}, "x", 8*time.Second)
		})
	}
	if trouble {
		time.Sleep(time.Until(began.Add(cutAfter)))
		link.cut()
		w.logf("the backend server is cut off")
		time.Sleep(time.Until(began.Add(crashAfter)))
		s.stopBeat()
		_ = process.Process.Signal(syscall.SIGKILL)
		_ = process.Wait()
		w.logf("the backend server has crashed")
		time.Sleep(time.Until(began.Add(backAfter)))
		if _, err := w.startWorker(spec); err != nil {
			return false, err
		}
		w.logf("the backend server has started again under its id")
		time.Sleep(time.Until(began.Add(healAfter)))
		link.heal()
		w.logf("the cut has ended")
		again := &server{id: spec.ID, service: spec.Service, address: link.address, born: began.Add(backAfter).UnixMilli()}
		go again.beat(w, "")
		defer again.stopBeat()
	}
	group.Wait()
	s.stopBeat()
	held := true
	for n, a := range answers {
		whole := wholeBody(paths[n], a.id)
		switch {
		case a.err != nil || a.status >= 300:
			w.logf("%s: %s: no success", paths[n], a.id)
			held = held && trouble
		case a.body != whole:
			held = false
			w.logf("broken: %s: %s: status %d, signed %v, a complete response with %d of the %d bytes of the backend server's body", paths[n], a.id, a.status, a.signed, len(a.body), len(whole))
		default:
			w.logf("%s: %s: whole body", paths[n], a.id)
		}
	}
	if raw, err := os.ReadFile(spec.Log); err == nil {
		for line := range strings.Lines(string(raw)) {
			w.logf("backend server's log: %s", strings.TrimSpace(line))
		}
	}
	return held, nil
}

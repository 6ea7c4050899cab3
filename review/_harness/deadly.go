package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// deadlyBody is the body of the request that ends each backend server that runs it.
const deadlyBody = "deadly"

// backTime is how long a backend server is gone after that.
const backTime = 3 * time.Second

// fleetServers are backend servers that end when they run a deadly request, and come back under another id.
type fleetServers struct {
	w  *world
	mu sync.Mutex
	// hits are the runs of the deadly request.
	hits []hit
}

type hit struct {
	id string
	at time.Time
}

// start runs the backend server at an address, again and again.
func (f *fleetServers) start(address string) error {
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	ended := make(chan struct{})
	s := &server{id: f.w.id("i-"), service: "alpha", address: address, logf: f.w.logf}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	s.handle = func(s *server, c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("Request-Id")
		if string(body) != deadlyBody {
			time.Sleep(20 * time.Millisecond)
			return reply(c, id, http.StatusOK, "", "ok")
		}
		f.mu.Lock()
		f.hits = append(f.hits, hit{id, time.Now()})
		f.w.logf("server %s runs %s and crashes; run %d of the deadly request", s.id, id, len(f.hits))
		f.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		s.stopBeat()
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for open := range conns {
			open.Close()
		}
		select {
		case <-ended:
		default:
			close(ended)
		}
		return false
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[c] = true
			mu.Unlock()
			go func() {
				s.serve(c)
				mu.Lock()
				delete(conns, c)
				mu.Unlock()
			}()
		}
	}()
	go s.beat(f.w, "")
	go func() {
		<-ended
		// Its entry expires after three heartbeats of silence; here it is removed as soon as its successor is there.
		time.Sleep(backTime)
		f.w.put("keyed.servers", s.id, nil)
		if err := f.start(address); err != nil {
			f.w.logf("%v", err)
		}
	}()
	return nil
}

// deadlyCase has a request come again and again that ends each backend server that runs it. All entries are killed at the same moment and start again.
// Three runs show what the request does; from contact_ms after the third on, machines in touch may send it three times more at most.
func deadlyCase(w *world, trouble bool) (bool, error) {
	const entries = 3
	w.put("keyed.op", "config", configuration(7, []map[string]any{
		route("r-a", "/a/", "safe", "alpha", map[string]any{"timeout_ms": 5000, "max_attempts": 2}),
	}, plainService("alpha")))
	f := &fleetServers{w: w}
	for n := range 10 {
		if err := f.start(fmt.Sprintf("%s%d:8080", w.prefix, 100+n)); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(entries); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				group.Go(func() {
					w.ask(w.entries[n%entries], http.MethodPost, "/a/1", map[string]string{"Request-Id": w.id("q"), "Deadline-Ms": "5000"}, fmt.Sprint("ordinary ", n), 6*time.Second)
				})
			}
		}
	})
	sent := map[string]time.Time{}
	// round has three callers send the request, each to another entry, one after the other.
	round := func() {
		for n := range entries {
			id := w.id("d")
			sent[id] = time.Now()
			w.ask(w.entries[n], http.MethodPost, "/a/7", map[string]string{"Request-Id": id, "Deadline-Ms": "5000"}, deadlyBody, 6*time.Second)
			time.Sleep(200 * time.Millisecond)
		}
	}
	var started time.Time
	for n := range 8 {
		began := time.Now()
		round()
		if n == 2 && trouble {
			if err := w.killAll(300 * time.Millisecond); err != nil {
				return false, err
			}
			started = time.Now()
		}
		time.Sleep(time.Until(began.Add(6500 * time.Millisecond)))
	}
	close(stop)
	group.Wait()

	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.hits) < 3 {
		return true, nil
	}
	third := f.hits[2].at
	runs, retries := 0, map[string]bool{}
	for _, h := range f.hits[3:] {
		at := sent[h.id]
		inTouch := started.IsZero() || at.Before(started.Add(-time.Second)) || at.After(started.Add(contactTime+margin))
		if at.After(third.Add(contactTime)) && inTouch {
			runs++
			retries[h.id] = true
			w.logf("counted: %s, sent %.3f s after the third crash, reached a backend server", h.id, at.Sub(third).Seconds())
		}
	}
	w.logf("%d runs in %d retries of clients, later than contact_ms after the third crash and by machines in touch; three are allowed", runs, len(retries))
	fmt.Printf("runs %d, retries %d\n", runs, len(retries))
	return len(retries) <= 3, nil
}

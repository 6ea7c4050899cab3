package node_test

import (
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
)

const (
	// guiltyPart is the part of a prompt that ends each backend server which begins to write an answer on it.
	guiltyPart = "bad0"
	// contactTime is the time after which entries know what the others know.
	contactTime = 3 * time.Second
	// crashesKnown is how many backend servers may end before the part must be known, and sendsAllowed how often it may
	// be sent later than contactTime after that.
	crashesKnown = 5
	sendsAllowed = 3
	// crashedTime is how long it takes until a backend server that has ended is replaced.
	crashedTime = 1500 * time.Millisecond
	// prefillTime is how long a backend server reads a prompt before it begins to write.
	prefillTime = 20 * time.Millisecond
)

// crashing is a fleet whose backend servers end with all their runs when they begin to write an answer on guiltyPart.
type crashing struct {
	*fleet
	// sends are the times at which backend servers got requests with the part, ends those at which they ended.
	sends, ends []time.Time
	started     atomic.Int32
}

func newCrashing(t *testing.T, entries, servers int) *crashing {
	f := &crashing{fleet: prepareFleet(t)}
	f.events, f.interval = 20, 10*time.Millisecond
	f.configure(1, "/letters/")
	for range servers {
		f.startServer()
	}
	f.startEntries(entries)
	for _, e := range f.entries {
		f.g.Eventually(func() string { return f.page("http://" + e.settings.MetricsAddress) }, timeout).Should(ContainSubstring(fmt.Sprintf("sardinerock_peers_live %d\n", entries)))
	}
	return f
}

// page returns the metrics of an entry.
func (f *crashing) page(url string) string {
	resp, err := http.Get(url + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}

// startServer registers a backend server with an id of its own.
func (f *crashing) startServer() {
	id := fmt.Sprint("i-", f.started.Add(1))
	var s *httptest.Server
	var end sync.Once
	ended := make(chan struct{})
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Request-Id")
		guilty := strings.Contains(r.Header.Get("Prompt-Prefix"), guiltyPart+":")
		f.mu.Lock()
		f.runs[request]++
		if guilty {
			f.sends = append(f.sends, time.Now())
		}
		f.mu.Unlock()
		w.Header().Set("Request-Id", request)
		w.Header().Set("Response-Signature", "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(prefillTime):
		case <-ended:
			panic(http.ErrAbortHandler)
		}
		if guilty {
			time.Sleep(2 * prefillTime)
			end.Do(func() { go f.end(s, id, ended) })
			<-ended
			panic(http.ErrAbortHandler)
		}
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := first + 1; i <= f.events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, request, i)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-ended:
				panic(http.ErrAbortHandler)
			case <-time.After(f.interval):
			}
		}
	}))
	f.t.Cleanup(s.CloseClientConnections)
	f.put(serversTopic, id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":8,"state":"ready","sequence":1,"born":1767225600001}`, s.Listener.Addr()))
}

// end ends a backend server; another one replaces it later.
func (f *crashing) end(s *httptest.Server, id string, ended chan struct{}) {
	f.mu.Lock()
	f.ends = append(f.ends, time.Now())
	f.mu.Unlock()
	_ = s.Listener.Close()
	close(ended)
	s.CloseClientConnections()
	time.Sleep(crashedTime)
	if _, err := f.store.Append(f.t.Context(), serversTopic, []sardinerock.StoreRecord{{Key: id}}); err != nil {
		return
	}
	f.startServer()
}

// request sends a request with a prompt and returns whether it was answered to the end.
func (f *crashing) request(e *entry, id, prompt string) bool {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.settings.CallerAddress+"/letters/"+id, strings.NewReader(id))
	if err != nil {
		return false
	}
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "2000")
	r.Header.Set("Prompt-Prefix", prompt)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// ended returns how many backend servers have ended.
func (f *crashing) ended() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ends)
}

// sentLate returns how many requests with the part were sent later than contactTime after the fifth end.
func (f *crashing) sentLate() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ends) < crashesKnown {
		return 0
	}
	late := 0
	for _, at := range f.sends {
		if at.Sub(f.ends[crashesKnown-1]) > contactTime {
			late++
		}
	}
	return late
}

// TestPromptPartIsContainedOverEntries guards against a part of prompts that ends backend servers reaching more of them
// through each entry, and against requests that share their other parts being rejected with it.
func TestPromptPartIsContainedOverEntries(t *testing.T) {
	t.Parallel()
	f := newCrashing(t, 3, 12)
	const (
		calm     = 2 * time.Second
		length   = 14 * time.Second
		interval = 20 * time.Millisecond
		// guiltyEvery is the number of sound requests to one with the part.
		guiltyEvery = 5
	)
	var group sync.WaitGroup
	var served, sent [3]atomic.Int32
	random := rand.New(rand.NewPCG(1, 1))
	begin := time.Now()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; time.Since(begin) < length; n++ {
		<-ticker.C
		e, soundEntry := f.entries[random.IntN(len(f.entries))], f.entries[random.IntN(len(f.entries))]
		if n%guiltyEvery == 0 && time.Since(begin) > calm {
			group.Go(func() { f.request(e, fmt.Sprint("guilty-", n), fmt.Sprintf("a:100,%s:100,b%d:50", guiltyPart, n)) })
		}
		// Half of the sound requests have the same first part.
		prompt, phase := fmt.Sprintf("a:100,c%d:100,d%d:50", n%16, n), 0
		if n%2 == 0 {
			prompt = fmt.Sprintf("e:100,c%d:100,d%d:50", n%16, n)
		}
		if at := time.Since(begin); at > calm {
			phase = 1
			if at > calm+2*contactTime+time.Second {
				phase = 2
			}
		}
		sent[phase].Add(1)
		group.Go(func() {
			if f.request(soundEntry, fmt.Sprint("sound-", n), prompt) {
				served[phase].Add(1)
			}
		})
	}
	group.Wait()
	share := func(phase int) float64 { return float64(served[phase].Load()) / float64(sent[phase].Load()) }
	t.Logf("%d backend servers ended; %d requests were sent late; served before %.2f, at first %.2f, later %.2f", f.ended(), f.sentLate(), share(0), share(1), share(2))
	f.g.Expect(f.ended()).To(BeNumerically(">=", 3))
	f.g.Expect(f.sentLate()).To(BeNumerically("<=", sendsAllowed))
	f.g.Expect(share(2)).To(BeNumerically(">=", share(0)/2))
}

// TestItemsWithPromptPartWaitAndOthersAreDone guards against items with a part of the prompt that ends backend servers
// ending one after the other, being listed as failed, or delaying the other items of their job.
func TestItemsWithPromptPartWaitAndOthersAreDone(t *testing.T) {
	t.Parallel()
	f := newCrashing(t, 3, 12)
	const items, guiltyEvery = 60, 5
	f.put(configTopic, "config", `{"version":9,"routes":[{"name":"b","host":"h","path_prefix":"/batch/","kind":"batch",
		"service":"s","max_attempts":3,"completion_target_ms":18000,"retention_s":60,"max_count":1000}]}`)
	var list []string
	sound := map[string]bool{}
	for n := range items {
		id, part := fmt.Sprint("item", n), fmt.Sprint("c", n%4)
		if n%guiltyEvery == 0 {
			part = guiltyPart
		} else {
			sound[id] = true
		}
		list = append(list, fmt.Sprintf(`{"id":%q,"path":"/batch/x/%d","headers":{"Model":"m","Prompt-Prefix":"a:100,%s:100,b%d:50"},"body":%q,"tokens":1}`,
			id, n, part, n, base64.StdEncoding.EncodeToString([]byte(id))))
	}
	f.g.Eventually(func() int {
		status, _ := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", `{"items":[`+strings.Join(list, ",")+`]}`)
		return status
	}, timeout).Should(Equal(http.StatusAccepted))
	done := func() int { return len(f.results(f.entries[0], "job1", 0).Results) }
	f.g.Eventually(done, 15*time.Second).Should(Equal(len(sound)), "the items without the part")
	time.Sleep(contactTime)
	for _, r := range f.results(f.entries[0], "job1", 0).Results {
		f.g.Expect(sound[r.ID]).To(BeTrue(), "%s is listed", r.ID)
		f.g.Expect(r.State).To(Equal("succeeded"))
	}
	t.Logf("%d backend servers ended", f.ended())
	f.g.Expect(f.sentLate()).To(BeNumerically("<=", sendsAllowed))
}

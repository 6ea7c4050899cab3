package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

var (
	parts   = flag.Bool("parts", true, "send requests, no two alike, of which one part of the prompt ends engines")
	crowded = flag.Bool("crowded", true, "let all callers connect to the same entry at times")
)

const (
	// guiltyPart is the part of prompts that ends each engine which begins to write an answer on it.
	guiltyPart = "bad0"
	// partInterval is the time between two requests with it, and soundInterval the time between two that share
	// other parts.
	partInterval  = 150 * time.Millisecond
	soundInterval = 40 * time.Millisecond
	// soundCallers is the number of callers of the latter.
	soundCallers = 3
	// firstParts and secondParts are the numbers of parts in the first and the second place.
	firstParts, secondParts = 3, 7
	// crowdedTime is how long all callers connect to the same entry.
	crowdedTime = 1500 * time.Millisecond
)

// promptParts is what callers of requests with prompts have seen.
type promptParts struct {
	mu sync.Mutex
	// runs are the times at which engines began to run requests with the guilty part.
	runs []time.Time
	// settled is when all entries must know the part; zero before. sent and begun count the sound requests since then.
	settled     time.Time
	sent, begun int
	jobs        []string
}

// guilty reports whether a request ends its engine, and counts it.
func (p *promptParts) guilty(r *http.Request) bool {
	if !strings.Contains(r.Header.Get("Prompt-Prefix"), guiltyPart+":") {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, time.Now())
	return true
}

// settle is called once all entries must know the part.
func (p *promptParts) settle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = time.Now()
}

// record records the first attempt of a sound request.
func (p *promptParts) record(begun bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settled.IsZero() {
		return
	}
	p.sent++
	if begun {
		p.begun++
	}
}

// prompted returns the headers of a request with a prompt.
func (s *soak) prompted(prompt string) map[string]string {
	h := s.header()
	h["Prompt-Prefix"] = prompt
	return h
}

// sendPrompts starts the callers of requests with prompts.
func (s *soak) sendPrompts() {
	if !*parts {
		return
	}
	s.callers.Add(3 + soundCallers)
	go s.sendGuiltyParts("resumable")
	go s.sendGuiltyParts("once")
	go s.submitPartJob()
	for n := range soundCallers {
		go s.sendSoundParts(n)
	}
}

// sendGuiltyParts is a caller whose requests have nothing in common but a part of the prompt that ends engines.
func (s *soak) sendGuiltyParts(route string) {
	defer s.callers.Done()
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{}}
	time.Sleep(contactTime)
	for i := 0; s.running(); i++ {
		id := fmt.Sprintf("part-%s-%d", route, i)
		send(client, http.MethodPost, s.entry(i).frontAddress, "/"+route+"/"+id, id, id, s.prompted(fmt.Sprintf("p%d:100,%s:100,%s:50", i%firstParts, guiltyPart, id)))
		time.Sleep(partInterval)
	}
}

// sendSoundParts is a caller whose requests share their first and second parts with others.
func (s *soak) sendSoundParts(n int) {
	defer s.callers.Done()
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{}}
	for i := 0; s.running(); i++ {
		id := fmt.Sprintf("resumable-sound-%d-%d", n, i)
		status, body := send(client, http.MethodPost, s.entry(n+i).frontAddress, "/resumable/"+id, id, id, s.prompted(fmt.Sprintf("p%d:100,q%d:100,%s:50", i%firstParts, i%secondParts, id)))
		s.parts.record(status == http.StatusOK)
		if body = s.plainText(id, body); status == http.StatusOK && body != expectedStream(id) && !s.runs.wasCut(id) {
			s.t.Errorf("%s: answer ended regularly, but is incomplete or wrong: %q", id, body)
		}
		time.Sleep(soundInterval)
	}
}

// submitPartJob submits a job with an item that has the guilty part, until it is accepted.
func (s *soak) submitPartJob() {
	defer s.callers.Done()
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	time.Sleep(contactTime)
	const job = "partjob-0"
	var items []string
	for n, part := range []string{"q1", guiltyPart, "q2"} {
		items = append(items, fmt.Sprintf(`{"id":"%s-%d","path":"/batch/x","headers":{"Model":"batch","Prompt-Prefix":"p1:100,%s:100,%s-%d:50"},"body":"YQ==","tokens":1}`, job, n, part, job, n))
	}
	for i := 0; s.running(); i++ {
		status, _ := send(client, http.MethodPost, s.entry(i).frontAddress, "/batch/j", job, `{"items":[`+strings.Join(items, ",")+`]}`, s.header())
		if status == http.StatusAccepted {
			s.parts.mu.Lock()
			s.parts.jobs = append(s.parts.jobs, job)
			s.parts.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// crowd lets all callers connect to one entry for a while, at random times.
func (s *soak) crowd(random *rand.Rand) {
	if !*crowded || random.IntN(5) > 0 {
		return
	}
	n := random.IntN(len(s.entries))
	s.faults = append(s.faults, fmt.Sprint("all callers at ", s.entries[n].name))
	s.onlyEntry.Store(int32(n + 1))
	time.AfterFunc(crowdedTime, func() { s.onlyEntry.CompareAndSwap(int32(n+1), 0) })
}

// expectPartContained checks that the guilty part reached few engines once all entries had to know it, that requests
// with the same first parts were served meanwhile, and that the other items of its job are done.
func (s *soak) expectPartContained() {
	p := &s.parts
	p.mu.Lock()
	late := 0
	for _, at := range p.runs {
		if at.After(p.settled) {
			late++
		}
	}
	runs, sent, begun, jobs := len(p.runs), p.sent, p.begun, p.jobs
	p.mu.Unlock()
	s.t.Logf("%d runs with the guilty part, %d of them once it had to be known; %d of %d others with the same first parts served then", runs, late, begun, sent)
	if late > crashRetries {
		s.fail("requests with a part that ends engines reached %d once it had to be known, want at most %d", late, crashRetries)
	}
	if sent >= minResumptions && 2*begun < sent {
		s.fail("%d of %d sound requests with the same first parts were served", begun, sent)
	}
	for _, job := range jobs {
		for end := time.Now().Add(recoveryTimeout); ; time.Sleep(100 * time.Millisecond) {
			l, _ := s.list(s.entries[0], job)
			for _, r := range l.Results {
				if r.State != "succeeded" {
					s.fail("%s: item %s: state %s", job, r.ID, r.State)
				}
			}
			if len(l.Results) >= 2 {
				break
			}
			if time.Now().After(end) {
				s.fail("%s: %d of 2 items without the part are done", job, len(l.Results))
			}
		}
	}
}

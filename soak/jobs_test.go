package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// submitJobs is a caller that submits one job after another, each up to four times at
// different entries until it is accepted.
func (s *soak) submitJobs(n int) {
	defer s.callers.Done()
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; s.running(); i++ {
		job := fmt.Sprintf("job-%d-%d", n, i)
		var items []string
		names := []string{"-0", "-1", "-2"}
		if i%2 == 1 {
			names[2] = failing
		}
		for _, name := range names {
			items = append(items, fmt.Sprintf(`{"id":"%s%s","path":"/batch/x","headers":{"Model":"batch"},"body":"YQ==","tokens":1}`, job, name))
		}
		body := `{"items":[` + strings.Join(items, ",") + `]}`
		accepted, onlyRejected := false, true
		for try := range 4 {
			status, _ := send(client, http.MethodPost, s.entry(n+i+try).frontAddress, "/batch/j", job, body, s.header())
			if accepted = status == http.StatusAccepted; accepted {
				break
			}
			onlyRejected = onlyRejected && status == http.StatusServiceUnavailable
			time.Sleep(200 * time.Millisecond)
		}
		s.mu.Lock()
		if accepted {
			s.jobs = append(s.jobs, job)
		}
		s.mu.Unlock()
		if !accepted && onlyRejected && s.runs.count(job+"-0") > 0 {
			s.t.Errorf("%s was rejected at every try, but ran", job)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

type listing struct {
	Total   int
	Results []struct{ ID, State, Text string }
}

func (s *soak) list(p *process, job string) (listing, int) {
	var l listing
	status, body := send(http.DefaultClient, http.MethodGet, p.frontAddress, "/v1/lots/"+job, "read", "", s.header())
	if status == http.StatusOK {
		s.must(json.Unmarshal([]byte(body), &l))
	}
	return l, status
}

// expectJobs waits until all accepted jobs are done and checks that every entry lists the
// same results.
func (s *soak) expectJobs() {
	end := time.Now().Add(recoveryTimeout)
	for _, job := range s.jobs {
		for {
			l, status := s.list(s.entries[0], job)
			if status == http.StatusNotFound {
				s.fail("%s was accepted, but isn't found", job)
			}
			if status == http.StatusOK && len(l.Results) == l.Total {
				s.expectResults(job, l)
				break
			}
			if time.Now().After(end) {
				s.fail("%s isn't done in time: %v of %d results", job, len(l.Results), l.Total)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (s *soak) expectResults(job string, first listing) {
	seen := map[string]bool{}
	for _, r := range first.Results {
		r.Text = s.plainText(r.ID, r.Text)
		state, text := "succeeded", expectedText(r.ID)
		if fails(r.ID) {
			state, text = "dead_letter", ""
		}
		if seen[r.ID] || r.State != state || r.Text != text {
			s.fail("%s: item %s: listed twice: %v, state %s, text %q", job, r.ID, seen[r.ID], r.State, r.Text)
		}
		seen[r.ID] = true
	}
	for _, p := range s.entries[1:] {
		for end := time.Now().Add(recoveryTimeout); ; time.Sleep(50 * time.Millisecond) {
			l, _ := s.list(p, job)
			if fmt.Sprint(l) == fmt.Sprint(first) {
				break
			}
			if time.Now().After(end) {
				s.fail("%s: %s lists %v, another entry %v", job, p.name, l, first)
			}
		}
	}
}

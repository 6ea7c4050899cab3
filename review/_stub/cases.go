package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// cases holds the scripts by name.
var cases = map[string]func(w *world){
	"owners-killed": ownersKilled,
	"route-added":   routeAdded,
	"route-removed": routeRemoved,
	"smuggled":      smuggled,
}

const (
	batchPrefix = "/pule252/"
	configApply = 2000 * time.Millisecond
	finish      = 18 * time.Second
)

func jobItems(job string, count int) []item {
	items := make([]item, count)
	for n := range items {
		items[n] = newItem(fmt.Sprintf("%s-i%d", job, n), fmt.Sprintf("%s3/%d", batchPrefix, n))
	}
	return items
}

// routeRemoved removes a batch route after one job on it was done and while another one is open, and reads both again
// within status_s.
func routeRemoved(w *world) {
	w.configure(1, streamRoute(), batchRoute("r-batch", batchPrefix))
	w.startWorker("i-7f3a91c2", models, 100*time.Millisecond)
	w.startWorker("i-02d9e6b4", models, 100*time.Millisecond)
	w.startEntries(2)
	const done, open, openItems = "7c41e09b52d6a3f8", "91d86acea8eccc98", 60
	if !w.submit(w.entries[0], batchPrefix+done[:6], done, jobItems(done, 4)...) {
		fail("the job wasn't accepted")
	}
	if page := w.awaitResults(w.entries[1], done, 4, 20*time.Second); len(page.Results) != 4 {
		fail("the job isn't done after 20 s")
	}
	if !w.submit(w.entries[1], batchPrefix+open[:6], open, jobItems(open, openItems)...) {
		fail("the job wasn't accepted")
	}
	if w.trouble {
		w.configure(4, streamRoute())
	} else {
		w.configure(4, streamRoute(), batchRoute("r-batch", batchPrefix))
	}
	time.Sleep(configApply + time.Second)
	for range 5 {
		for _, e := range w.entries {
			for _, job := range []string{done, open} {
				status, page := w.read(e, job)
				switch {
				case status == http.StatusNotFound || status == http.StatusGone:
					w.broke("LOST: %s answers %d for batch job %s, which was accepted", e.name, status, job)
				case status == http.StatusOK && job == done && len(page.Results) != 4:
					w.broke("LOST: %s has %d results of batch job %s; 4 had been read", e.name, len(page.Results), job)
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// ownersKilled kills three processes one after the other, each while it runs the items of a batch job on which no
// worker has written yet. Each one starts again after 2 s.
func ownersKilled(w *world) {
	w.configure(1, streamRoute(), batchRoute("r-batch", batchPrefix))
	w.startWorker("i-7f3a91c2", models, time.Second)
	w.startWorker("i-02d9e6b4", models, time.Second)
	w.startEntries(3)
	const job = "7c41e09b52d6a3f8"
	const count = 4
	if !w.submit(w.entries[0], batchPrefix+job[:6], job, jobItems(job, count)...) {
		fail("the job wasn't accepted")
	}
	if w.trouble {
		for n := range 3 {
			e := w.awaitItemsAt(w.entries, job, (n+1)*count, 15*time.Second)
			if e == nil {
				fail("the items didn't reach a worker once more")
			}
			time.Sleep(300 * time.Millisecond)
			w.note("fault %d: the process that runs the items is killed", n+1)
			w.kill(e)
			time.Sleep(2 * time.Second)
			w.start(e)
			w.awaitReady(e)
		}
	}
	calm := time.Now()
	w.note("no disruption from here on")
	page := w.awaitResults(w.entries[0], job, count, finish+7*time.Second)
	runs := w.allRuns()
	idle, busy := time.Since(runs[len(runs)-1].at), 0
	for _, k := range w.workers {
		busy += k.busy()
	}
	w.note("calm for %.1f s; %d of %d items are listed; the last item reached a worker %.1f s ago; workers have %d requests", time.Since(calm).Seconds(), len(page.Results), count, idle.Seconds(), busy)
	if len(page.Results) < count && idle > 5*time.Second && busy == 0 {
		w.broke("LOST: %d items of batch job %s are listed neither as succeeded nor as dead_letter", count-len(page.Results), job)
	}
	for _, r := range page.Results {
		if r.State == "succeeded" && r.Text != itemText(r.ID) {
			w.broke("MIXED: item %s has another text", r.ID)
		}
	}
}

// routeAdded adds a batch route while the connections of one entry to the store have gone silent, and hands in jobs
// on it at the other entry.
func routeAdded(w *world) {
	w.configure(1, streamRoute())
	w.startWorker("i-7f3a91c2", models, 100*time.Millisecond)
	w.startWorker("i-02d9e6b4", models, 100*time.Millisecond)
	w.startEntries(2)
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.entries[1].proxy.silence()
		w.note("the connections of %s to the store go silent; new ones work", w.entries[1].name)
	}
	w.configure(3, streamRoute(), batchRoute("r-batch", batchPrefix))
	time.Sleep(100 * time.Millisecond)
	const count = 4
	var jobs []string
	for n := range 6 {
		job := fmt.Sprintf("7c41e09b52d6a3%02x", n)
		if !w.submit(w.entries[0], batchPrefix+job[:6], job, jobItems(job, count)...) {
			fail("the job wasn't accepted")
		}
		jobs = append(jobs, job)
	}
	for _, job := range jobs {
		for _, r := range w.awaitResults(w.entries[0], job, count, 20*time.Second).Results {
			switch {
			case r.State == "dead_letter":
				w.broke("MIXED: item %s is a dead_letter; no worker had it, its route and its batch job are there, and it is seconds old", r.ID)
			case r.Text != itemText(r.ID):
				w.broke("MIXED: item %s has another text", r.ID)
			}
		}
	}
}

// smuggled hands in an item whose path holds a second request.
func smuggled(w *world) {
	w.configure(1, streamRoute(), batchRoute("r-batch", batchPrefix))
	w.startWorker("i-7f3a91c2", models, 100*time.Millisecond)
	w.startEntries(2)
	const job = "7c41e09b52d6a3f8"
	items := jobItems(job, 2)
	if w.trouble {
		items[1].Path = strings.Join([]string{
			batchPrefix + "3/1 HTTP/1.1", "Host: " + host, "Request-Id: " + items[1].ID, "Content-Length: 0", "",
			"POST /pufi791/of-another HTTP/1.1", "Host: " + host, "Request-Id: 0123456789abcdef", "Content-Length: 0", "", "GET /health",
		}, "\r\n")
	}
	w.submit(w.entries[0], batchPrefix+job[:6], job, items...)
	time.Sleep(6 * time.Second)
	w.read(w.entries[0], job)
	sent := map[string]bool{items[0].ID: true, items[1].ID: true}
	for _, r := range w.allRuns() {
		if !sent[r.id] {
			w.broke("UNASKED: worker %s runs %s, %s; no client sent a request with this id", r.worker, r.id, r.target)
		}
	}
}

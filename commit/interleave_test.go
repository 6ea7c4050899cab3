package commit

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/memkv"
	"github.com/sardinerock/sardinerock/watch"
)

// interleavings is the number of random runs; "make interleavings" runs a million.
var interleavings = flag.Int("interleavings", 10_000, "random runs")

const (
	jobsTopic = "jobs"
	workTopic = "work"
	// testPartitions is the number of partitions that the texts are distributed over.
	testPartitions = 2
)

var testTexts = blobs.Topics{Bodies: "bodies", Results: "results", Progress: "progress"}

// singleAttempt returns a context with which texts are written without retries. A text that
// couldn't be written isn't referenced.
func singleAttempt() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// testEntry is an entry without a network. The test triggers each of its steps.
type testEntry struct {
	*Appender
	work  *Appender
	texts *blobs.Client
	// batch holds the pending changes of jobs, workBatch those of items.
	batch, workBatch []*pendingChange
}

// submission is a submitted change with the answer that its caller receives.
type submission struct {
	description string
	pending     *pendingChange
	cancel      context.CancelFunc
}

type interleaving struct {
	r           *rand.Rand
	store       *memkv.Store
	entries     []*testEntry
	submissions []*submission
	changes     int
	faultless   bool
}

const testQuota = 40

// fullText is the text of each item's result. Prefixes of it are recorded as progress.
const fullText = "abcd"

func newInterleaving(seed uint64) *interleaving {
	run := &interleaving{r: rand.New(rand.NewPCG(seed, 1))}
	run.store = &memkv.Store{PageSize: 1, Fault: run.fault}
	for range 3 {
		run.entries = append(run.entries, newTestEntry(run.store))
	}
	return run
}

func newTestEntry(store sardinerock.Store) *testEntry {
	events := &event.Logger{}
	l := &ledger.Ledger{Events: events}
	l.Prepare()
	appender := func(topic string, apply func([]sardinerock.StoreRecord, bool)) *Appender {
		f := &watch.Follower{Store: store, Topic: topic, Apply: apply, Events: events, WriteOnce: writers.Add(1)%2 == 0}
		f.Prepare()
		a := &Appender{Store: store, Topic: topic, Follower: f, Ledger: l, RecordBytes: 1000, AppendBytes: 4000, Events: events, Metrics: metrics.NewRegistry()}
		a.Prepare()
		return a
	}
	e := &testEntry{Appender: appender(jobsTopic, l.ApplyJobs), work: appender(workTopic, l.ApplyWork)}
	e.texts = &blobs.Client{
		Store: store, Topics: testTexts, Partitions: testPartitions, RecordBytes: 1000, AppendBytes: 4000,
		Events: events, Metrics: metrics.NewRegistry(),
	}
	e.work.Writer = "w" + strconv.FormatInt(writers.Add(1), 10)
	return e
}

// writers counts the entries and followers created so far. It gives each entry a unique writer
// name.
var writers atomic.Int64

// fault returns a random fault for a call of the store.
func (run *interleaving) fault(string, string) memkv.Fault {
	if run.faultless {
		return memkv.NoFault
	}
	return []memkv.Fault{
		memkv.NoFault, memkv.NoFault, memkv.NoFault, memkv.NoFault,
		memkv.Reject, memkv.LoseResponse, memkv.LoseRequest, memkv.DelayAppend,
	}[run.r.IntN(8)]
}

func (run *interleaving) submit(e *testEntry, description string, change Change) {
	ctx, cancel := context.WithCancel(context.Background())
	run.changes++
	pending := &pendingChange{ctx: ctx, change: change, answer: make(chan result, 1), uncertainAt: -1, sequence: run.changes}
	if kind, _, _ := strings.Cut(description, " "); kind == "accept" || kind == "end" {
		e.batch = append(e.batch, pending)
	} else {
		e.workBatch = append(e.workBatch, pending)
	}
	run.submissions = append(run.submissions, &submission{description: description, pending: pending, cancel: cancel})
}

// step makes one random step at one random entry.
func (run *interleaving) step() {
	e := run.entries[run.r.IntN(len(run.entries))]
	job := fmt.Sprint("j", run.r.IntN(4))
	switch run.r.IntN(10) {
	case 0, 1:
		run.accept(e, job)
	case 2, 8, 9:
		index := run.r.IntN(2)
		if n := 1 + run.r.IntN(len(fullText)); n < len(fullText) {
			// A failed write isn't retried; a later step may write the progress.
			_ = e.texts.WriteProgress(singleAttempt(), job, map[int]blobs.Progress{index: {Position: sardinerock.Position{LastEvent: fmt.Sprint(n), Origin: sardinerock.Origin{Service: "s"}}, Text: fullText[:n]}}, nil)
			break
		}
		run.finish(e, job, index)
	case 3:
		run.submit(e, "end "+job, func(p *ledger.Plan) (ledger.Verdict, error) { return p.End(job) })
	case 4:
		run.store.ApplyDelayed()
	case 5:
		if len(run.submissions) > 0 {
			run.submissions[run.r.IntN(len(run.submissions))].cancel()
		}
	case 6:
		// A failed read is repeated by the next step.
		_ = e.Follower.Sync(context.Background())
		switch run.r.IntN(8) {
		case 0:
			run.store.Compact(jobsTopic)
		case 1:
			run.store.Compact(workTopic)
		case 2:
			for _, topic := range []string{testTexts.Bodies, testTexts.Results, testTexts.Progress} {
				run.store.Compact(sardinerock.PartitionName(topic, run.r.IntN(testPartitions)))
			}
		}
	case 7:
		// The entry is killed and restarted: its callers receive no answer.
		if run.r.IntN(2) == 0 {
			i := run.r.IntN(len(run.entries))
			run.entries[i] = newTestEntry(run.store)
		}
	}
	run.attempt(e)
}

// accept adds a job like the entry that receives it: its items are written first. If that fails,
// the caller is rejected.
func (run *interleaving) accept(e *testEntry, job string) {
	accepted := interleavedJob(job)
	bodies, err := e.texts.WriteItems(singleAttempt(), job, interleavedItems(job))
	if err != nil {
		run.submit(e, "accept "+job, nil)
		pending := run.submissions[len(run.submissions)-1].pending
		pending.answer <- result{ledger.Stale, sardinerock.ErrStoreRefused}
		e.batch = e.batch[:len(e.batch)-1]
		return
	}
	accepted.Bodies = bodies
	run.submit(e, "accept "+job, func(p *ledger.Plan) (ledger.Verdict, error) { return p.Accept(accepted, testQuota) })
}

// finish records a result after its text.
func (run *interleaving) finish(e *testEntry, job string, index int) {
	text, err := e.texts.WriteResult(singleAttempt(), job, index, fullText)
	if err != nil {
		return
	}
	run.submit(e, "finish "+job, func(p *ledger.Plan) (ledger.Verdict, error) {
		return p.Finish(job, index, &ledger.Outcome{Item: fmt.Sprint(job, index), Succeeded: true, Text: text})
	})
}

func (run *interleaving) attempt(e *testEntry) {
	ctx := context.Background()
	if !e.Ledger.Loaded() {
		_ = e.Follower.Sync(ctx)
		_ = e.work.Follower.Sync(ctx)
	}
	e.batch, _ = e.attempt(ctx, e.batch)
	e.workBatch, _ = e.work.attempt(ctx, e.workBatch)
	_ = e.Follower.Sync(ctx)
	_ = e.work.Follower.Sync(ctx)
}

func interleavedJob(id string) *ledger.Accepted {
	return &ledger.Accepted{ID: id, Route: "r", Digest: 1, Tokens: []int64{10, 10}}
}

func interleavedItems(id string) []sardinerock.BatchItem {
	return []sardinerock.BatchItem{{ID: id + "0", Path: "/", Tokens: 10}, {ID: id + "1", Path: "/", Tokens: 10}}
}

// TestInterleavings makes random steps of three entries against a store that rejects, loses and
// delays calls. In the end every entry's state must agree with the answers that callers received:
// accepted jobs exist, rejected ones never appear, each result has one position, the quota is
// respected.
func TestInterleavings(t *testing.T) {
	for seed := range uint64(*interleavings) {
		if fault := runInterleaving(seed); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
}

func runInterleaving(seed uint64) string {
	run := newInterleaving(seed)
	for range 80 {
		run.step()
	}
	run.faultless = true
	run.store.ApplyDelayed()
	for range 20 {
		for _, e := range run.entries {
			run.attempt(e)
		}
	}
	return run.check()
}

// check compares the answers that callers received with the state that a new entry reads.
func (run *interleaving) check() string {
	newEntry := newTestEntry(run.store)
	if err := errors.Join(newEntry.Follower.Sync(context.Background()), newEntry.work.Follower.Sync(context.Background())); err != nil {
		return err.Error()
	}
	accepted, rejected := map[string]bool{}, map[string]int{}
	attempts := map[string]int{}
	for _, s := range run.submissions {
		var kind, job string
		if _, err := fmt.Sscan(s.description, &kind, &job); err != nil {
			return err.Error()
		}
		if kind != "accept" {
			continue
		}
		attempts[job]++
		select {
		case r := <-s.pending.answer:
			switch {
			case r.err == nil && r.verdict == ledger.Applied:
				accepted[job] = true
			case errors.Is(r.err, sardinerock.ErrStoreRefused), r.err == nil && r.verdict == ledger.OverQuota:
				rejected[job]++
			}
		default:
			// The entry was killed before it answered.
		}
	}
	for n := range 4 {
		job := fmt.Sprint("j", n)
		page, known := newEntry.Ledger.Results(job, 0)
		if accepted[job] && !known {
			return job + " was accepted and doesn't exist"
		}
		if known && rejected[job] == attempts[job] {
			return job + " was rejected at every attempt and exists"
		}
		if fault := newEntry.checkTexts(job, page, known); fault != "" {
			return fault
		}
		for i, e := range run.entries {
			if got, _ := e.Ledger.Results(job, 0); fmt.Sprint(got) != fmt.Sprint(page) {
				return fmt.Sprintf("%s: entry %d reads results %v, a new entry reads %v", job, i, got, page)
			}
		}
	}
	if w := newEntry.Ledger.WaitingTokens(ledger.QuotaKey{Route: "r"}); w < 0 || w > testQuota {
		return fmt.Sprint("waiting tokens out of range: ", w)
	}
	return ""
}

// checkTexts reads the job's values that are stored outside the ledger: its items, the texts of
// its results, and the progress of unfinished items.
func (e *testEntry) checkTexts(job string, page ledger.Page, known bool) string {
	ctx := context.Background()
	if bodies, _ := e.Ledger.Bodies(job); known {
		items, err := e.texts.ReadItems(ctx, job, &bodies)
		if err != nil || fmt.Sprint(items) != fmt.Sprint(interleavedItems(job)) {
			return fmt.Sprintf("%s: items are %v, error %v", job, items, err)
		}
	}
	locations := make([]blobs.Result, len(page.Results))
	for n, r := range page.Results {
		locations[n] = blobs.Result{Index: r.Index, Content: r.Text}
	}
	read, err := e.texts.ReadResults(ctx, job, locations)
	if err != nil {
		return fmt.Sprintf("%s: can't read results: %v", job, err)
	}
	for n, text := range read {
		if text != fullText {
			return fmt.Sprintf("%s: the text of %s is %q", job, page.Results[n].Item, text)
		}
	}
	progress, err := e.texts.ReadProgress(ctx, job)
	if err != nil {
		return fmt.Sprintf("%s: can't read progress: %v", job, err)
	}
	for index, p := range progress {
		if n, _ := strconv.Atoi(p.Position.LastEvent); p.Text != fullText[:n] {
			return fmt.Sprintf("%s: item %d has wrong progress %v", job, index, p)
		}
	}
	return ""
}

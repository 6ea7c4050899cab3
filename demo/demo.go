package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock/client"
	"github.com/sardinerock/sardinerock/engine"
	"github.com/sardinerock/sardinerock/fleet"
	"github.com/sardinerock/sardinerock/trace"
)

// The load of the demo: a few seconds of work for a small fleet.
const (
	items   = 300
	callers = 6
	timeout = 90 * time.Second
	// killAfterItems is how many items are complete when the backend server is killed.
	killAfterItems = items / 4
	pollInterval   = 100 * time.Millisecond
	// retryDelay is the time before a caller retries a rejected request.
	retryDelay = 200 * time.Millisecond
)

// onlineRequest and itemRequest are the patterns of online requests and of the job's items.
var (
	onlineRequest = trace.Line{Prefix: "line", PrefixTokens: 512, PromptTokens: 120, MaxTokens: 64}
	itemRequest   = trace.Line{Prefix: "report", PrefixTokens: 32, PromptTokens: 64, MaxTokens: 64}
)

// Result is printed as JSON in the last line of the demo. Lost counts online
// answers and items that are missing or wrong, Doubled items with two results.
type Result struct {
	OnlineAnswers int `json:"onlineAnswers"`
	BatchItems    int `json:"batchItems"`
	Lost          int `json:"lost"`
	Doubled       int `json:"doubled"`
}

// demo is the state of one run.
type demo struct {
	out    io.Writer
	fleet  *fleet.Fleet
	http   *http.Client
	header trace.Header

	mu      sync.Mutex
	result  Result
	refused int
	slowest time.Duration
}

// Run starts a fleet in this process, sends online requests while a batch job
// runs, kills one backend server meanwhile and prints the results. The error is
// nil only if no answer and no item's result was lost or doubled.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h := trace.HeaderOf(trace.KesslingMarrow)
	h.Entries, h.Sides, h.Services = 2, 4, 1
	d := &demo{out: out, header: h, http: client.NewHTTPClient(2 * callers)}
	d.fleet = &fleet.Fleet{
		Entries: h.Entries, Sides: h.Sides, Services: h.Services, Zones: h.Zones, Seed: 1,
		Bundle: trace.BundleOf(h), Operator: trace.Token(trace.Operator),
		Engine: engine.Knobs{Slots: h.Slots, StepUs: 10000, PrefillTokensPerSecond: 40000, CacheBlocks: 512},
	}
	fmt.Fprintf(out, "Starting %d entries and %d backend servers with model engines on loopback.\n", h.Entries, h.Sides)
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	defer d.fleet.Stop()
	fmt.Fprintln(out, "The first bundle is in effect on all processes: every engine has loaded its model.")
	if err := d.run(ctx); err != nil {
		return err
	}
	return d.report()
}

// client returns a client of the i-th entry that runs, modulo their number.
func (d *demo) client(i int, caller string) *client.Client {
	urls := d.fleet.URLs()
	return &client.Client{URL: urls[i%len(urls)], Token: trace.Token(caller), HTTP: d.http}
}

func (d *demo) run(ctx context.Context) error {
	j, err := makeJob(d.header.Model)
	if err != nil {
		return err
	}
	submitter := d.client(0, "finance")
	accepted, err := submitter.Submit(ctx, j.Key, client.ChatPath, j.Lines.Bytes())
	if err != nil {
		return merry.Prepend(err, "demo: job")
	}
	fmt.Fprintf(d.out, "A batch job of %d items is accepted as %s; %d callers send online requests meanwhile.\n", items, accepted.ID, callers)

	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var senders sync.WaitGroup
	for i := range callers {
		senders.Go(func() { d.sendRequests(ctx, sending, i) })
	}
	finished, err := d.follow(ctx, accepted.ID)
	stopSending()
	senders.Wait()
	if err != nil {
		return err
	}
	v, err := j.Check(ctx, d.client(1, "finance"), finished)
	if err != nil {
		return merry.Prepend(err, "demo: results")
	}
	fmt.Fprintf(d.out, "The job is done. Its results, read from the other entry: %s.\n", v)
	d.result.BatchItems = v.Correct
	d.result.Lost += v.Lost
	d.result.Doubled += v.Duplicated
	return nil
}

func makeJob(model string) (*client.Job, error) {
	j := &client.Job{Key: "demo"}
	for i := range items {
		id := fmt.Sprintf("report-%04d", i)
		if err := j.Add(id, itemRequest.Request(model, id)); err != nil {
			return nil, err
		}
	}
	return j, nil
}

// follow polls the job until it ends, and kills a backend server once killAfterItems items are complete.
func (d *demo) follow(ctx context.Context, id string) (client.Batch, error) {
	killed := false
	for {
		b, err := d.client(0, "finance").Job(ctx, id)
		if err == nil && b.Ended() {
			return b, nil
		}
		if err == nil && !killed && b.RequestCounts.Completed >= killAfterItems {
			killed = true
			d.fleet.KillSide(0)
			fmt.Fprintf(d.out, "After %d items, a backend server and its side are killed; all their connections close.\n", b.RequestCounts.Completed)
		}
		select {
		case <-ctx.Done():
			return b, errors.Join(merry.Errorf("demo: the job did not end in time; %d of %d items are done", b.RequestCounts.Completed, items), err)
		case <-time.After(pollInterval):
		}
	}
}

// sendRequests sends one request after the other until sending ends. It waits for each answer.
func (d *demo) sendRequests(ctx, sending context.Context, caller int) {
	for i := 0; sending.Err() == nil; i++ {
		body := onlineRequest.Request(d.header.Model, fmt.Sprintf("panel-%d-%d", caller, i))
		body.Stream = true
		raw, err := json.Marshal(body)
		if err != nil {
			return
		}
		d.sendWithRetries(ctx, sending, caller+i, raw)
	}
}

// sendWithRetries sends a request until it is answered. It retries rejections
// with the outcome notRun until sending ends, as a caller would.
func (d *demo) sendWithRetries(ctx, sending context.Context, entry int, raw []byte) {
	for {
		a, err := d.client(entry, "supervisors").Stream(ctx, client.ChatPath, raw)
		if err == nil && a.Status != http.StatusOK && a.Outcome == "notRun" {
			d.mu.Lock()
			d.refused++
			d.mu.Unlock()
			select {
			case <-sending.Done():
				return
			case <-time.After(retryDelay):
				continue
			}
		}
		d.recordAnswer(a, err, raw)
		return
	}
}

func (d *demo) recordAnswer(a client.Answer, err error, raw []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil || !a.Complete || a.Text != engine.AnswerText(client.ChatPath, raw) {
		d.result.Lost++
		fmt.Fprintf(d.out, "An online answer is incomplete or wrong: status %d, outcome %q, error %v\n", a.Status, a.Outcome, err)
		return
	}
	d.result.OnlineAnswers++
	d.slowest = max(d.slowest, a.FirstToken)
}

func (d *demo) report() error {
	fmt.Fprintf(d.out, "Online: %d answers, each complete and correct; %d requests rejected as not run and retried; the slowest first token took %d ms.\n",
		d.result.OnlineAnswers, d.refused, d.slowest.Milliseconds())
	line, err := json.Marshal(d.result)
	if err != nil {
		return err
	}
	fmt.Fprintln(d.out, string(line))
	if d.result.Lost > 0 || d.result.Doubled > 0 {
		return merry.Errorf("demo: %d lost, %d doubled", d.result.Lost, d.result.Doubled)
	}
	return nil
}

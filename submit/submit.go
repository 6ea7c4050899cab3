package submit

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/commit"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/intake"
	"github.com/sardinerock/sardinerock/leave"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/watch"
)

const (
	// acceptTimeout is how long the store may take to accept a job whose caller sends no wait
	// time.
	acceptTimeout = 1500 * time.Millisecond
	// firstAttemptShare is the share of a caller's wait time used for the first attempt; the
	// rest is left for a second one at another entry.
	firstAttemptShare = 0.5
	// responseMargin is the part of a caller's wait time reserved for delivering the
	// response.
	responseMargin = 400 * time.Millisecond
	// endTimeout is how long the store may take to end a job.
	endTimeout = 2 * time.Second
	// checkTimeout bounds the read that verifies that a job does not exist.
	checkTimeout = 800 * time.Millisecond
	// storeRetryAfter is the retry delay sent while the store does not respond. It is short:
	// the retried call waits for the store at its entry, and can start waiting only once it
	// has arrived there.
	storeRetryAfter = 100 * time.Millisecond
	// quotaRetryAfter is the retry delay sent when the queued tokens leave no room. An item
	// takes about five seconds, so room becomes available within this time, but hardly
	// sooner.
	quotaRetryAfter = time.Second
	// maxViewShare is the maximum age of the view from which an entry reports that there is
	// no result, as a share of the settle time. The rest covers the delivery of the response
	// that first showed the result, and of this one.
	maxViewShare = 0.6
	// defaultSettleTime applies if the settings have no settle time.
	defaultSettleTime = time.Second
	// blobTimeout bounds the reads of blobs for one response. Callers repeat a call twice a
	// second, and a slow store takes 0.25 s a read.
	blobTimeout = 1500 * time.Millisecond
	// responseBytes limits how much text is read for one response, of which there is at least
	// one result. The dialect has a higher limit of its own.
	responseBytes = 512 << 10
	// readBytesPerByte estimates the memory of reading a value and of its response, for each byte of the value.
	readBytesPerByte = 6
	// maxAcceptTime bounds how long the store may take to accept a job, however long its caller waits: until then the job
	// holds memory.
	maxAcceptTime = 30 * time.Second
	// maxWait bounds how long a read may wait for a result.
	maxWait = time.Second
	// finalReadMargin is how long before the end of that wait the store is read once more.
	finalReadMargin = 100 * time.Millisecond
	// viewTimeout bounds the read of earlier decisions before a job is accepted. If it fails,
	// the job is planned on an older view and planned again once the store reports earlier
	// records.
	viewTimeout = 300 * time.Millisecond
)

// Handler answers callers' requests on batch jobs.
type Handler struct {
	Dialect sardinerock.Dialect
	Batch   sardinerock.BatchDialect
	Ledger  *ledger.Ledger
	// JobFollower follows the topic of decisions on jobs, WorkFollower that of the results
	// and ownership of items.
	JobFollower  *watch.Follower
	WorkFollower *watch.Follower
	Appender     *commit.Appender
	// Blobs stores the bodies of items and the texts of results.
	Blobs *blobs.Client
	// Owner returns the entry that is to run a new job, and which of its processes runs now.
	Owner func(job string) (name string, processStart int64)
	// NotifyOwner notifies the entry that runs a new job. Without the notification it reads
	// the job late.
	NotifyOwner func(job *ledger.Accepted)
	// SettleTime is the time within which all entries must show a result that one of them has
	// shown; 0 means one second.
	SettleTime time.Duration
	// StoreLostByAll reports whether no other entry reaches the store either.
	StoreLostByAll func() bool
	// Shutdown is the shutdown of this entry; nil if there is none.
	Shutdown *leave.Shutdown
	Events   *event.Logger
	Metrics  metrics.Registry
}

// Submit accepts a batch job once the store has it. From then on any entry can answer for the
// job, even if this one fails immediately after.
func (h *Handler) Submit(w http.ResponseWriter, r *http.Request, route *sardinerock.Route, call *sardinerock.Call, received time.Time, before time.Duration) {
	if r.Method != http.MethodPost {
		h.reject(w, call.ID, http.StatusMethodNotAllowed, "a batch job is handed in by POST", 0)
		return
	}
	if !validID(call.ID) {
		h.reject(w, call.ID, http.StatusBadRequest, "the request's id is missing, too long or has a slash", 0)
		return
	}
	items, err := h.Batch.ParseBatch(call.Body)
	if err != nil {
		h.reject(w, call.ID, http.StatusBadRequest, err.Error(), 0)
		return
	}
	if h.JobFollower.Lost() && !h.StoreLostByAll() {
		h.reject(w, call.ID, http.StatusServiceUnavailable, "the store can't be reached from here", storeRetryAfter)
		return
	}
	job := &ledger.Accepted{
		ID: call.ID, Route: route.Name, Host: call.Host, CreatedAt: received.UnixMilli(),
		Digest: xxhash.Sum64(call.Body), Team: call.Team, Config: call.Config,
	}
	if route.Removed {
		h.repeat(w, job)
		return
	}
	job.Owner, job.OwnerStart = h.Owner(call.ID)
	for i := range items {
		job.Tokens = append(job.Tokens, items[i].Tokens)
	}
	// The change continues if the caller disconnects: its result decides the response to a
	// resent job.
	ctx, release := h.Shutdown.Bind(context.WithoutCancel(r.Context()))
	defer release()
	ctx, cancel := context.WithDeadline(ctx, received.Add(h.acceptTimeLeft(call.Timeout, before)))
	defer cancel()
	h.updateView(ctx, received)
	verdict, err := h.accept(ctx, job, items, route.MaxTokens)
	late := route.LatencyTarget > 0 && before+time.Since(received) > route.LatencyTarget
	h.writeAccepted(w, job, verdict, err, received, late)
}

// repeat answers a repeated job whose route was removed after it had been accepted.
func (h *Handler) repeat(w http.ResponseWriter, job *ledger.Accepted) {
	switch verdict, known := h.Ledger.KnownVerdict(job, 0); {
	case verdict == ledger.Stale:
		h.reject(w, job.ID, http.StatusServiceUnavailable, "the batch job's state is being read anew", storeRetryAfter)
	case verdict == ledger.Conflict:
		h.reject(w, job.ID, http.StatusConflict, "another batch job has this id", 0)
	case known:
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusAccepted)
	default:
		h.reject(w, job.ID, http.StatusNotFound, "no route for this host and path", 0)
	}
}

// updateView reads the decisions on jobs up to a time. An entry that has no jobs follows them
// seconds late.
func (h *Handler) updateView(ctx context.Context, at time.Time) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if err := h.JobFollower.EnsureCurrent(ctx, at); err != nil {
		h.Events.Info(event.AppendFailed).Err(err).Msg("job view not updated; the job is planned on an older view")
	}
}

// accept writes a job to the store: first the bodies of its items, which have no effect
// alone, then the small record from which all entries learn of the job. Bodies are not
// written for a job that is already known or has no room.
func (h *Handler) accept(ctx context.Context, job *ledger.Accepted, items []sardinerock.BatchItem, maxTokens int64) (ledger.Verdict, error) {
	if verdict, decided := h.Ledger.KnownVerdict(job, maxTokens); decided {
		return verdict, nil
	}
	bodies, err := h.Blobs.WriteItems(ctx, job.ID, items)
	if err != nil {
		return ledger.Stale, fmt.Errorf("%w: %w", sardinerock.ErrStoreRefused, err)
	}
	job.Bodies = bodies
	return h.Appender.Submit(ctx, func(p *ledger.Plan) (ledger.Verdict, error) { return p.Accept(job, maxTokens) })
}

// acceptTimeLeft returns how long to try to store a job. While the store is unreachable for
// all entries, no other entry can accept it either. Callers retry once, so a job rejected at
// once is lost to an outage of two seconds; one that waits here for half of its caller's
// time, and for the rest at the next entry, survives an outage of three.
func (h *Handler) acceptTimeLeft(wait, before time.Duration) time.Duration {
	if wait <= 0 {
		return acceptTimeout
	}
	if before > 0 {
		return min(max(wait-responseMargin, responseMargin), maxAcceptTime)
	}
	return min(time.Duration(firstAttemptShare*float64(wait)), maxAcceptTime)
}

func (h *Handler) writeAccepted(w http.ResponseWriter, job *ledger.Accepted, verdict ledger.Verdict, err error, received time.Time, late bool) {
	switch {
	case errors.Is(err, sardinerock.ErrStoreRefused):
		h.reject(w, job.ID, http.StatusServiceUnavailable, err.Error(), storeRetryAfter)
	case errors.Is(err, commit.ErrUncertain):
		// The job may still be accepted, so the response must promise neither outcome.
		h.reject(w, job.ID, http.StatusGatewayTimeout, err.Error(), 0)
	case err != nil:
		h.reject(w, job.ID, http.StatusInternalServerError, err.Error(), 0)
	case verdict == ledger.OverQuota:
		h.reject(w, job.ID, http.StatusTooManyRequests, "the tokens that wait on this route leave no room", quotaRetryAfter)
	case verdict == ledger.Conflict:
		h.reject(w, job.ID, http.StatusConflict, "another batch job has this id", 0)
	default:
		metrics.GetOrRegisterCounter("batch.accepted", h.Metrics).Inc(1)
		h.Events.Info(event.JobAccepted).Str("job", job.ID).Str("route", job.Route).Int("items", len(job.Tokens)).
			Str("team", job.Team).
			Int64("waitingTokens", h.Ledger.WaitingTokens(ledger.QuotaKey{Route: job.Route, Team: job.Team})).Dur("took", time.Since(received)).Bool("late", late).Msg("job accepted")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusAccepted)
		h.NotifyOwner(job)
	}
}

// Call implements sardinerock.BatchHandler.
func (h *Handler) Call(w http.ResponseWriter, r *http.Request, call sardinerock.BatchCall) {
	switch call.Kind {
	case sardinerock.BatchRead:
		h.read(w, r, call)
	case sardinerock.BatchItemBody:
		h.body(w, r, call)
	case sardinerock.BatchCancel:
		h.end(w, r, call)
	}
}

// checkExists reports whether a job exists. A job unknown to this entry may have been
// accepted elsewhere a moment ago, so the store is read first. If the job does not exist, or
// that cannot be determined, it rejects the request and returns false. A job of another team
// does not exist for the caller.
func (h *Handler) checkExists(w http.ResponseWriter, r *http.Request, call sardinerock.BatchCall) bool {
	job := call.Job
	if h.Ledger.Accessible(job, call.Team) {
		return true
	}
	ctx, cancel := context.WithTimeout(r.Context(), checkTimeout)
	defer cancel()
	if err := h.JobFollower.EnsureCurrent(ctx, time.Now()); err != nil {
		h.reject(w, job, http.StatusServiceUnavailable, "the store can't be asked: "+err.Error(), storeRetryAfter)
		return false
	}
	if h.Ledger.Accessible(job, call.Team) {
		return true
	}
	h.reject(w, job, http.StatusNotFound, "there is no such batch job", 0)
	return false
}

// checkView makes sure that a position has no result before the response says so. An entry
// that has just started, or has a slow connection, may be seconds behind the others; a caller
// that has read a result elsewhere would see it disappear. If the view is too old and cannot
// be updated, it rejects the request and returns false.
func (h *Handler) checkView(w http.ResponseWriter, r *http.Request, call sardinerock.BatchCall, received time.Time) bool {
	page, ok := h.Ledger.Results(call.Job, call.From)
	if ok && (len(page.Results) > 0 || call.From >= page.Total) {
		return true
	}
	settle := h.SettleTime
	if settle == 0 {
		settle = defaultSettleTime
	}
	ctx, cancel := context.WithTimeout(r.Context(), checkTimeout)
	defer cancel()
	at := received.Add(-time.Duration(maxViewShare * float64(settle)))
	if err := h.WorkFollower.EnsureCurrent(ctx, at); err != nil {
		h.reject(w, call.Job, http.StatusServiceUnavailable, "the store's end isn't known here: "+err.Error(), storeRetryAfter)
		return false
	}
	return true
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request, call sardinerock.BatchCall) {
	received := time.Now()
	if !h.checkExists(w, r, call) || !h.checkView(w, r, call, received) {
		return
	}
	wait := min(call.Wait, maxWait)
	timeout := time.NewTimer(max(wait-finalReadMargin, 0))
	defer timeout.Stop()
	for waiting := true; ; {
		changed := h.Ledger.Changed()
		page, ok := h.Ledger.Results(call.Job, call.From)
		if !ok {
			h.reject(w, call.Job, http.StatusServiceUnavailable, "the batch job's state is being read anew", storeRetryAfter)
			return
		}
		if len(page.Results) > 0 || !page.Open || !waiting {
			h.writeResults(w, r, call, page)
			return
		}
		select {
		case <-r.Context().Done():
			if errors.Is(context.Cause(r.Context()), leave.ErrEnded) {
				h.reject(w, call.Job, http.StatusServiceUnavailable, "this entry shuts down", storeRetryAfter)
			}
			return
		case <-timeout.C:
			h.readLatest(r.Context(), wait)
			waiting = false
		case <-changed:
		}
	}
}

// readLatest reads the results that arrived while a caller waited, because this entry may
// follow them at long intervals only.
func (h *Handler) readLatest(ctx context.Context, wait time.Duration) {
	if wait < finalReadMargin {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if err := h.WorkFollower.EnsureCurrent(ctx, time.Now().Add(-finalReadMargin)); err != nil {
		h.Events.Info(event.RequestRefused).Err(err).Msg("latest results not read; the response shows an older view")
	}
}

// writeResults sends a page of results, as many as fit into one response.
func (h *Handler) writeResults(w http.ResponseWriter, r *http.Request, call sardinerock.BatchCall, page ledger.Page) {
	fitting := fitPage(page.Results)
	locations := make([]blobs.Result, len(fitting))
	size := 0
	for n := range fitting {
		size += fitting[n].Text.Size()
		locations[n] = blobs.Result{Index: fitting[n].Index, Content: fitting[n].Text}
	}
	if !h.takeMemory(w, r, call.Job, size) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), blobTimeout)
	defer cancel()
	read, err := h.Blobs.ReadResults(ctx, call.Job, locations)
	if err != nil {
		h.reject(w, call.Job, http.StatusServiceUnavailable, "the results can't be read: "+err.Error(), storeRetryAfter)
		return
	}
	results := make([]sardinerock.BatchResult, len(fitting))
	for n := range fitting {
		results[n] = sardinerock.BatchResult{Item: fitting[n].Item, Succeeded: fitting[n].Succeeded, Text: read[n]}
	}
	if err := h.Batch.WriteResults(w, page.Total, call.From, results); err != nil {
		h.Events.Info(event.RequestRefused).Str("job", call.Job).Err(err).Msg("caller disconnected before the results were written")
	}
}

// takeMemory takes the memory for reading a value of size bytes and for its response. If there is too little, it rejects the
// request and returns false.
func (h *Handler) takeMemory(w http.ResponseWriter, r *http.Request, job string, size int) bool {
	if intake.TakeEstimate(r.Context(), int64(readBytesPerByte*size)) {
		return true
	}
	h.reject(w, job, http.StatusServiceUnavailable, intake.ErrNoMemory.Error(), storeRetryAfter)
	return false
}

// fitPage returns the leading results whose texts are read for one response, at least one.
func fitPage(results []ledger.Result) []ledger.Result {
	size := 0
	for n := range results {
		if size += results[n].Text.Size(); n > 0 && size > responseBytes {
			return results[:n]
		}
	}
	return results
}

func (h *Handler) body(w http.ResponseWriter, r *http.Request, call sardinerock.BatchCall) {
	if !h.checkExists(w, r, call) {
		return
	}
	bodies, known := h.Ledger.Bodies(call.Job)
	if !known {
		h.reject(w, call.Job, http.StatusServiceUnavailable, "the batch job's state is being read anew", storeRetryAfter)
		return
	}
	if !h.takeMemory(w, r, call.Job, bodies.Size()) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), blobTimeout)
	defer cancel()
	items, err := h.Blobs.ReadItems(ctx, call.Job, &bodies)
	if err != nil {
		h.reject(w, call.Job, http.StatusServiceUnavailable, "the item's body can't be read: "+err.Error(), storeRetryAfter)
		return
	}
	i := slices.IndexFunc(items, func(item sardinerock.BatchItem) bool { return item.ID == call.Item })
	if i < 0 {
		h.reject(w, call.Job, http.StatusNotFound, "the batch job has no such item", 0)
		return
	}
	body := items[i].Body
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// An error means that the caller disconnected; there is no one to report it to.
	_, _ = w.Write(body)
}

func (h *Handler) end(w http.ResponseWriter, r *http.Request, call sardinerock.BatchCall) {
	if !h.checkExists(w, r, call) {
		return
	}
	ctx, release := h.Shutdown.Bind(context.WithoutCancel(r.Context()))
	defer release()
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	verdict, err := h.Appender.Submit(ctx, func(p *ledger.Plan) (ledger.Verdict, error) { return p.End(call.Job) })
	switch {
	case err != nil:
		h.reject(w, call.Job, http.StatusBadGateway, err.Error(), 0)
	case verdict == ledger.NotFound:
		h.reject(w, call.Job, http.StatusServiceUnavailable, "the batch job's state is being read anew", storeRetryAfter)
	default:
		h.Events.Info(event.JobCancelled).Str("job", call.Job).Msg("job ended by its caller")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}
}

func (h *Handler) reject(w http.ResponseWriter, job string, status int, reason string, retryAfter time.Duration) {
	metrics.GetOrRegisterCounter("batch.answered."+strconv.Itoa(status), h.Metrics).Inc(1)
	h.Events.Warn(event.RequestRefused).Str("job", job).Int("status", status).Str("reason", reason).
		Dur("retryAfter", retryAfter).Msg("batch request rejected")
	sardinerock.WriteRefusal(h.Dialect, w, status, reason, retryAfter)
}

// validID reports whether a job's id can be part of a key in the store.
func validID(id string) bool {
	const maxLength = 128
	return id != "" && len(id) <= maxLength && !strings.Contains(id, "/")
}

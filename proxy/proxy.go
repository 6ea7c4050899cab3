package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// hedgeDelay is how long this entry tries alone to store a job. That usually takes 10 to
	// 20 ms, and callers expect an answer within 400 ms. If the store is slow for all
	// entries, hedging costs one more call to a peer.
	hedgeDelay = 150 * time.Millisecond
	// callTimeout bounds a forwarded call that has no deadline of its own; reads wait up to
	// one second for new results.
	callTimeout = 2500 * time.Millisecond
	// peerTimeout is how long an entry may take to store a job that a peer has forwarded, at
	// most half of the caller's wait time: the peer needs the result before it has to answer.
	peerTimeout = time.Second
	// maxPeers bounds how many peers are tried; each unreachable one costs a connection
	// timeout.
	maxPeers = 2
	// unverifiedRetryAfter is the retry delay sent to a caller whose identity no tried peer
	// could verify; another entry may be able to.
	unverifiedRetryAfter = 200 * time.Millisecond
)

// Proxy answers requests on batch jobs locally, or through a peer if this entry cannot.
//
// The failure it handles: for many seconds the store rejects the calls of some entries, or a
// network partition separates them from it. The load balancer still sends callers to these
// entries, and each caller has to retry elsewhere. Jobs are then accepted late or, after
// two such attempts, not at all, although most entries reach the store. An entry that has
// just started behaves the same until it has read the jobs. Peers reach both the store and
// this entry, so the request is forwarded to one of them. The call is idempotent: a job is
// accepted once however often it is submitted.
type Proxy struct {
	// Local handles requests at this entry.
	Local sardinerock.BatchHandler
	// Stale reports whether this entry's view of the store is missing or out of date.
	Stale func() bool
	// Peers returns the addresses of entries with a current view, in the order in which to
	// try them.
	Peers   func() []string
	Client  *http.Client
	Dialect sardinerock.Dialect
	Events  *event.Logger
	Metrics metrics.Registry
}

// fromPeer is the context key of requests forwarded by a peer.
type fromPeer struct{}

// FromPeer marks the requests to h as forwarded by a peer. They are always answered locally,
// which prevents forwarding loops.
func FromPeer(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), fromPeer{}, true)))
	})
}

func forwarded(r *http.Request) bool { return r.Context().Value(fromPeer{}) != nil }

// Call implements sardinerock.BatchHandler. If this entry cannot answer because it does not
// know the state in the store, a peer is asked before the caller gets status 503.
func (p *Proxy) Call(w http.ResponseWriter, r *http.Request, call sardinerock.BatchCall) {
	if forwarded(r) && !call.Unverified {
		p.Local.Call(w, r, call)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if call.Unverified {
		p.answerUnverified(ctx, w, r, call.Job, nil)
		return
	}
	if p.Stale() {
		if resp := p.forward(ctx, r, call.Job, nil); resp.conclusive() {
			resp.write(w)
			return
		}
	}
	local := &response{}
	p.Local.Call(local, r, call)
	if local.status != http.StatusServiceUnavailable {
		local.write(w)
		return
	}
	if resp := p.forward(ctx, r, call.Job, nil); resp.conclusive() {
		local = resp
	}
	local.write(w)
}

// answerUnverified answers a request whose caller this entry cannot verify: a peer that can
// verify it answers, otherwise the caller is asked to retry. A request that a peer forwarded
// is not forwarded again.
func (p *Proxy) answerUnverified(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, body []byte) {
	resp := &response{status: http.StatusServiceUnavailable}
	if !forwarded(r) {
		resp = p.forward(ctx, r, id, body)
	}
	if resp.status == http.StatusServiceUnavailable {
		p.Dialect.WriteRetryAfter(resp.Header(), unverifiedRetryAfter)
	}
	resp.write(w)
}

// Submit implements sardinerock.BatchHandler. The job is stored by this entry and, if that
// fails or takes longer than hedgeDelay, also by a peer; the peer is called at once if this
// entry's view is stale. The first acceptance is returned, otherwise the preferred one of the
// responses.
func (p *Proxy) Submit(w http.ResponseWriter, r *http.Request, route *sardinerock.Route, call *sardinerock.Call, received time.Time, before time.Duration) {
	if call.Unverified {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		p.answerUnverified(ctx, w, r, call.ID, call.Body)
		return
	}
	if forwarded(r) {
		// The handler uses half of a caller's wait time for the first attempt.
		short := *call
		short.Timeout = 2 * peerTimeout
		if call.Timeout > 0 {
			short.Timeout = min(call.Timeout, short.Timeout)
		}
		p.Local.Submit(w, r, route, &short, received, 0)
		return
	}
	delay := hedgeDelay
	if p.Stale() {
		delay = 0
	}
	local, peer := make(chan *response, 1), make(chan *response, 1)
	go func() {
		resp := &response{}
		p.Local.Submit(resp, r, route, call, received, before)
		local <- resp
	}()
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	t := time.NewTimer(delay)
	defer t.Stop()
	var best *response
	for hedged, responses := false, 0; ; {
		select {
		case resp := <-local:
			responses++
			best = preferred(best, resp)
		case resp := <-peer:
			responses++
			best = preferred(best, resp)
		case <-t.C:
			hedged = true
			go func() { peer <- p.forward(ctx, r, call.ID, call.Body) }()
			continue
		}
		if best.status == http.StatusAccepted || !hedged && best.conclusive() || hedged && responses == 2 {
			break
		}
		if !hedged {
			t.Reset(0)
		}
	}
	best.write(w)
}

// forward sends a request to peers one after the other until one gives a conclusive response.
func (p *Proxy) forward(ctx context.Context, r *http.Request, id string, body []byte) *response {
	best := &response{status: http.StatusServiceUnavailable}
	for n, peer := range p.Peers() {
		if n == maxPeers || ctx.Err() != nil {
			break
		}
		resp, err := p.forwardTo(ctx, r, peer, body)
		p.Events.Info(event.HandedOn).Str("job", id).Str("method", r.Method).Str("to", peer).Int("status", resp.status).Err(err).Msg("request forwarded to a peer")
		metrics.GetOrRegisterCounter("batch.handedOn."+strconv.Itoa(resp.status), p.Metrics).Inc(1)
		best = preferred(best, resp)
		if resp.conclusive() {
			return best
		}
	}
	return best
}

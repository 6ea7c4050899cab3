package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/admit"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
)

const (
	// busyRetryAfter is the retry delay after rejections by backend servers, or if the
	// request's time expired before it was sent to one. Slots are freed all the time.
	busyRetryAfter = 200 * time.Millisecond
	// unreachableRetryAfter is the retry delay if no backend server is available; one
	// that recovers registers within a second or two.
	unreachableRetryAfter = 400 * time.Millisecond
	// maxRejections limits the attempts of one request that did not run: those that were
	// rejected, and those that could not be sent.
	maxRejections = 4
	// crashCacheSize is the number of requests for which failures of backend servers are
	// counted. A request that crashes backend servers is resent within seconds.
	crashCacheSize = 256
	// crashLimit is how many backend servers may fail during one request before all
	// entries reject it.
	crashLimit = 3
)

// Relay implements sardinerock.OnlineHandler.
type Relay struct {
	Dialect sardinerock.Dialect
	Pool    *pool.Pool
	Conns   *conns.Conns
	// Preempt asks for the preemption of one batch item on a backend server where
	// online work needs its slot.
	Preempt func(server string)
	// PeerCrashes returns how often other entries saw backend servers fail during a request.
	PeerCrashes func(fingerprint uint64) int
	// ViewAge returns how old the known loads of other entries may be.
	ViewAge func() time.Duration
	// Entries returns the number of live entries, including this one.
	Entries func() int
	Events  *event.Logger
	Metrics metrics.Registry

	// queue holds the requests that wait here for a slot.
	queue admit.Queue
	// onTimeRates measures the rate of requests that can still meet their target.
	onTimeRates admit.Rates

	mu sync.Mutex
	// crashes counts the failures of backend servers by the fingerprint of the
	// request that they ran.
	crashes *lru.Cache[uint64, int]
}

// Prepare initializes the relay and has to be called once before use.
func (l *Relay) Prepare() {
	// The only possible error is a size that isn't positive.
	l.crashes, _ = lru.New[uint64, int](crashCacheSize)
}

func (l *Relay) count(name string) {
	metrics.GetOrRegisterCounter(name, l.Metrics).Inc(1)
}

// fingerprint returns a hash that is the same for each resend of the same content.
func fingerprint(c *sardinerock.Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{c.Method, c.Host, c.Target} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return h.Sum64()
}

// recordCrash records that a backend server failed during a request.
func (l *Relay) recordCrash(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, _ := l.crashes.Get(fingerprint)
	l.crashes.Add(fingerprint, n+1)
}

// recordResponse records that a backend server gave a complete response to a request, which
// therefore isn't one that crashes all of them.
func (l *Relay) recordResponse(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes.Remove(fingerprint)
}

// Crashes returns the requests during which backend servers failed more than once
// at this entry, with the counts. A single failure does not suggest that the request
// caused it.
func (l *Relay) Crashes() map[uint64]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var several map[uint64]int
	for _, f := range l.crashes.Keys() {
		if n, _ := l.crashes.Peek(f); n > 1 {
			if several == nil {
				several = map[uint64]int{}
			}
			several[f] = n
		}
	}
	return several
}

// done ends a request at a backend server. If that frees a slot, it is offered to a
// waiting request.
func (l *Relay) done(choice *pool.Choice, failed bool) {
	now := time.Now()
	if l.Pool.Done(choice.ID, false, failed, now) {
		l.queue.OfferSlot(choice.Service, choice.ID, now)
	}
}

// OfferSlot offers the slot of an ended batch item to a waiting request.
func (l *Relay) OfferSlot(service, server string) { l.queue.OfferSlot(service, server, time.Now()) }

// crashesServers reports whether so many backend servers failed during a request that
// it must not be sent again.
func (l *Relay) crashesServers(fingerprint uint64) bool {
	l.mu.Lock()
	n, _ := l.crashes.Peek(fingerprint)
	l.mu.Unlock()
	return n+l.PeerCrashes(fingerprint) >= crashLimit
}

func isStream(resp *conns.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// Serve implements sardinerock.OnlineHandler. It returns whether the request may
// have run.
func (l *Relay) Serve(w http.ResponseWriter, r *http.Request, q *sardinerock.OnlineRequest) (ran bool) {
	p := l.newProxyRequest(w, r, q)
	p.run()
	return p.runs > 0
}

// newProxyRequest returns the state for forwarding a request.
func (l *Relay) newProxyRequest(w http.ResponseWriter, r *http.Request, q *sardinerock.OnlineRequest) *proxyRequest {
	route := q.Route
	p := &proxyRequest{
		relay:        l,
		writer:       w,
		route:        route,
		call:         q.Call,
		version:      q.Table.Version,
		service:      route.Service(rand.Float64()),
		received:     q.Received,
		waitedBefore: q.WaitedBefore,
		keyValid:     q.KeyValid,
		fingerprint:  fingerprint(q.Call),
		tried:        map[string]bool{},
		resume:       q.Call.ResumeAfter,
		deadline:     q.Received.Add(route.Timeout),
	}
	if q.Call.Timeout > 0 && q.Call.Timeout < route.Timeout {
		p.deadline = q.Received.Add(q.Call.Timeout)
	}
	p.serviceInfo = q.Table.Services[p.service]
	capacity := l.Pool.Capacity(p.service, p.received)
	p.waiter = admit.NewWaiter(p.received.Add(-p.waitedBefore), route.LatencyTarget, capacity.FirstByte)
	if p.waitedBefore+capacity.FirstByte < route.LatencyTarget {
		l.onTimeRates.Add(p.service, p.received)
	}
	p.startDeadline = p.deadline
	if route.EventTimeout > 0 && p.received.Add(route.EventTimeout).Before(p.deadline) {
		p.startDeadline = p.received.Add(route.EventTimeout)
	}
	p.ctx, p.cancel = context.WithDeadline(r.Context(), p.deadline)
	return p
}

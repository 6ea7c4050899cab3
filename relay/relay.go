package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/admit"
	"github.com/sardinerock/sardinerock/blame"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/crash"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/leave"
	"github.com/sardinerock/sardinerock/origin"
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
)

// Relay implements sardinerock.OnlineHandler.
type Relay struct {
	Dialect sardinerock.Dialect
	Pool    *pool.Pool
	Conns   *conns.Conns
	// Preempt asks for the preemption of one batch item on a backend server where
	// online work needs its slot.
	Preempt func(server string)
	// Crashes counts the failures of backend servers during requests.
	Crashes *crash.Counter
	// Blame knows which parts of prompts end backend servers.
	Blame *blame.Tracker
	// Origins finds out which software began a stream.
	Origins *origin.Locator
	// ViewAge returns how old the known loads of other entries may be.
	ViewAge func() time.Duration
	// Entries returns the number of live entries, including this one.
	Entries func() int
	// RecentlyAdmitted returns how many requests of a team this entry and all others have
	// admitted, as sums that decay over usage.Window; nil if that is unknown.
	RecentlyAdmitted func(team string) (here, elsewhere float64)
	// Shutdown is the shutdown of this entry, and knows how long requests run; nil if there is none.
	Shutdown *leave.Shutdown
	// Random spreads the retry delays of rejected callers; nil to leave them as computed.
	Random  *rand.Rand
	Events  *event.Logger
	Metrics metrics.Registry

	// queue holds the requests that wait here for a slot.
	queue admit.Queue
	// onTimeRates measures the rate of requests that can still meet their target.
	onTimeRates admit.Rates
	// scarcity holds which services' slots are scarce.
	scarcity scarcity
	order    order
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

// done ends a request at a backend server. If that frees a slot, it is offered to a
// waiting request.
func (l *Relay) done(choice *pool.Choice, failed bool) {
	now := time.Now()
	if l.Pool.Done(choice.ID, false, failed, now) {
		l.OfferSlot(choice.Service, choice.ID)
	}
}

// OfferSlot offers a free slot of a backend server to the first waiting request.
func (l *Relay) OfferSlot(service, server string) {
	l.offer(service, server, l.queue.OfferSlot)
}

// offer offers a free slot to a waiting request. Until that takes it, the slot counts as taken: otherwise a later request
// that checks for free slots meanwhile would take it first.
func (l *Relay) offer(service, server string, offer func(service, server string, now time.Time) bool) {
	if !l.queue.Waits(service) {
		return
	}
	now := time.Now()
	if _, ok := l.Pool.ChooseServer(server, now); ok && !offer(service, server, now) {
		l.Pool.CancelOnline(server)
	}
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
		request:      r,
		route:        route,
		call:         q.Call,
		version:      q.Table.Version,
		received:     q.Received,
		waitedBefore: q.WaitedBefore,
		keyValid:     q.KeyValid,
		fingerprint:  fingerprint(q.Call),
		tried:        map[string]bool{},
		full:         map[string]bool{},
		deadline:     q.Received.Add(route.Timeout),
	}
	if !r.ProtoAtLeast(1, 1) {
		p.held = &heldWriter{ResponseWriter: w}
		p.writer = p.held
	}
	p.part.causes = blame.Causes(q.Call.SharedParts, p.fingerprint)
	p.locate(r.Context())
	if p.service = p.position.Origin.Service; p.service == "" {
		p.service = route.Service(rand.Float64())
	}
	if q.Call.Timeout > 0 && q.Call.Timeout < route.Timeout {
		p.deadline = q.Received.Add(q.Call.Timeout)
	}
	p.serviceInfo = q.Table.Services[p.service]
	capacity := l.Pool.Capacity(p.service, p.received)
	p.waiter = admit.NewWaiter(p.received.Add(-p.waitedBefore), route.LatencyTarget, capacity.FirstByte)
	p.expectedRun = capacity.Run
	p.joinOrder(q)
	if p.waitedBefore+capacity.FirstByte < route.LatencyTarget {
		l.onTimeRates.Add(p.service, p.received)
	}
	p.startDeadline = p.deadline
	if route.EventTimeout > 0 && p.received.Add(route.EventTimeout).Before(p.deadline) {
		p.startDeadline = p.received.Add(route.EventTimeout)
	}
	ctx, release := l.Shutdown.Bind(r.Context())
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	p.ctx, p.cancel = ctx, func() {
		cancel()
		release()
	}
	return p
}

package node

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/scrape"
)

const (
	// defaultIdleTimeout is how long callers' connections may be idle if the configuration has no
	// idle timeout.
	defaultIdleTimeout = time.Minute
	// idleMargin is added to the configured idle timeout, so that a request sent just before
	// the timeout doesn't arrive on a closed connection.
	idleMargin = 2 * time.Second
	// maxPlainHead bounds the heads of peers' requests, readiness checks and metrics requests, in bytes.
	maxPlainHead = 64 << 10
	// deregisterTime is how long the load balancer takes to stop sending connections to an
	// entry that isn't ready: two readiness checks, one a second, and a margin.
	deregisterTime = 2300 * time.Millisecond
	// stopMargin is the part of the shutdown timeout reserved for delivering the last answers.
	stopMargin = 700 * time.Millisecond
	// flushTime is the time between the end of the requests in progress and the end of their connections, in which their
	// last responses are sent.
	flushTime = 100 * time.Millisecond
	// abortMargin is the part of the shutdown time kept after running items are aborted, so
	// that other entries can resume them before this process exits.
	abortMargin = 1500 * time.Millisecond
)

// ready reports whether callers can be served.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.table.Current() != nil && n.registrations.Usable()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.updateGauges()
	for _, l := range n.intakes {
		l.UpdateGauges()
	}
	scrape.Write(w, n.Metrics)
}

// callerHandler returns the handler of callers' requests. While this entry is leaving, it asks
// callers to send their next request on another connection.
func (n *Node) callerHandler() http.Handler {
	requests := metrics.GetOrRegisterTimer("front.requests", n.Metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begin := time.Now()
		defer requests.UpdateSince(begin)
		n.shutdown.Enter()
		recorder := &statusRecorder{ResponseWriter: w, leaving: n.leaving.Load}
		defer func() { n.requestEnded(r, recorder.status, begin) }()
		n.access.ServeHTTP(recorder, r)
		recorder.complete()
	})
}

// stop shuts the entry down: it waits until the load balancer has taken it out of rotation, and
// then until the requests in progress are complete or the shutdown timeout expires.
func (n *Node) stop(callerServer *http.Server) {
	begin := time.Now()
	n.leaving.Store(true)
	n.runner.StopStarting()
	n.gossip.Leave()
	n.roster.SetLeaving()
	n.Events.Info(event.Stopping).Int("items", len(n.runner.Running())).Msg("shutdown requested; completing requests in progress")
	end := begin.Add(n.settings.Current().ShutdownTimeout - stopMargin)
	answerBy := end.Add(-flushTime)
	n.shutdown.Begin(answerBy)
	finish := time.AfterFunc(time.Until(answerBy), n.shutdown.Finish)
	defer finish.Stop()
	time.Sleep(deregisterTime)
	abort := time.AfterFunc(time.Until(end)-abortMargin, n.runner.AbortAll)
	defer abort.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	callers := n.intakes[0]
	// No error matters: the listener is closed either way.
	_ = callers.Close()
	if err := callers.Drain(ctx); err != nil {
		n.Events.Warn(event.Stopping).Err(err).Msg("requests still in progress at the end of the shutdown; closing their connections")
	}
	callerServer.Close()
	n.logCounts()
	n.runner.Drain(ctx)
	n.roster.Leave(ctx)
}

// idleLimit returns how long a caller's connection may be idle.
func (n *Node) idleLimit() time.Duration {
	if t := n.table.Current(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout + idleMargin
	}
	return defaultIdleTimeout
}

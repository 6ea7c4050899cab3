package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/origin"
	"github.com/sardinerock/sardinerock/pool"
)

// The reasons why a stream that its caller resumes is rejected.
const (
	reasonUnknownOrigin = "it isn't known which software version began the stream"
	reasonServiceLeft   = "the service that began the stream no longer serves the route"
	reasonNoRecords     = "it isn't known which software versions may begin streams"
	reasonNotRecorded   = "the software version of the stream can't be recorded"
	reasonVersionLeft   = "the software version that began the stream no longer serves"
)

// errNotBegun means that a stream may not begin at the backend server that runs it.
var errNotBegun = errors.New("relay: the stream may not begin at this backend server")

// roomInterval is the time between two attempts to send a stream that goes on to backend servers that had no room
// for it. At each of them a slot is freed about as often.
const roomInterval = 50 * time.Millisecond

// goesOn reports whether the caller has a part of the response, or of a stream that only some of the backend servers
// can continue. It goes before new requests there, and waits for room as long as its caller does.
func (p *proxyRequest) goesOn() bool {
	return p.started || p.begun && p.position.Origin.Known() && p.relay.Pool.Mixed(p.service)
}

// locate finds out which software began the stream that the caller resumes.
func (p *proxyRequest) locate(ctx context.Context) {
	if p.route.Kind != sardinerock.RouteStream {
		return
	}
	if p.call.ResumeAfter == "" {
		p.stream = origin.Stream(p.call.Team, p.call.Host, p.call.ID)
		return
	}
	p.begun = true
	p.stream = origin.Stream(p.call.Team, p.call.Host, p.call.Resumes)
	began := time.Now()
	found := p.relay.Origins.Locate(ctx, p.stream, p.route)
	o := found.Origin
	switch {
	case !o.Known():
		p.cannotResume = reasonUnknownOrigin
	case !p.route.Serves(o.Service):
		p.cannotResume = reasonServiceLeft
	case !p.relay.Pool.Serves(o):
		p.cannotResume = reasonVersionLeft
	}
	p.position = sardinerock.Position{LastEvent: p.call.ResumeAfter, Origin: o}
	p.relay.count("relay.origins." + string(found.Source))
	p.relay.count("relay.evidence." + string(found.Evidence))
	p.relay.Events.Info(event.OriginFound).Str("request", p.call.ID).Str("resumes", p.call.Resumes).Str("last", p.call.ResumeAfter).
		Str("source", string(found.Source)).Str("evidence", string(found.Evidence)).Dur("age", found.Age).Str("service", o.Service).Str("version", o.Version).Str("rejected", p.cannotResume).
		Dur("took", time.Since(began)).Msg("caller resumes a stream")
}

// beginStream returns once the first event of a stream may be sent to the caller. If it can't be recorded in the store which
// software sends it, the stream begins where that needs no record, or not at all.
func (p *proxyRequest) beginStream(choice *pool.Choice) error {
	if p.begun {
		return nil
	}
	o := choice.Origin()
	until := p.received.Add(max(p.call.Timeout, p.route.Timeout))
	if err := p.relay.Origins.Begin(p.ctx, p.stream, o, p.route, until); err != nil {
		base, ok := p.relay.Origins.Base(p.service)
		if ok && base != o && errors.Is(err, origin.ErrBeginElsewhere) && p.relay.Pool.Serves(base) {
			p.position.Origin = base
		} else {
			p.cannotBegin = true
		}
		return errors.Join(errNotBegun, err)
	}
	p.begun, p.position.Origin = true, o
	return nil
}

// mayBegin rejects a new stream that could begin at no backend server.
func (p *proxyRequest) mayBegin() bool {
	if p.begun || p.route.Kind != sardinerock.RouteStream || !p.route.Resumable || p.relay.Origins.Ready(p.ctx) {
		return true
	}
	p.giveUp(reasonNoRecords, unreachableRetryAfter)
	return false
}

// dropBase has a stream that hasn't begun begin anywhere once the version that it was to begin at no longer serves.
func (p *proxyRequest) dropBase() bool {
	if p.begun || !p.position.Origin.Known() || p.relay.Pool.Serves(p.position.Origin) {
		return false
	}
	p.position.Origin = sardinerock.Origin{}
	return true
}

// preferBase has a new stream begin at the version that needs no record, if none can be stored.
func (p *proxyRequest) preferBase() {
	if p.begun || p.position.Origin.Known() || p.route.Kind != sardinerock.RouteStream || !p.route.Resumable {
		return
	}
	if base, ok := p.relay.Origins.Prefers(p.service); ok && p.relay.Pool.Serves(base) {
		p.position.Origin = base
	}
}

// giveUpUnsent ends a request for which there is no backend server to send it to. The same version is not promised
// to serve again, so the caller of a stream that needs it gets no retry delay.
func (p *proxyRequest) giveUpUnsent() {
	if o := p.position.Origin; o.Known() && !p.relay.Pool.Serves(o) {
		p.rejectResumption(reasonVersionLeft)
		return
	}
	p.giveUp("no backend server to send to", unreachableRetryAfter)
}

// rejectResumption ends a stream that can't go on.
func (p *proxyRequest) rejectResumption(reason string) {
	p.relay.count("relay.notResumed")
	if p.runs == 0 && !p.started {
		p.reject(http.StatusServiceUnavailable, reason, 0)
		return
	}
	p.giveUp(reason, 0)
}

// awaitRoom waits before a stream that goes on is sent again to backend servers that had no room for it. It returns
// false if there are none, or the caller doesn't wait any longer.
func (p *proxyRequest) awaitRoom() bool {
	end := p.relay.Shutdown.Before(p.startDeadline)
	if p.started {
		end = p.endBy()
	}
	if len(p.full) == 0 || time.Until(end) < roomInterval+minRemaining {
		return false
	}
	for id := range p.full {
		delete(p.tried, id)
	}
	clear(p.full)
	t := time.NewTimer(roomInterval)
	defer t.Stop()
	select {
	case <-p.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/admit"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/rights"
)

// pollInterval is the time between two checks for a free slot. Over the whole fleet a
// response ends every few milliseconds.
const pollInterval = 15 * time.Millisecond

// waitForAdmission waits until the request may be sent to a backend server.
func (p *proxyRequest) waitForAdmission() (pool.Choice, bool) {
	defer p.leaveQueue()
	for waited := false; ; waited = true {
		if p.mustLeave() {
			return pool.Choice{}, false
		}
		if choice, ok := p.takeOffer(); ok {
			return choice, true
		}
		choice, ok := p.candidate()
		if !ok {
			if p.dropBase() || p.awaitRoom() {
				continue
			}
			p.giveUpUnsent()
			return choice, false
		}
		a := p.admissionRequest(&choice)
		d := a.Decide()
		if choice.Right == pool.RightNone && d.Action == admit.Send && !p.goesOn() {
			d.Action = admit.Wait
			p.relay.count("relay.withoutRight")
		}
		switch d.Action {
		case admit.Send:
			if waited {
				metrics.GetOrRegisterTimer("relay.held", p.relay.Metrics).Update(time.Since(p.received))
				p.relay.Events.Info(event.RequestHeld).Str("request", p.call.ID).Dur("waited", a.Waited).Dur("left", a.Remaining).
					Int("ahead", a.Ahead).Str("team", p.call.Team).Int("priority", p.waiter.Priority).Msg("request admitted after waiting for a slot")
			}
			return choice, true
		case admit.Reject:
			p.relay.Pool.CancelOnline(choice.ID)
			p.giveUp("no slot comes free in time", p.spread(d.RetryAfter))
			return choice, false
		}
		p.relay.Pool.CancelOnline(choice.ID)
		p.timings.setBlockedBy(&choice)
		p.yield(&choice, &a)
		if !p.waitInQueue() {
			p.callerDisconnected()
			return choice, false
		}
	}
}

// candidate chooses the backend server that the request would be sent to now.
func (p *proxyRequest) candidate() (pool.Choice, bool) {
	now := time.Now()
	r := &pool.Request{Tried: p.tried, Once: p.atMostOnce(), Origin: p.position.Origin}
	if !p.canReserve() {
		return p.relay.Pool.ChooseOnline(p.service, r, now)
	}
	r.Request, r.ViewAge = p.slotRequest(now), p.relay.ViewAge()
	choice, ok := p.relay.Pool.ChooseReserving(p.service, r, now)
	p.relay.recordScarcity(p.service, ok && choice.Right != pool.RightUnneeded, now)
	return choice, ok
}

// slotRequest describes how long the request can wait for a right to a slot.
func (p *proxyRequest) slotRequest(now time.Time) rights.Request {
	r := rights.Request{Waited: p.waitedBefore + now.Sub(p.received), Target: p.route.LatencyTarget}
	if patience := p.waitedBefore + p.startDeadline.Sub(p.received); patience < r.Target {
		r.Target = patience
	}
	if p.route.Kind != sardinerock.RouteStream {
		// Its response has to be complete within the target.
		r.Target -= p.relay.Pool.Capacity(p.service, now).Run
	}
	return r
}

// atMostOnce reports whether the request is lost if an attempt is aborted.
func (p *proxyRequest) atMostOnce() bool { return !p.route.Repeatable() || p.route.MaxAttempts < 2 }

// takeOffer takes the slot that was offered to the request while it waited, if any.
func (p *proxyRequest) takeOffer() (pool.Choice, bool) {
	server, ok := p.readOffer()
	if !ok {
		return pool.Choice{}, false
	}
	now := time.Now()
	if p.tried[server] || p.atMostOnce() && p.relay.Pool.Suspect(server, now) {
		p.relay.Pool.CancelOnline(server)
		p.passOn(server)
		return pool.Choice{}, false
	}
	choice, ok := p.relay.Pool.ChooseHeld(server, now)
	if ok && !p.position.Allows(&choice.BackendServer) {
		p.relay.Pool.CancelOnline(server)
		p.passOn(server)
		return pool.Choice{}, false
	}
	return choice, ok
}

// readOffer returns the backend server whose slot was offered to the request, if any.
func (p *proxyRequest) readOffer() (server string, ok bool) {
	if p.offered != "" {
		server, p.offered = p.offered, ""
		return server, true
	}
	select {
	case server = <-p.waiter.Offer:
		return server, true
	default:
		return "", false
	}
}

// leaveQueue removes the request from the queue, and passes on slots that were offered to it while it was checked.
func (p *proxyRequest) leaveQueue() {
	p.relay.queue.Remove(p.service, p.waiter)
	for server, ok := p.readOffer(); ok; server, ok = p.readOffer() {
		p.relay.Pool.CancelOnline(server)
		p.relay.OfferSlot(p.service, server)
	}
}

// waitInQueue waits until a slot is offered to the request or for pollInterval. It
// returns false if the caller has disconnected.
func (p *proxyRequest) waitInQueue() bool {
	defer p.timings.add(&p.timings.queued, time.Now())
	p.relay.queue.Add(p.service, p.waiter)
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	select {
	case <-p.ctx.Done():
		return !p.callerLeft()
	case p.offered = <-p.waiter.Offer:
		// waitForAdmission takes the offer.
		return true
	case <-t.C:
		return true
	}
}

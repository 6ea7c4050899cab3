package relay

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
)

const (
	// askTimeout is how long a backend server may take to start its response when it is asked for more events. It is
	// well below the 2 s after which callers of streams disconnect.
	askTimeout = 500 * time.Millisecond
	// checkTimeout is how long it may take to answer a health check, which waits for a slot as a request does.
	checkTimeout = 1500 * time.Millisecond
	// askInterval is the time between two questions to a backend server that has no room.
	askInterval = 100 * time.Millisecond
)

var (
	// errUnexpectedEvent reports a stream that doesn't continue after the requested event.
	errUnexpectedEvent = errors.New("relay: stream does not resume after the requested event")
	errServerGone      = fmt.Errorf("%w: %w: it has ended since", conns.ErrIncomplete, conns.ErrBrokenOff)
	errNoEvent         = fmt.Errorf("%w: %w before the first event", conns.ErrIncomplete, conns.ErrBrokenOff)
	errEndUnproven     = fmt.Errorf("%w: nothing proves that the response is complete", conns.ErrIncomplete)
)

// finish ends an attempt whose response ended in order. Only a response that is known to be complete ends the caller's.
func (p *proxyRequest) finish(resp *conns.Response, e conns.End) (attemptResult, bool) {
	p.end = e
	switch e {
	case conns.EndProven:
		p.proof = resp.Framing().Proof()
	case conns.EndConfirmed:
	case conns.EndUnproven:
		// The caller may have disconnected.
		p.endError = errEndUnproven
		return incomplete, false
	default:
		return incomplete, true
	}
	p.writeHead(resp, -1)
	if p.held != nil {
		if err := p.held.deliver(); err != nil {
			p.cancel()
		}
	}
	p.served(resp)
	return answered, false
}

// askForMore decides what the end of a stream without framing means. A backend server that ends closes its
// connections as at the end of a stream, so the same one is asked for the events after the last one, where the
// route allows it: one that has cut the stream continues it, and one that has completed it sends no event. It returns
// the response, or nil if there is none.
func (p *proxyRequest) askForMore(ended *conns.Response, choice *pool.Choice) (*conns.Response, conns.End) {
	switch {
	case p.events == 0 && p.position.LastEvent == "":
		p.endError = errNoEvent
		return nil, conns.EndNoEvent
	case p.relay.Pool.Leaving(choice.ID):
		// It accepts no requests, but health checks.
		return nil, p.checkInstance(ended, choice)
	case !p.route.Repeatable() || p.unidentified || p.relay.Crashes.Blocked(p.fingerprint, time.Now()) > 0:
		return nil, p.checkInstance(ended, choice)
	}
	resp, err := p.relay.Conns.Send(p.ctx, &choice.BackendServer, p.call, sardinerock.Attempt{
		Instance: choice.Name, Remaining: time.Until(p.endBy()), Position: p.position, HeadTimeout: askTimeout,
	}, nil)
	switch {
	case errors.Is(err, conns.ErrBrokenOff) && !errors.Is(err, syscall.ECONNRESET):
		p.endError, p.proof = err, conns.ProofClosed
		return nil, conns.EndServerGone
	case err != nil:
		return nil, p.checkInstance(ended, choice)
	case !resp.NotRun && resp.Signed && resp.StatusCode < http.StatusMultipleChoices:
		p.proof = conns.ProofInstance
		return resp, conns.EndAsked
	}
	defer resp.Finish()
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		// Another instance has the address; the intended one no longer exists.
		p.endError, p.proof = errServerGone, conns.ProofInstance
		return nil, conns.EndServerGone
	case resp.NotRun:
		// The instance works, but may have cut the stream: the question is repeated once there is room, here or
		// elsewhere.
		p.proof = conns.ProofInstance
		if p.mayResume() {
			p.turnedAway = true
			return nil, conns.EndUnproven
		}
		if !p.pause(askInterval) {
			return nil, conns.EndUnproven
		}
		return p.askForMore(ended, choice)
	}
	return nil, p.checkInstance(ended, choice)
}

// pause waits, and reports whether there is time left for a further request.
func (p *proxyRequest) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.ctx.Done():
		return false
	case <-t.C:
	}
	return time.Until(p.deadline) > minRemaining
}

// checkInstance decides what the end of a response without framing means if its backend server can't be asked to
// continue it: the response is complete if the instance that sent it still answers. One that was to leave may have
// ended after a complete response.
func (p *proxyRequest) checkInstance(ended *conns.Response, choice *pool.Choice) conns.End {
	err := p.relay.Conns.CheckInstance(p.ctx, &choice.BackendServer, p.serviceInfo.HealthPath, checkTimeout)
	switch {
	case err == nil && ended.CheckEnd() != nil:
		// The backend server lives, and has reset this connection meanwhile.
		p.proof = conns.ProofClosed
		return conns.EndBroken
	case err == nil:
		p.proof = conns.ProofInstance
		return conns.EndConfirmed
	case errors.Is(err, conns.ErrOtherInstance):
		p.proof = conns.ProofInstance
	case errors.Is(err, syscall.ECONNREFUSED):
		p.proof = conns.ProofRefused
	case errors.Is(err, syscall.ECONNRESET):
		// A backend server resets connections beyond its limit.
		p.proof = conns.ProofClosed
		return conns.EndUnproven
	case errors.Is(err, conns.ErrBrokenOff):
		p.proof = conns.ProofClosed
	default:
		p.proof = conns.ProofNone
		return conns.EndUnproven
	}
	if p.relay.Pool.Leaving(choice.ID) {
		return conns.EndUnproven
	}
	p.endError = errServerGone
	return conns.EndServerGone
}

// countEnd counts how the response of an attempt ended, unless it was ended here.
func (p *proxyRequest) countEnd(result attemptResult, err error) {
	e := p.end
	switch {
	case p.ctx.Err() != nil:
		return
	case errors.Is(err, conns.ErrInsideEvent):
		e = conns.EndInsideEvent
	case errors.Is(err, conns.ErrTooLarge):
		e = conns.EndTooLarge
	case result != answered && e != conns.EndServerGone && e != conns.EndNoEvent && e != conns.EndUnproven:
		e = conns.EndBroken
	}
	p.relay.count("relay.ends." + string(e))
	p.relay.count("relay.proofs." + string(p.proof))
}

// logTooLarge logs that a backend server sent more bytes than a response may have, or than there is memory for.
func (p *proxyRequest) logTooLarge(choice *pool.Choice, err error) {
	if !errors.Is(err, conns.ErrTooLarge) {
		return
	}
	id, text := event.ResponseTooLarge, "backend server sends bytes without end; its connection is closed"
	if errors.Is(err, conns.ErrNoRoom) {
		p.relay.count("relay.noRoom")
		id, text = event.ResponseNoRoom, "no memory for a response; its connection is closed"
	}
	p.relay.Events.Warn(id).Str("request", p.call.ID).Str("server", choice.ID).Int("events", p.events).Int("runs", p.runs).
		Dur("took", time.Since(p.timings.sent)).Err(err).Msg(text)
}

// logUnproven logs the end of a response whose framing doesn't prove that it is complete.
func (p *proxyRequest) logUnproven(resp *conns.Response, e conns.End) {
	p.relay.Events.Warn(event.EndUnproven).Str("request", p.call.ID).Str("server", resp.Server()).Str("framing", string(resp.Framing())).
		Str("end", string(e)).Str("proof", string(p.proof)).Int("events", p.events).Str("last", p.position.LastEvent).Dur("took", time.Since(p.timings.sent)).
		Msg("the end of a response doesn't prove that it is complete")
}

// callerFraming returns the framing of the caller's response, whose head was sent.
func (p *proxyRequest) callerFraming() conns.Framing {
	if p.writer.Header().Get("Content-Length") != "" {
		return conns.FramingLength
	}
	return conns.FramingChunked
}

// countCallerFraming counts a response by its framing.
func (p *proxyRequest) countCallerFraming() {
	p.relay.count("relay.framings." + string(p.callerFraming()))
}

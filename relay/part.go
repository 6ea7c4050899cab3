package relay

import (
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock/blame"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
)

const (
	// partPatience is how long a request waits, in all, for others that have a suspect part of the prompt in common with
	// it. These begin to write, or fail, within a fraction of that.
	partPatience = 500 * time.Millisecond
	// partPollInterval is the time between two checks whether it has to wait on.
	partPollInterval = 10 * time.Millisecond
)

// partCheck is what a request has to do with parts of prompts that end backend servers.
type partCheck struct {
	// causes are what may end a backend server that runs the request.
	causes []blame.Cause
	// run is the present attempt, and firstEvent the time of its first event; zero if it has none.
	run        *blame.Run
	firstEvent time.Time
	// waited is how long the request has waited for others.
	waited time.Duration
}

// awaitParts waits until no suspect part of the prompt is being tried by another request. It ends the request if
// it holds a part that is known to end backend servers.
func (p *proxyRequest) awaitParts() bool {
	for {
		now := time.Now()
		d := p.relay.Blame.Check(p.part.causes, now)
		switch {
		case d.Action == blame.Allow:
			return true
		case d.Action == blame.Reject || p.part.waited >= partPatience:
			p.rejectParts(d)
			return false
		}
		p.relay.count("relay.partWaits")
		t := time.NewTimer(partPollInterval)
		select {
		case <-p.ctx.Done():
			t.Stop()
			p.timedOut()
			return false
		case <-t.C:
		}
		p.part.waited += time.Since(now)
	}
}

// beginRun records that the request is sent to a backend server, unless it became known meanwhile that it must not be.
func (p *proxyRequest) beginRun(choice *pool.Choice) (sent bool) {
	now := time.Now()
	run, d := p.relay.Blame.Send(p.part.causes, now)
	if d.Action != blame.Allow || !p.relay.Blame.ChargeTrial(p.ctx, run, now) {
		p.release(choice)
		return false
	}
	p.part.run, p.part.firstEvent = run, time.Time{}
	return true
}

// eventForwarded records that the present attempt has brought an event.
func (p *proxyRequest) eventForwarded(now time.Time) {
	if p.part.firstEvent.IsZero() {
		p.part.firstEvent = now
	}
	if now.Sub(p.part.firstEvent) >= blame.SettleTime {
		p.relay.Blame.Began(p.part.run, p.part.firstEvent, now)
	}
}

// completed records that the present attempt brought a complete response.
func (p *proxyRequest) completed() {
	now := time.Now()
	if p.part.firstEvent.IsZero() {
		p.part.firstEvent = now
	}
	p.relay.Blame.Began(p.part.run, p.part.firstEvent, now)
}

// rejectParts sends the final response to a request with a part of the prompt that ends backend servers, or may do so.
// Until a trial has failed the verdict may be wrong, and callers may retry.
func (p *proxyRequest) rejectParts(d blame.Decision) {
	const reason = "backend servers ended when they began to write on a part of this prompt"
	p.relay.count("relay.partRejected")
	var parts []string
	for _, id := range p.call.SharedParts {
		for _, c := range d.Causes {
			if blame.Part(id) == c {
				parts = append(parts, id)
			}
		}
	}
	p.relay.Events.Warn(event.PartRejected).Str("request", p.call.ID).Strs("blamed", parts).Strs("parts", p.call.SharedParts).Str("content", p.content()).
		Bool("suspect", d.Action == blame.Wait).Bool("proven", d.Proven).Int("runs", p.runs).Dur("retryAfter", d.RetryAfter).Msg("a part of the prompt is assumed to end backend servers")
	switch {
	case p.runs > 0:
		p.giveUp(reason, 0)
	case d.Proven:
		p.reject(http.StatusUnprocessableEntity, reason, d.RetryAfter)
	default:
		p.reject(http.StatusServiceUnavailable, reason, d.RetryAfter)
	}
}

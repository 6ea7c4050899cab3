package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/leave"
	"github.com/sardinerock/sardinerock/pool"
)

// leavingRetryAfter is the retry delay sent by an entry that leaves. It is short, as retries reach other entries.
const leavingRetryAfter = 100 * time.Millisecond

// recordRun records how long a complete run took.
func (p *proxyRequest) recordRun(run time.Duration) {
	if p.relay.Shutdown != nil && p.runs == 1 && p.call.ResumeAfter == "" {
		p.relay.Shutdown.Runs.Record(p.route, p.service, run)
	}
}

// callerLeft reports whether the caller has disconnected.
func (p *proxyRequest) callerLeft() bool {
	return errors.Is(p.ctx.Err(), context.Canceled) && !errors.Is(context.Cause(p.ctx), leave.ErrEnded)
}

// endBy returns when the request ends at the latest: at its own deadline, or with the shutdown of this entry.
func (p *proxyRequest) endBy() time.Time { return p.relay.Shutdown.Before(p.deadline) }

// checkShutdown rejects the request if this entry leaves before the request could end at a backend server. A stream that
// has begun goes on: its caller can resume it elsewhere as well.
func (p *proxyRequest) checkShutdown(choice *pool.Choice) bool {
	end, leaving := p.relay.Shutdown.End()
	if !leaving {
		return true
	}
	now := time.Now()
	expected, known := p.relay.Shutdown.Runs.Expected(p.route)
	expected = p.relay.Pool.RunOn(choice.ID, expected)
	sent := p.started || p.relay.Shutdown.CanEnd(now, p.deadline, expected)
	p.relay.Events.Info(event.LeavingChecked).Str("request", p.call.ID).Str("route", p.route.Name).Str("server", choice.ID).Int("runs", p.runs).
		Dur("left", end.Sub(now)).Dur("expected", expected).Bool("known", known).Bool("sent", sent).Msg("request checked during the shutdown")
	if !sent {
		p.release(choice)
		p.giveUp("this entry shuts down before the request could end", leavingRetryAfter)
	}
	return sent
}

// mustLeave rejects a request that waits for a slot and can't end any more, even if it gets one now.
func (p *proxyRequest) mustLeave() bool {
	if _, leaving := p.relay.Shutdown.End(); !leaving || p.started {
		return false
	}
	expected, _ := p.relay.Shutdown.Runs.Expected(p.route)
	if p.relay.Shutdown.CanEnd(time.Now(), p.deadline, expected) {
		return false
	}
	p.giveUp("this entry shuts down before the request could end", leavingRetryAfter)
	return true
}

package runner

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blame"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/invoke"
	"github.com/sardinerock/sardinerock/pool"
)

// errPartBlamed keeps an item from being sent that has a part of the prompt which ends backend servers, or may do so.
var errPartBlamed = errors.New("runner: a part of the item's prompt may end backend servers")

// causes returns what may end a backend server that runs an item.
func (r *Runner) causes(host, team string, body *sardinerock.BatchItem) []blame.Cause {
	return blame.Causes(r.Batch.ItemCall(host, team, body).SharedParts, xxhash.Sum64(body.Body))
}

// held reports whether an item has to wait because of a part of its prompt. It isn't a failed run, and the other items
// of its job pass it.
func (r *Runner) held(c *candidate) bool {
	if r.Blame.Quiet() {
		return false
	}
	d := r.Blame.Check(blame.PartsOf(r.causes(c.Host, c.Team, c.body)), time.Now())
	if d.Action != blame.Reject {
		return d.Action == blame.Wait
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.itemOf(c)
	if !i.held {
		i.held = true
		var causes []string
		for _, cause := range d.Causes {
			causes = append(causes, strconv.FormatUint(uint64(cause), 16))
		}
		r.Events.Warn(event.ItemHeld).Str("job", c.Job).Str("item", c.body.ID).Strs("causes", causes).Bool("proven", d.Proven).
			Dur("delay", d.RetryAfter).Msg("a part of the item's prompt is assumed to end backend servers; the item waits")
	}
	return true
}

// partRun follows a run of an item for what it shows about the parts of its prompt.
type partRun struct {
	tracker *blame.Tracker
	run     *blame.Run
	// firstEvent is the time of the first event of the run; zero if there is none.
	firstEvent time.Time
}

// send is called right before the item is sent.
func (p *partRun) send(ctx context.Context, causes []blame.Cause) error {
	now := time.Now()
	run, d := p.tracker.SendItem(causes, now)
	if d.Action != blame.Allow || !p.tracker.ChargeTrial(ctx, run, now) {
		return errPartBlamed
	}
	p.run = run
	return nil
}

func (p *partRun) event(now time.Time) {
	if p.firstEvent.IsZero() {
		p.firstEvent = now
	}
	if now.Sub(p.firstEvent) >= blame.SettleTime {
		p.tracker.Began(p.run, p.firstEvent, now)
	}
}

// end is called when the run has ended. brokenOff is set if the backend server ended the connection.
func (p *partRun) end(outcome invoke.Outcome, brokenOff bool, server string) {
	if p.run == nil {
		return
	}
	now := time.Now()
	switch {
	case outcome == invoke.Succeeded:
		if p.firstEvent.IsZero() {
			p.firstEvent = now
		}
		p.tracker.Began(p.run, p.firstEvent, now)
	case brokenOff:
		p.tracker.Failed(p.run, pool.Hash(server), now)
	default:
		p.tracker.Done(p.run)
	}
}

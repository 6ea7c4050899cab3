package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
)

// reserveTries bounds how many backend servers are asked for a slot before the
// request goes to one without: each takes a round trip.
const reserveTries = 5

// reserved picks a backend server and reserves a slot there, if the service
// reserves any. The load that it answers: bursts that fill nine in ten slots,
// seen by thirty entries whose counts of each other are 100 ms old. One request
// in six then goes to a backend server that has no slot left, while others
// have, and waits there behind a whole answer, since engines take requests in
// order of arrival.
func (p *pass) reserved() (pool.Choice, bool) {
	p.reservation = nil
	for try := 0; ; try++ {
		choice, ok := p.admitted()
		if !ok || !p.reserves(&choice, try) {
			return choice, ok
		}
		reservation, err := p.relay.Conns.Reserve(p.ctx, &choice.BackendServer, p.call.Tokens, p.holds)
		if reservation != nil {
			p.reservation = reservation
			return choice, true
		}
		now := time.Now()
		p.relay.Pool.Done(choice.ID, false, err != nil && p.ctx.Err() == nil, now)
		if err == nil {
			p.relay.Pool.NoteFull(choice.ID, now)
		}
		p.relay.count("relay.unreserved")
		p.relay.Events.Info(event.NotReserved).Str("request", p.call.ID).Str("server", choice.ID).Int("online", choice.Online).
			Int("batch", choice.Batch).Int("slots", choice.Slots).Err(err).Msg("no slot reserved")
		if p.ctx.Err() != nil {
			p.outOfTime()
			return choice, false
		}
	}
}

// reserves says whether a slot is to be reserved at a backend server: not where
// one is known to be taken, by batch items that give way or by what the request
// is to wait behind.
func (p *pass) reserves(choice *pool.Choice, try int) bool {
	return p.holds > 0 && p.call.Tokens > 0 && !choice.Full() && try < reserveTries
}

// outOfTime ends a request whose caller left or whose time is up.
func (p *pass) outOfTime() {
	if errors.Is(p.ctx.Err(), context.Canceled) {
		p.left()
		return
	}
	p.giveUp("the time is up", fullRetry)
}

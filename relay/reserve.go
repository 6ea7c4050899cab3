package relay

import (
	"time"

	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
)

// reserveAttempts limits how many backend servers are asked for a slot in a row;
// each takes a round trip. After that the request waits in the queue.
const reserveAttempts = 5

const (
	// preemptPause is the time after a preemption until the first attempt to reserve the
	// item's slot: a datagram, the closing of a connection, and the engine's next step.
	preemptPause = 6 * time.Millisecond
	// preemptAttempts is the number of these attempts, with a pause that doubles.
	preemptAttempts = 3
)

// chooseReserved chooses a backend server and reserves a slot there, if the service
// supports reservations.
//
// It is designed for bursts that fill nine in ten slots, at thirty entries whose
// views of each other's loads are 100 ms old. Without reservations one request in
// six would go to a backend server without a free slot, although others have one, and
// would wait there for a whole response, since engines process requests in order of
// arrival.
func (p *proxyRequest) chooseReserved() (pool.Choice, bool) {
	p.reservation = nil
	for attempt := 1; ; attempt++ {
		choice, ok := p.waitForAdmission()
		if !ok || !p.canReserve() || attempt > reserveAttempts && !p.fitsSlot() {
			return choice, ok
		}
		// The request is sent without a reservation if all slots run online work, since
		// it has too little time left to wait here.
		if choice.Full() && choice.Batch == 0 {
			return choice, ok
		}
		if p.reserve(&choice) {
			return choice, true
		}
		if p.ctx.Err() != nil || attempt%reserveAttempts == 0 && !p.waitInQueue() {
			p.timedOut()
			return choice, false
		}
	}
}

// reserve reserves a slot at a backend server. If batch items hold the last slots,
// one of them is preempted first. The request is not sent before its slot is reserved:
// several entries may preempt the same item, and only one of them gets its slot. The
// requests of the others would wait there for a whole response of online work. The more
// entries there are, the more often that happens.
func (p *proxyRequest) reserve(choice *pool.Choice) bool {
	attempts, pause := 1, time.Duration(0)
	if choice.Full() {
		p.relay.Preempt(choice.ID)
		attempts, pause = preemptAttempts, preemptPause
	}
	var err error
	for range attempts {
		start := time.Now()
		if pause > 0 && !await.Sleep(p.ctx, pause) {
			break
		}
		p.reservation, err = p.relay.Conns.Reserve(p.ctx, &choice.BackendServer, p.call.Tokens, p.serviceInfo.ReservationTTL)
		p.timings.add(&p.timings.reserving, start)
		if p.reservation != nil {
			p.relay.Pool.RecordReserved(choice.ID)
			if choice.Full() {
				choice.Batch--
			}
			return true
		}
		if err != nil {
			break
		}
		pause *= 2
	}
	p.reservationFailed(choice, err)
	return false
}

// reservationFailed handles a backend server that did not reserve a slot.
func (p *proxyRequest) reservationFailed(choice *pool.Choice, err error) {
	now := time.Now()
	if err == nil || p.ctx.Err() != nil {
		p.relay.Pool.CancelOnline(choice.ID)
	} else {
		p.relay.Pool.Done(choice.ID, false, true, now)
	}
	if err == nil && p.fitsSlot() {
		p.relay.Pool.RecordFull(choice.ID, now)
	}
	p.relay.count("relay.unreserved")
	p.relay.Events.Info(event.NotReserved).Str("request", p.call.ID).Str("server", choice.ID).Int("online", choice.Online).
		Int("batch", choice.Batch).Int("slots", choice.Slots).
		Str("right", string(choice.Right)).Err(err).Msg("backend server reserved no slot")
}

// canReserve reports whether a slot can be reserved for the request.
func (p *proxyRequest) canReserve() bool {
	return p.serviceInfo.ReservationTTL > 0 && p.call.Tokens > 0
}

// fitsSlot reports whether the request needs no more memory than a slot's share. A
// larger one may be rejected although slots are free. If that marked the backend
// server as full, one request that is too large for every backend server would block
// all others. In the end it is sent without a reservation, and the engine decides.
func (p *proxyRequest) fitsSlot() bool { return p.serviceInfo.FitsSlot(p.call.Tokens) }

// timedOut ends a request whose caller has disconnected or whose time has expired.
func (p *proxyRequest) timedOut() {
	if p.callerLeft() {
		p.callerDisconnected()
		return
	}
	p.giveUp("the time is up", busyRetryAfter)
}

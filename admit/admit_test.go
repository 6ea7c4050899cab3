package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	base := Request{Online: 8, Slots: 8, Run: 700 * ms, FirstByte: 40 * ms, Remaining: 5 * time.Second, StartTimeout: 5 * time.Second, Target: 300 * ms, Stream: true, Share: 18}
	for name, test := range map[string]struct {
		change func(a *Request)
		want   Action
	}{
		"a free slot":                                      {func(a *Request) { a.Online = 7; a.Waited = time.Second }, Send},
		"new, short queue":                                 {func(*Request) {}, Send},
		"new, long queue":                                  {func(a *Request) { a.Online = 12 }, Wait},
		"a stream is resumed":                              {func(a *Request) { a.Online = 16; a.Started = true; a.Waited = time.Second }, Send},
		"already late":                                     {func(a *Request) { a.Waited = 400 * ms }, Wait},
		"late, time runs short":                            {func(a *Request) { a.Waited = 3 * time.Second; a.Remaining = 1400 * ms }, Send},
		"late, time runs short, backend queue full":        {func(a *Request) { a.Online = 16; a.Waited = 3 * time.Second; a.Remaining = 1400 * ms }, Reject},
		"more queued than can be served":                   {func(a *Request) { a.Waited = time.Second; a.Ahead, a.Share = 10, 1 }, Reject},
		"not a stream, answer must be complete":            {func(a *Request) { a.Stream = false }, Wait},
		"reserves, all slots taken":                        {func(a *Request) { a.Reserves = true }, Wait},
		"reserves, new, last slot":                         {func(a *Request) { a.Reserves = true; a.Online = 7 }, Send},
		"reserves, late, last slot":                        {func(a *Request) { a.Reserves = true; a.Online = 7; a.Waited = time.Second }, Send},
		"reserves, late, no more free slots than headroom": {func(a *Request) { a.Reserves, a.Online, a.Waited, a.Headroom = true, 6, time.Second, 2 }, Wait},
		"reserves, late, more free slots than headroom":    {func(a *Request) { a.Reserves, a.Online, a.Waited, a.Headroom = true, 5, time.Second, 2 }, Send},
		"reserves, new, headroom":                          {func(a *Request) { a.Reserves, a.Online, a.Headroom = true, 7, 2 }, Send},
		"late, on-time requests wait":                      {func(a *Request) { a.Online, a.Waited, a.MustYield = 5, time.Second, true }, Wait},
		"late, on-time requests wait, caller about to disconnect": {func(a *Request) {
			a.Online, a.Waited, a.MustYield, a.StartTimeout = 5, time.Second, true, 80*ms
		}, Send},
		"reserves, late, time runs short": {func(a *Request) {
			a.Reserves, a.Online, a.Waited, a.Remaining = true, 7, 3*time.Second, 2*time.Second
		}, Send},
		"no slot before the caller disconnects": {func(a *Request) { a.Reserves, a.StartTimeout, a.Ahead = true, 2*time.Second, 80 }, Reject},
		"a slot before the caller disconnects":  {func(a *Request) { a.Reserves, a.StartTimeout, a.Ahead = true, 2*time.Second, 20 }, Wait},
		"caller about to disconnect":            {func(a *Request) { a.Reserves, a.StartTimeout = true, 160*ms }, Send},
		"caller disconnects before a slot is free": {func(a *Request) {
			a.Reserves, a.StartTimeout, a.Online = true, 160*ms, 10
		}, Reject},
		"too late to answer before the caller disconnects": {func(a *Request) { a.Reserves, a.StartTimeout = true, 30*ms }, Reject},
		"short run, long queue":                            {func(a *Request) { a.Stream = false; a.Run = 30 * ms; a.Online = 16 }, Send},
	} {
		t.Run(name, func(t *testing.T) {
			a := base
			test.change(&a)
			NewWithT(t).Expect(a.Decide().Action).To(Equal(test.want))
		})
	}
}

// After a failure of all entries for two seconds, at twice the mean load, all
// callers of that time retry at once while the normal load continues. If requests
// are sent as they arrive, they share one queue and new requests are late until it
// is empty. If late requests wait at the entry, new requests stay on time.
func TestNewRequestsDontWaitBehindLateOnes(t *testing.T) {
	g := NewWithT(t)
	unordered := simulateReconnect(func(*Request) Action { return Send })
	ordered := simulateReconnect(admitDecision)
	t.Logf("on time of %d new requests: %d sent as they arrive, %d with Decide; answered in all: %d and %d of %d",
		unordered.initial, unordered.onTime, ordered.onTime, unordered.served, ordered.served, unordered.arrived)
	g.Expect(ordered.onTime).To(BeNumerically(">=", ordered.initial*9/10))
	g.Expect(ordered.onTime).To(BeNumerically(">", unordered.onTime*5/4))
	g.Expect(ordered.served).To(Equal(ordered.arrived), "no request may be lost")
}

// admitDecision uses the decision of the code under test.
func admitDecision(a *Request) Action { return a.Decide().Action }

// outcome counts what happened to the requests of a simulation.
type outcome struct{ arrived, initial, onTime, served int }

// simulateReconnect simulates the retries in steps of 1 ms with one queue for all
// slots: 144 slots, runs of 0.35 to 1.05 s, 100 requests a second and 250 at once.
func simulateReconnect(decide func(a *Request) Action) outcome {
	const slots, run, rate, retries = 144, 700, 100, 250
	random := rand.New(rand.NewPCG(1, 1))
	type request struct{ arrived, waited int }
	var queue, queued []request
	busy := make([]int, 0, slots)
	var result outcome
	admit := func(now int, r request) bool {
		a := Request{
			Online: (len(busy) + len(queue)) * 8 / slots, Slots: 8, Run: run * ms, FirstByte: 40 * ms, Target: 300 * ms, Stream: true,
			Waited: time.Duration(r.waited+now-r.arrived) * ms, Remaining: time.Duration(5000-r.waited-(now-r.arrived)) * ms,
			StartTimeout: 5 * time.Second, Share: slots,
		}
		if decide(&a) != Send {
			return false
		}
		queue = append(queue, r)
		return true
	}
	for now := range 8000 {
		var arrivals []request
		if now == 0 {
			for n := range retries {
				arrivals = append(arrivals, request{arrived: 0, waited: 300 + 8*n%1900})
			}
		}
		if now < 3000 && now%(1000/rate) == 0 {
			arrivals = append(arrivals, request{arrived: now})
			result.initial++
		}
		result.arrived += len(arrivals)
		still := busy[:0]
		for _, end := range busy {
			if end > now {
				still = append(still, end)
			}
		}
		busy = still
		for _, r := range arrivals {
			if !admit(now, r) {
				queued = append(queued, r)
			}
		}
		if now%15 == 0 {
			waiting := queued
			queued = nil
			for _, r := range waiting {
				if !admit(now, r) {
					queued = append(queued, r)
				}
			}
		}
		for len(queue) > 0 && len(busy) < slots {
			r := queue[0]
			queue = queue[1:]
			took := run/2 + random.IntN(run)
			busy = append(busy, now+took)
			if r.waited+now-r.arrived+took <= 5000 {
				result.served++
			}
			if r.waited == 0 && now-r.arrived+20 <= 300 {
				result.onTime++
			}
		}
	}
	return result
}

// After a failure of all entries for two seconds, engines still run earlier
// requests, so few slots are free, and all callers of that time retry at once. If
// late requests took each free slot, requests that arrive a moment later would
// find none and be late as well, until all late requests are done. So late
// requests yield to waiting ones that are on time, and none of them is lost.
func TestLateRequestsYieldToNewOnes(t *testing.T) {
	g := NewWithT(t)
	unyielding, yielding := simulateReserved(false), simulateReserved(true)
	t.Logf("on time of %d new requests: %d without yielding, %d with; answered: %d and %d of %d",
		yielding.initial, unyielding.onTime, yielding.onTime, unyielding.served, yielding.served, yielding.arrived)
	g.Expect(yielding.onTime).To(BeNumerically(">=", yielding.initial*6/10))
	g.Expect(yielding.onTime).To(BeNumerically(">", unyielding.onTime*3/2))
	g.Expect(yielding.served).To(Equal(yielding.arrived), "no request may be lost")
}

// queuedRequest is a request that waits at an entry in a simulation.
type queuedRequest struct {
	arrived, waited int
	waiter          *Waiter
}

// simulateReserved simulates the retries in steps of 1 ms on 18 backend servers
// with 8 slots, five of them occupied by runs that last up to two seconds: 300
// late requests at once and 60 new ones a second, runs of 0.7 s. Each request
// polls for a slot every 15 ms; with yield set, late requests yield.
func simulateReserved(yield bool) outcome {
	const servers, slots, run, retries = 18, 8, 700, 300
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	var busy [servers][]int
	for n := range busy {
		for range 5 {
			busy[n] = append(busy[n], random.IntN(2000))
		}
	}
	q := &Queue{}
	var queued []queuedRequest
	var result outcome
	enqueue := func(arrived, waited int) {
		r := queuedRequest{arrived, waited, NewWaiter(start.Add(time.Duration(arrived-waited)*ms), 300*ms, 40*ms)}
		queued = append(queued, r)
		q.Add("s", r.waiter)
		result.arrived++
	}
	admit := func(now int, r queuedRequest) bool {
		least := 0
		for n := range busy {
			if len(busy[n]) < len(busy[least]) {
				least = n
			}
		}
		waited := r.waited + now - r.arrived
		a := Request{
			Online: len(busy[least]), Slots: slots, Run: run * ms, FirstByte: 40 * ms, Target: 300 * ms, Stream: true, Reserves: true,
			Waited: time.Duration(waited) * ms, Remaining: time.Duration(5000-waited) * ms, StartTimeout: 5 * time.Second, Share: slots * servers,
			MustYield: yield && q.MustYield("s", r.waiter, start.Add(time.Duration(now)*ms)),
		}
		if a.Decide().Action != Send || len(busy[least]) >= slots {
			return false
		}
		q.Remove("s", r.waiter)
		busy[least] = append(busy[least], now+run/2+random.IntN(run))
		result.served++
		if r.waited == 0 && now-r.arrived+20 <= 300 {
			result.onTime++
		}
		return true
	}
	for now := range 6000 {
		for n := range busy {
			still := busy[n][:0]
			for _, end := range busy[n] {
				if end > now {
					still = append(still, end)
				}
			}
			busy[n] = still
		}
		if now == 0 {
			for n := range retries {
				enqueue(0, 300+8*n%1900)
			}
		}
		if now < 3000 && now%16 == 0 {
			enqueue(now, 0)
			result.initial++
		}
		if now%15 != 0 {
			continue
		}
		waiting := queued
		queued = nil
		for _, r := range waiting {
			if !admit(now, r) {
				queued = append(queued, r)
			}
		}
	}
	return result
}

// Callers that are rejected together must not all retry together: their delays must be
// spread evenly, also next to the bounds.
func TestRetryDelaysAreSpread(t *testing.T) {
	g := NewWithT(t)
	for _, after := range []time.Duration{minRetryAfter, 700 * ms, maxRetryAfter} {
		least, most := SpreadRetry(after, 0), SpreadRetry(after, 0.999999)
		g.Expect(least).To(BeNumerically(">=", minRetryAfter))
		g.Expect(most).To(BeNumerically("<=", maxRetryAfter))
		g.Expect(most - least).To(BeNumerically(">=", 99*ms))
		g.Expect(SpreadRetry(after, 0.5)).To(BeNumerically("~", (least+most)/2, ms))
	}
}

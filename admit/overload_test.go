package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// overload is a load larger than the slots can serve.
type overload struct {
	slots, run int
	// factor is the load as a multiple of what the slots can serve, burst its length
	// in ms, startTimeout how long callers wait for the first event, in ms.
	factor              float64
	burst, startTimeout int
}

// callerCounts counts what happened to the callers of an overload.
type callerCounts struct {
	arrived, onTime, late, rejected, disconnected int
	// maxWait is the longest time in ms that a rejected caller had waited.
	maxWait int
}

// simulate simulates the overload at one entry in steps of 1 ms; requests poll
// every 15 ms for slots that ended runs have freed.
func (o *overload) simulate() callerCounts {
	type request struct {
		arrived int
		waiter  *Waiter
	}
	const firstByte = 40
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	queue := &Queue{}
	var counts callerCounts
	var queued []request
	var busy []int
	due := 0.0
	for now := range o.burst + 4*o.startTimeout {
		clock := start.Add(time.Duration(now) * ms)
		still := busy[:0]
		for _, end := range busy {
			if end > now {
				still = append(still, end)
			}
		}
		busy = still
		if now < o.burst {
			due += o.factor * float64(o.slots) / float64(o.run)
		}
		for ; due >= 1; due-- {
			queued = append(queued, request{now, NewWaiter(clock, 300*ms, firstByte*ms)})
			counts.arrived++
		}
		if now%15 != 0 {
			continue
		}
		for _, r := range queued {
			queue.Add("s", r.waiter)
		}
		waiting := queued
		queued = nil
		for _, r := range waiting {
			queue.Remove("s", r.waiter)
			waited := now - r.arrived
			if waited >= o.startTimeout {
				counts.disconnected++
				continue
			}
			a := Request{
				Online: len(busy) * 8 / o.slots, Slots: 8, Run: time.Duration(o.run) * ms, FirstByte: firstByte * ms, Target: 300 * ms, Stream: true,
				Reserves: true, Waited: time.Duration(waited) * ms, Remaining: time.Duration(5000-waited) * ms,
				StartTimeout: time.Duration(o.startTimeout-waited) * ms, Ahead: queue.Ahead("s", r.waiter, clock), Share: o.slots,
				MustYield: queue.MustYield("s", r.waiter, clock),
			}
			d := a.Decide()
			switch {
			case d.Action == Reject:
				counts.rejected++
				counts.maxWait = max(counts.maxWait, waited)
			case d.Action == Send && len(busy) < o.slots:
				busy = append(busy, now+o.run/2+random.IntN(o.run))
				if waited+firstByte <= 300 {
					counts.onTime++
				} else {
					counts.late++
				}
			default:
				queue.Add("s", r.waiter)
				queued = append(queued, r)
			}
		}
		for _, r := range queued {
			queue.Remove("s", r.waiter)
		}
	}
	return counts
}

// More streams arrive than the slots can serve, for a short or a long time, and
// callers disconnect after two or three seconds without an event. A caller that
// can't get a slot by then must be rejected before it disconnects, and at once if
// that is already certain. The slots must stay in use.
func TestCallersAreRejectedBeforeTheyDisconnect(t *testing.T) {
	for name, o := range map[string]overload{
		"overload of a tenth, long":                {slots: 144, run: 700, factor: 1.1, burst: 20000, startTimeout: 2000},
		"overload of a half, two seconds":          {slots: 144, run: 700, factor: 1.5, burst: 2000, startTimeout: 2000},
		"overload of a half, long":                 {slots: 144, run: 700, factor: 1.5, burst: 20000, startTimeout: 2000},
		"three times the capacity, half a second":  {slots: 144, run: 700, factor: 3, burst: 500, startTimeout: 2000},
		"three times the capacity, long":           {slots: 144, run: 700, factor: 3, burst: 20000, startTimeout: 2000},
		"three times the capacity, few slots":      {slots: 16, run: 400, factor: 3, burst: 8000, startTimeout: 3000},
		"overload of a half, long runs":            {slots: 144, run: 4000, factor: 1.5, burst: 20000, startTimeout: 2000},
		"overload of a half, many backend servers": {slots: 1200, run: 700, factor: 1.5, burst: 4000, startTimeout: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			counts := o.simulate()
			t.Logf("%+v", counts)
			g.Expect(counts.disconnected).To(BeZero())
			g.Expect(counts.onTime + counts.late + counts.rejected).To(Equal(counts.arrived))
			possible := float64(o.slots*(o.burst+260)) / float64(o.run)
			g.Expect(float64(counts.onTime + counts.late)).To(BeNumerically(">=", 0.9*min(possible, float64(counts.arrived))))
		})
	}
}

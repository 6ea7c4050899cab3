package admit

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkQueue measures all queue operations for one request, with 10,000 others waiting.
func BenchmarkQueue(b *testing.B) {
	now := time.Unix(1000, 0)
	q := &Queue{}
	for n := range 10_000 {
		q.Add("s", NewWaiter(now.Add(time.Duration(n-5000)*time.Millisecond), queueTarget, 40*time.Millisecond))
	}
	w := NewWaiter(now, queueTarget, 40*time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		q.Ahead("s", w, now)
		q.Add("s", w)
		q.MustYield("s", w, now)
		q.Remove("s", w)
	}
}

// BenchmarkQueueOfTeams measures all queue operations for one request of a team, from its
// arrival to the end of its run, with 10,000 others of 2,000 teams waiting, of which one sends
// half of all requests.
func BenchmarkQueueOfTeams(b *testing.B) {
	now := time.Unix(1000, 0)
	q := &Queue{}
	waiter := func(n int) *Waiter {
		w := NewWaiter(now.Add(time.Duration(n%10_000-5000)*time.Millisecond), queueTarget, 40*time.Millisecond)
		if w.Priority = n % 3; n%2 == 0 {
			w.Team = "team-" + strconv.Itoa(n/2%2000)
		}
		return w
	}
	var waiters []*Waiter
	for n := range 20_000 {
		w := waiter(n)
		waiters = append(waiters, w)
		q.Arrive("s", w, 3, 90, now)
		if n < 10_000 {
			q.Add("s", w)
		}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Microsecond)
		w := waiters[10_000+n%10_000]
		q.Arrive("s", w, 3, 90, now)
		q.Ahead("s", w, now)
		q.MustYield("s", w, now)
		q.AboveShare("s", w, now)
		q.Add("s", w)
		q.Remove("s", w)
		q.Start("s", w, time.Second, now)
		q.End("s", w, time.Second, now)
	}
}

func BenchmarkDecide(b *testing.B) {
	a := Request{
		Online: 9, Slots: 8, Run: 700 * ms, FirstByte: 40 * ms, Remaining: 4 * time.Second, StartTimeout: 2 * time.Second, Target: 300 * ms,
		Stream: true, Reserves: true, Ahead: 10, Share: 18,
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Decide()
	}
}

package sched_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sardinerock/sardinerock/sched"
)

// order is a queue as the fair one and its baselines have it.
type order interface {
	Push(i sched.Item)
	Pop() (sched.Item, bool)
}

type fifo struct{ items []sched.Item }

func (f *fifo) Push(i sched.Item) { f.items = append(f.items, i) }

func (f *fifo) Pop() (sched.Item, bool) {
	if len(f.items) == 0 {
		return sched.Item{}, false
	}
	i := f.items[0]
	f.items = f.items[1:]
	return i, true
}

// turns gives each caller one request per turn.
type turns struct {
	lines map[string]*fifo
	turn  []string
}

func (r *turns) Push(i sched.Item) {
	if r.lines[i.Caller] == nil {
		r.lines[i.Caller] = &fifo{}
		r.turn = append(r.turn, i.Caller)
	}
	r.lines[i.Caller].Push(i)
}

func (r *turns) Pop() (sched.Item, bool) {
	for range r.turn {
		next := r.turn[0]
		r.turn = append(r.turn[1:], next)
		if i, ok := r.lines[next].Pop(); ok {
			return i, true
		}
	}
	return sched.Item{}, false
}

// A script has 500 short requests waiting, a report tool some of 2,000 tokens.
// A tutor asks for a 50-token comment now and then. In a line it waits for the
// script's whole backlog; with turns it waits for a long request nearly each
// time; by tokens it waits for one only when the tool's share has come round.
func TestTutorAmongScriptAndReports(t *testing.T) {
	x := NewWithT(t)
	answered := make(map[string]int)
	for name, q := range map[string]order{"fifo": &fifo{}, "turns": &turns{lines: map[string]*fifo{}}, "fair": &sched.Queue{}} {
		id, served := 0, 0.0
		push := func(caller string, cost float64) {
			id++
			q.Push(sched.Item{ID: strconv.Itoa(id), Caller: caller, Cost: cost})
		}
		for range 500 {
			push("script", 100)
		}
		for range 40 {
			push("reports", 2000)
		}
		push("tutor", 50)
		for served < 60000 {
			i, _ := q.Pop()
			if i.Caller == "tutor" {
				answered[name]++
				push("tutor", 50)
			}
			served += i.Cost
		}
	}
	t.Logf("comments answered, one asked after the other, while 60,000 tokens are served: %v", answered)
	x.Expect(answered["fair"]).To(BeNumerically(">", 5*answered["turns"]))
	x.Expect(answered["fifo"]).To(BeZero())
}

// Over a long backlog each gets its weight's part of the tokens, at each level,
// and a caller that was silent for 100,000 tokens gets no more than its part.
func TestSharesFollowWeights(t *testing.T) {
	for name, c := range map[string]struct {
		a, b  sched.Item
		part  float64
		early int
	}{
		"teams 10 to 1":               {a: sched.Item{Team: "a", TeamWeight: 500}, b: sched.Item{Team: "b", TeamWeight: 50}, part: 10.0 / 11},
		"callers 3 to 1":              {a: sched.Item{Caller: "a", Weight: 3}, b: sched.Item{Caller: "b", Weight: 1}, part: 0.75},
		"keys alike":                  {a: sched.Item{Key: "a"}, b: sched.Item{Key: "b"}, part: 0.5},
		"no credit from idle time":    {a: sched.Item{Caller: "a"}, b: sched.Item{Caller: "b"}, part: 0.5, early: 1000},
		"costs 1 to 10, shares alike": {a: sched.Item{Caller: "a", Cost: 10}, b: sched.Item{Caller: "b", Cost: 100}, part: 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			var q sched.Queue
			push := func(i sched.Item, n int) {
				for range n {
					i.ID = strconv.Itoa(q.Len()) + i.Team + i.Caller + i.Key
					i.Cost = max(i.Cost, 10)
					q.Push(i)
				}
			}
			push(c.b, 2000)
			for range c.early {
				q.Pop()
			}
			push(c.a, 2000)
			servedA, served := 0.0, 0.0
			for served < 9000 {
				i, _ := q.Pop()
				served += i.Cost
				if i.Team+i.Caller+i.Key == "a" {
					servedA += i.Cost
				}
			}
			NewWithT(t).Expect(servedA / served).To(BeNumerically("~", c.part, 0.02))
		})
	}
}

// Whatever is pushed, popped, removed and settled: each item comes out once, and
// the backlog is the sum of what waits.
func TestQueueKeepsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q sched.Queue
		waiting := make(map[string]sched.Item)
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "do") {
			case 0, 1:
				i := sched.Item{
					ID: strconv.Itoa(n), Team: rapid.StringMatching("[ab]").Draw(t, "team"), Caller: rapid.StringMatching("[ab]").Draw(t, "caller"),
					Key: rapid.StringMatching("[ab]").Draw(t, "key"), Weight: n % 3, Cost: float64(rapid.IntRange(1, 100).Draw(t, "cost")),
				}
				q.Push(i)
				waiting[i.ID] = i
			case 2, 3:
				next, _ := q.Next()
				i, ok := q.Pop()
				if ok != (len(waiting) > 0) || next.ID != i.ID {
					t.Fatalf("Pop gave %v, %v of %d, Next %v", i, ok, len(waiting), next)
				}
				delete(waiting, i.ID)
				q.Settle(i, float64(rapid.IntRange(-50, 50).Draw(t, "settle")))
			case 4:
				for id := range waiting {
					if _, ok := q.Remove(id); !ok {
						t.Fatalf("lost %s", id)
					}
					delete(waiting, id)
					break
				}
			}
			sum := 0.0
			for _, i := range waiting {
				sum += i.Cost
			}
			if q.Len() != len(waiting) || q.Backlog() != sum {
				t.Fatalf("%d items of %v, want %d of %v", q.Len(), q.Backlog(), len(waiting), sum)
			}
		}
	})
}

func BenchmarkPushPopAmong10000(b *testing.B) {
	var q sched.Queue
	item := func(n int) sched.Item {
		s := strconv.Itoa(n % 1800)
		return sched.Item{ID: strconv.Itoa(n), Team: s, Caller: s, Key: strconv.Itoa(n % 7), Cost: float64(n%300 + 1)}
	}
	for n := range 10000 {
		q.Push(item(n))
	}
	b.ReportAllocs()
	for n := 10000; b.Loop(); n++ {
		q.Push(item(n))
		q.Pop()
	}
}

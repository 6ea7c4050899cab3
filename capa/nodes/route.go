package nodes

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/gate"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/route"
)

// Routing gives what a routing decision and a report cost, by the backend servers that the entry knows.
func Routing(r *meter.Report) error {
	var pick, update, mem []meter.Point
	for _, n := range []int{60, 250, 1000} {
		before := meter.Memory()
		table := &route.Table{Random: rand.New(rand.NewPCG(1, 2))}
		now := time.Now()
		backend := func(i int) route.Backend {
			return route.Backend{
				ID: fmt.Sprint("side-", i), Zone: fmt.Sprint("zone-", i%3), Slots: 24, OnlineRunning: i % 20, Up: true, ConfigVersion: 1,
				Loaded:   []sardinerock.LoadedModel{{Model: "draft", Version: "1"}},
				TokenGap: 30 * time.Millisecond, ReportAt: now,
			}
		}
		for i := range n {
			b := backend(i)
			table.Update(now, b)
			prefixes := make([]uint64, 100)
			for j := range prefixes {
				prefixes[j] = rand.Uint64()
			}
			table.CacheEvent(b.ID, prefixes, nil)
		}
		size := float64(n)
		mem = append(mem, meter.At(size, meter.Memory()-before))
		query := route.Query{Model: "draft", Version: "1", Zone: "zone-1", Prefixes: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}
		pick = append(pick, meter.At(size, meter.Timed(func() { table.Pick(now, query) })))
		b := backend(n / 2)
		update = append(update, meter.At(size, meter.Timed(func() { table.Update(now, b) })))
	}
	r.Slope("routing decision: CPU", "us", "candidate", pick...)
	r.Slope("report taken into the routing table: CPU", "us", "backend server", update...)
	r.Slope("backend server in the routing table, 100 prefixes: memory", "B", "backend server", mem...)
	measurePrefixes(r)
	return nil
}

// measurePrefixes gives what a prefix in the cache of a backend server costs an entry that knows 65 of them.
func measurePrefixes(r *meter.Report) {
	var mem []meter.Point
	const backends = 65
	for _, n := range []int{100, 400, 1600, 6400} {
		before := meter.Memory()
		table := &route.Table{Random: rand.New(rand.NewPCG(1, 2))}
		for i := range backends {
			id := fmt.Sprint("side-", i)
			table.Update(time.Now(), route.Backend{ID: id, Up: true})
			for range n {
				table.CacheEvent(id, []uint64{rand.Uint64()}, nil)
			}
		}
		mem = append(mem, meter.At(float64(n), meter.Memory()-before))
		runtime.KeepAlive(table)
	}
	r.Values("prefixes of 65 backend servers, by prefixes each: memory", "B", mem...)
}

// Gate gives what a request costs in the gate of a side, by the requests that wait, and what one caller's limits cost at an entry.
func Gate(r *meter.Report) error {
	var decision, mem, callers, callersMem []meter.Point
	for _, n := range []int{100, 1000, 10000} {
		before := meter.Memory()
		now := time.Now()
		g := &gate.Gate{Limits: sardinerock.GateLimits{MinSlots: 1, MaxSlots: 24, FirstTokenTarget: time.Second}}
		work := func(i int) sardinerock.Work {
			return sardinerock.Work{
				Attempt: fmt.Sprint("attempt-", i), Caller: fmt.Sprint("caller-", i%100), Key: "k", Class: sardinerock.ClassOnline,
				PromptTokens: 500, MaxTokens: 300, Deadline: now.Add(24 * time.Hour), Weight: 1,
			}
		}
		for i := range n {
			g.Offer(now, work(i))
		}
		mem = append(mem, meter.At(float64(n), meter.Memory()-before))
		i := n
		decision = append(decision, meter.At(float64(n), meter.Timed(func() {
			i++
			w := work(i)
			g.Offer(now, w)
			g.Cancel(now, w.Attempt)
		})))
	}
	for _, n := range []int{50, 200, 1800} {
		before := meter.Memory()
		now := time.Now()
		limiter := &quota.Limiter{}
		for i := range n {
			_ = limiter.Allow(now, fmt.Sprint("caller-", i), quota.CallerLimits{RequestsPerMinute: 600, TokensPerMinute: 1e6}, 500)
		}
		callersMem = append(callersMem, meter.At(float64(n), meter.Memory()-before))
		callers = append(callers, meter.At(float64(n), meter.Timed(func() { limiter.Usage(now) })))
	}
	r.Slope("arrival and end of a request at the gate: CPU", "us", "waiting request", decision...)
	r.Slope("request that waits at the gate: memory", "B", "waiting request", mem...)
	r.Slope("demand figures for one ping: CPU", "us", "caller", callers...)
	r.Slope("caller's limits at an entry: memory", "B", "caller", callersMem...)
	return nil
}

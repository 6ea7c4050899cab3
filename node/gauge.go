package node

import (
	"runtime"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/budget"
)

// updateGauges sets all gauges to their current values. It is called for each request for the metrics.
func (n *Node) updateGauges() {
	now := time.Now()
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, n.Metrics).Update(value) }
	if t := n.table.Current(); t != nil {
		set("configuration.version", t.Version)
	}
	set("configuration.ageMillis", n.configuration.MonotonicAge(now).Milliseconds())
	set("servers.ageMillis", n.registrations.MonotonicAge(now).Milliseconds())
	set("jobs.ageMillis", n.jobs.MonotonicAge(now).Milliseconds())
	set("work.ageMillis", n.work.MonotonicAge(now).Milliseconds())
	counts := n.pool.Counts(now)
	set("servers.listed", int64(counts.Listed))
	set("servers.doubted", int64(counts.Ejected))
	set("slots.all", int64(counts.Slots))
	set("slots.ownOnline", int64(counts.OwnOnline))
	set("slots.ownBatch", int64(counts.OwnBatch))
	set("slots.peersOnline", int64(counts.PeersOnline))
	set("slots.peersBatch", int64(counts.PeersBatch))
	servers, differing := n.pool.KnownSpeeds()
	set("speeds.known", int64(servers))
	set("speeds.differing", int64(differing))
	set("blame.verdicts", int64(n.blame.Blamed()))
	jobs, items := n.ledger.OpenCounts()
	set("batch.openJobs", int64(jobs))
	set("batch.openItems", int64(items))
	set("batch.waitingItems", int64(n.runner.Waiting()))
	set("peers.live", int64(len(n.gossip.Live(now))))
	set("responses.headBytes", n.Held.Bytes(budget.Heads))
	set("responses.chargedBytes", n.conns.Memory.Usage().Bytes)
	set("responses.eventBytes", n.Held.Bytes(budget.Events))
	set("responses.bodyBytes", n.Held.Bytes(budget.Bodies))
	set("responses.chargedTextBytes", n.runner.Memory.Usage().Bytes)
	set("responses.textBytes", n.runner.TextBytes())
	set("responses.answerBytes", n.Held.Bytes(budget.Answers))
	if n.Events.Budget != nil {
		set("log.dropped", n.Events.Budget.Dropped())
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	set("process.goroutines", int64(runtime.NumGoroutine()))
	set("process.memoryBytes", int64(memory.Sys))
}

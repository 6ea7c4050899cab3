package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/idle"
)

func (n *Node) start(ctx context.Context) {
	n.goRun(ctx, n.configuration.Run)
	n.goRun(ctx, n.registrations.Run)
	n.goRun(ctx, n.awaitStart)
	n.goRun(ctx, n.gossip.Run)
	n.goRun(ctx, n.appender.Run)
	n.goRun(ctx, n.recorder.Run)
	n.goRun(ctx, n.runner.Run)
	n.goRun(ctx, n.adopter.Run)
	n.goRun(ctx, n.purger.Run)
	n.goRun(ctx, n.roster.Run)
	n.goRun(ctx, n.lease.Run)
	n.goRun(ctx, func(ctx context.Context) { n.origins.Versions.Run(ctx, n.origins) })
	n.goRun(ctx, n.origins.Streams.Run)
	n.goRun(ctx, n.verdicts.Run)
}

// awaitStart closes started once callers can be served: the records of versions, without which no resumable stream begins, are
// read before, and the verdicts on what ends backend servers, but a store that doesn't answer doesn't keep the entry from serving other requests. It then starts to read the members and
// the ledger. Online requests need neither, and when all entries restart at once, each byte that
// one of them reads delays all others. The ledger is read last, since in large fleets another member
// may have loaded it already and can send it.
func (n *Node) awaitStart(ctx context.Context) {
	if !await.Until(ctx, startPollInterval, func() bool { return n.table.Current() != nil && n.registrations.Usable() }) {
		return
	}
	originsCtx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	if err := n.origins.Prepare(originsCtx); err != nil {
		n.Events.Info(event.LogOutage).Str("topic", n.Topics.Versions).Err(err).Msg("serving without the records of versions; resumable streams begin once they are read")
	}
	if err := n.verdicts.AwaitLoaded(originsCtx); err != nil {
		n.Events.Info(event.LogOutage).Str("topic", n.Topics.Verdicts).Err(err).Msg("serving without the verdicts on what ends backend servers; they count once they are read")
	}
	close(n.started)
	n.goRun(ctx, n.members.Run)
	membersCtx, cancelMembers := context.WithTimeout(ctx, membersTimeout)
	await.Until(membersCtx, startPollInterval, n.members.Loaded)
	cancelMembers()
	n.goRun(ctx, n.work.Run)
	n.jobs.Run(ctx)
}

func (n *Node) goRun(ctx context.Context, run func(context.Context)) {
	n.group.Add(1)
	go func() {
		defer n.group.Done()
		run(ctx)
	}()
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	n.group.Add(1)
	go func() {
		defer n.group.Done()
		err := s.Serve(l)
		stopped := errors.Is(err, http.ErrServerClosed) || n.leaving.Load() && errors.Is(err, net.ErrClosed)
		if !stopped {
			n.Events.Warn(event.Failed).Str("address", l.Addr().String()).Err(err).Msg("listener failed; its address is no longer served")
		}
	}()
}

// cleanUp closes idle connections and removes expired registrations until ctx ends.
func (n *Node) cleanUp(ctx context.Context, idleConns *idle.Conns) {
	t := time.NewTicker(cleanupInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.servers.Expire(now)
			n.conns.CloseExpired(n.pool.Known, now)
			idleConns.CloseExpired(now)
		}
	}
}

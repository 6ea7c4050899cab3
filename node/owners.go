package node

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/gossip"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/owner"
)

const (
	// readJobTimeout bounds the read of a job that this entry was notified of. If it fails, the
	// regular reads of the topic return the job.
	readJobTimeout = time.Second
	// maxUnreadTimeouts is how long the topic of items may be unread before no more items start,
	// in timeouts of a peer. A read of a slow store takes longer than one timeout.
	maxUnreadTimeouts = 3
)

// owners returns the names of the entries among which new jobs are distributed.
func (n *Node) owners() []string {
	return n.gossip.Owners(time.Now(), n.storeLost() || !n.ledger.Loaded())
}

// newJobOwner returns the entry that runs a new job, and which of its processes runs now.
func (n *Node) newJobOwner(job string) (name string, processStart int64) {
	name = owner.Of(job, n.owners())
	if name == n.Settings.ID {
		return name, n.gossip.Start
	}
	return name, n.gossip.PeerState(name, time.Now()).ProcessStart
}

// ownerView returns the state from which this entry decides whether to take over the jobs of
// another one. It returns false while this entry is leaving, can't read the store, or hasn't read
// the members and the ledger.
func (n *Node) ownerView() (owner.View, bool) {
	if n.leaving.Load() || n.storeLost() || !n.members.Loaded() || !n.ledger.Loaded() {
		return owner.View{}, false
	}
	now := time.Now()
	n.loadTime.CompareAndSwap(0, int64(now.Sub(n.startTime)))
	reachable, total := n.gossip.Entries(now)
	return owner.View{
		Self: n.Settings.ID, Timeout: n.gossip.Timeout(), Reachable: reachable, Total: total,
		StoreReadFor: n.steadyFor(), LoadTime: time.Duration(n.loadTime.Load()),
		Peer: func(name string) owner.PeerState { return n.gossip.PeerState(name, now) },
	}, true
}

// ownershipCurrent reports whether this entry may start items of its jobs. It returns false if the
// process was suspended after its last read for at least the timeout of a peer, since another
// entry may have taken over the jobs: a process that resumes after seconds reads the claims of
// others first. It also returns false if nothing was read for a few timeouts. While the store is
// lost it returns true, since no claims can be read.
func (n *Node) ownershipCurrent() bool {
	if n.storeLost() {
		return true
	}
	age, read := n.work.Age()
	unread := n.work.MonotonicAge(time.Now())
	timeout := n.gossip.Timeout()
	return read && age-unread < timeout && unread < maxUnreadTimeouts*timeout
}

// steadyFor returns for how long the topics of jobs and items have been read without interruption.
func (n *Node) steadyFor() time.Duration {
	now := time.Now()
	return min(n.jobs.HealthyFor(now), n.work.HealthyFor(now))
}

// tallyPeers returns the entries that are notified of the failed runs of a job's items.
func (n *Node) tallyPeers(job string) []string { return n.originPeers(xxhash.Sum64String(job)) }

// notifyOwner notifies the owner of a new job, unless that is this entry.
func (n *Node) notifyOwner(job *ledger.Accepted) {
	if job.Owner == n.Settings.ID {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), gossip.QueryTimeout)
		defer cancel()
		if _, err := n.queryPeer(ctx, job.Owner, peerQuery{Job: job.ID}); err != nil {
			n.Events.Info(event.JobAccepted).Str("job", job.ID).Str("owner", job.Owner).Err(err).Msg("owner of a new job could not be notified; it finds the job at its next regular read")
		}
	}()
}

// readJob reads the topic of jobs up to a new job that this entry owns.
func (n *Node) readJob(job string) {
	ctx, cancel := context.WithTimeout(context.Background(), readJobTimeout)
	defer cancel()
	err := n.jobs.EnsureCurrent(ctx, time.Now())
	message := "notified of a new job; read the topic of jobs"
	if err != nil {
		message = "notified of a new job, but the topic of jobs could not be read; its next regular read returns the job"
	}
	n.Events.Info(event.JobAccepted).Str("job", job).Bool("owned", n.ledger.Owner(job) == n.Settings.ID).Err(err).Msg(message)
}

// setActive has the topics of jobs and items read at their short intervals while this entry has
// jobs. Only the runner calls it.
func (n *Node) setActive(hasJobs bool) {
	switch {
	case hasJobs && n.deactivate == nil:
		jobs, work := n.jobs.Activate(), n.work.Activate()
		n.deactivate = func() {
			jobs()
			work()
		}
	case !hasJobs && n.deactivate != nil:
		n.deactivate()
		n.deactivate = nil
	}
}

// readWait returns how long a read waits for records that must be in force within bound.
func readWait(bound time.Duration) time.Duration {
	return time.Duration(waitFraction * float64(bound))
}

// configurationWait returns how long a read waits for a new configuration.
func (n *Node) configurationWait() time.Duration {
	wait := readWait(n.Settings.ApplyTimeout)
	if n.needsCurrentConfiguration() {
		wait = min(cmp.Or(wait, maxConfigurationWait), maxConfigurationWait)
	}
	return wait
}

// maySendTrial reports whether this entry, of all live ones, sends a request again that was rejected since
// backend servers failed during it.
func (n *Node) maySendTrial(request uint64) bool {
	return owner.Of(strconv.FormatUint(request, 16), n.gossip.Live(time.Now())) == n.Settings.ID
}

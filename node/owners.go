package node

import (
	"time"

	"github.com/sardinerock/sardinerock/owner"
)

// owners returns the names of the entries among which new jobs are shared out.
func (n *Node) owners() []string {
	return n.gossip.Owners(time.Now(), n.storeLost() || !n.ledger.Loaded())
}

// ownerView returns what decides whether this entry takes over the jobs of another;
// false while it doesn't read the store, or hasn't read who the others are.
func (n *Node) ownerView() (owner.View, bool) {
	if n.storeLost() || !n.members.Loaded() || !n.ledger.Loaded() {
		return owner.View{}, false
	}
	now := time.Now()
	n.loadTime.CompareAndSwap(0, int64(now.Sub(n.begun)))
	heard, all := n.gossip.Entries(now)
	return owner.View{
		Self: n.Settings.ID, Timeout: n.gossip.Timeout(), Heard: heard, All: all,
		Reads: min(n.jobs.Works(now), n.work.Works(now)), Load: time.Duration(n.loadTime.Load()),
		Standing: func(name string) owner.Standing { return n.gossip.Standing(name, now) },
	}, true
}

// inOrder says whether what this entry has read of the order of jobs is newer than the
// silence after which another entry takes its jobs over, or nobody here can read it. A
// process that wakes after seconds reads what others claimed before it starts an item.
func (n *Node) inOrder() bool {
	if n.storeLost() {
		return true
	}
	age, read := n.work.Age()
	return read && age < n.gossip.Timeout()
}

package node

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/origin"
	"github.com/sardinerock/sardinerock/owner"
)

const (
	// originPeers is how many entries are notified of a stream. All but a few of a fleet may be lost at once, and
	// those that remain know as many of its streams as they have a share of these.
	originPeers = 7
	// currentAge is the age up to which the list of backend servers shows that there is only one version. A read
	// of a list without changes takes up to a second and a half.
	currentAge = 2500 * time.Millisecond
	// originMembersTimeout is how long the query for a stream waits for the members at an entry that starts.
	originMembersTimeout = 300 * time.Millisecond
)

func (n *Node) newLocator() *origin.Locator {
	return &origin.Locator{
		Peers:  n.originPeers,
		Notify: n.gossip.Notify,
		Query: func(ctx context.Context, peer string, raw []byte) ([]byte, error) {
			return n.gossip.Query(ctx, peer, raw)
		},
		AwaitPeers: func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, originMembersTimeout)
			defer cancel()
			await.Until(ctx, startPollInterval, n.members.Loaded)
		},
		Current: func() bool {
			age, read := n.registrations.Age()
			return read && age < currentAge
		},
		StoreLostByAll: n.storeLostByPeers,
		ReadList: func(ctx context.Context, at time.Time) bool {
			return n.registrations.EnsureCurrent(ctx, at) == nil
		},
		Versions: &origin.Versions{
			Store: n.Store, Topic: n.Topics.Versions, Writes: n.writesOrigins, Events: n.Events, Metrics: n.Metrics,
		},
		Streams: &origin.Streams{
			Store: n.Store, Topic: n.Topics.Streams, Process: n.Settings.ID + "/" + strconv.FormatInt(n.gossip.Start, 36),
			Partitions: n.Settings.Partitions, RecordBytes: n.Settings.RecordBytes, Writes: n.writesOrigins, Events: n.Events, Metrics: n.Metrics,
		},
		Events: n.Events, Metrics: n.Metrics,
	}
}

// storeLostByPeers reports whether no entry can read the store, by the messages of others. An entry that receives none
// may be cut off, or may have been before it read the members, unless it was the only member.
func (n *Node) storeLostByPeers() bool {
	now := time.Now()
	isOther := func(name string) bool { return name != n.Settings.ID }
	alone := n.members.Loaded() && !slices.ContainsFunc(n.gossip.Members(), isOther)
	return (alone || len(n.gossip.Live(now)) > 1) && n.gossip.StoreLostByAll(now)
}

// writesOrigins reports whether this entry, of all live ones, writes a topic's common records.
func (n *Node) writesOrigins(topic string) bool {
	return owner.Of(topic, n.gossip.Live(time.Now())) == n.Settings.ID
}

// originPeers returns the entries that are notified of a stream and queried for it. An entry that has just started
// hasn't received messages from all yet, and adds others from the list of members.
func (n *Node) originPeers(stream uint64) []string {
	key := strconv.FormatUint(stream, 16)
	isSelf := func(name string) bool { return name == n.Settings.ID }
	peers := owner.Ranked(key, slices.DeleteFunc(n.gossip.Live(time.Now()), isSelf), originPeers)
	if len(peers) == originPeers {
		return peers
	}
	others := slices.DeleteFunc(n.gossip.Members(), func(name string) bool { return isSelf(name) || slices.Contains(peers, name) })
	return append(peers, owner.Ranked(key, others, originPeers-len(peers))...)
}

// setServers sets the list of backend servers.
func (n *Node) setServers(list []sardinerock.BackendServer) {
	n.pool.SetServers(list)
	n.origins.SetServers(list)
}

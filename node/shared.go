package node

import (
	"context"
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/share"
	"github.com/sardinerock/sardinerock/watch"
)

const (
	// shareMargin is added to the wait of a read: the sum is the maximum age of what an entry
	// reads for others.
	shareMargin = 300 * time.Millisecond
	// maxLoadAge is the maximum age of the copy of a topic that another entry sends when this
	// one starts. Newer records are read right after it.
	maxLoadAge = 5 * time.Second
)

// self returns this entry's record in the list of members.
func (n *Node) self() watch.Member {
	return watch.Member{Address: n.Settings.PeerAddress, Zone: n.Settings.Zone, CPUPercent: n.Settings.Strength}
}

// shareReads has a topic read at one of the entries that read the store for this zone. If this
// entry is one of them, it serves the topic to the others.
func (n *Node) shareReads(f *watch.Follower, client *http.Client) {
	maxAge := f.Wait + shareMargin
	n.addFeed(f, maxAge)
	f.Store = n.newSource(client, maxAge)
}

// shareFirstLoad has only the first load of a topic read at the entries that read for this zone. Each
// entry reads later records from the store itself, since callers depend on the current state.
func (n *Node) shareFirstLoad(f *watch.Follower, client *http.Client) {
	n.addFeed(f, maxLoadAge)
	source := n.newSource(client, maxLoadAge)
	f.Loader = func(ctx context.Context) (sardinerock.StorePage, error) { return source.Load(ctx, f.Topic) }
}

// newSource returns a store that reads topics at the entries that read for this zone, and falls
// back to the platform's store.
func (n *Node) newSource(client *http.Client, maxAge time.Duration) *share.Source {
	return &share.Source{
		Store: n.Store, Readers: func() []string { return n.gossip.Readers(time.Now()) },
		Serving: func() bool { return n.gossip.ReadsForZone(time.Now()) }, MaxAge: maxAge, Client: client,
		Events: n.Events, Metrics: n.Metrics,
	}
}

// addFeed keeps the records that a follower reads, to serve them to other entries.
func (n *Node) addFeed(f *watch.Follower, maxAge time.Duration) {
	feed := &share.Feed{Next: f.Next, Age: f.Age, MaxAge: maxAge}
	feed.Prepare()
	n.shareServer.Feeds[f.Topic] = feed
	apply, onRecovery := f.Apply, f.OnRecovery
	f.Apply = func(records []sardinerock.StoreRecord, reset bool) {
		feed.Apply(records, reset)
		apply(records, reset)
	}
	f.OnRecovery = func() {
		feed.StoreRecovered()
		if onRecovery != nil {
			onRecovery()
		}
	}
}

// needsCurrentConfiguration reports whether the admission of callers with keys depends on the age
// of the configuration, or the settings have a quota window. Each entry then reads the configuration
// from the store itself.
func (n *Node) needsCurrentConfiguration() bool {
	return n.Settings.StrictRevoke || n.Settings.QuotaWindow > 0
}

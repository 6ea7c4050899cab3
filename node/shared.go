package node

import (
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/share"
	"github.com/sardinerock/sardinerock/watch"
)

// shareMargin is how much older than one wait for news what an entry reads for others may be.
const shareMargin = 300 * time.Millisecond

// self is how this entry writes itself down.
func (n *Node) self() watch.Member {
	return watch.Member{Address: n.Settings.PeerAddress, Zone: n.Settings.Zone, Strength: n.Settings.Strength}
}

// share has a topic read at one of the entries of this zone that read for all, and
// answers others if this is one of them.
func (n *Node) share(f *watch.Follower, client *http.Client) {
	mostAge := f.Wait + shareMargin
	feed := &share.Feed{Next: f.Next, Age: f.Age, MostAge: mostAge}
	feed.Prepare()
	n.shared.Feeds[f.Topic] = feed
	apply := f.Apply
	f.Apply = func(records []sardinerock.StoreRecord, reset bool) {
		feed.Apply(records, reset)
		apply(records, reset)
	}
	if back := f.Back; back != nil {
		f.Back = func() {
			feed.Back()
			back()
		}
	}
	f.Store = &share.Source{
		Store: n.Store, Readers: func() []string { return n.gossip.Readers(time.Now()) }, MostAge: mostAge, Client: client,
		Events: n.Events, Metrics: n.Metrics,
	}
}

// keysMatter says whether callers' keys hang on how old the configuration is: then each
// entry reads it by itself.
func (n *Node) keysMatter() bool { return n.Settings.StrictRevoke || n.Settings.QuotaWindow > 0 }

package node

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/clock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/origin"
	"github.com/sardinerock/sardinerock/owner"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/tally"
)

// homeTimeout is how long a team's home entry may take to answer: several round trips
// within a region.
const homeTimeout = 30 * time.Millisecond

// homeQuery returns the function that queries the home entry of a team. It returns nil if
// this entry is the home entry, or if no entry is live.
func (n *Node) homeQuery(team string) quota.QueryFunc {
	home := owner.Of(team, n.gossip.Live(time.Now()))
	if home == n.Settings.ID || home == "" {
		return nil
	}
	return func(query quota.Query) (quota.Decision, bool) {
		d, err := n.queryHome(home, query)
		metrics.GetOrRegisterCounter("quota.asked", n.Metrics).Inc(1)
		if err != nil {
			metrics.GetOrRegisterCounter("quota.unanswered", n.Metrics).Inc(1)
			n.Events.Info(event.HomeSilent).Str("team", team).Str("home", home).Err(err).Msg("home entry of the team did not answer; deciding the quota here")
		}
		return d, err == nil
	}
}

func (n *Node) queryHome(home string, query quota.Query) (d quota.Decision, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), homeTimeout)
	defer cancel()
	answer, err := n.queryPeer(ctx, home, peerQuery{Quota: &query})
	if err != nil {
		return d, err
	}
	return d, cbor.Unmarshal(answer, &d)
}

// peerQuery is a query or notification from one entry to another; one of its fields is set.
type peerQuery struct {
	_ struct{} `cbor:",toarray"`
	// Quota queries a team's home entry.
	Quota *quota.Query
	// Job is the id of a newly accepted job that the receiving entry owns.
	Job string
}

func (n *Node) queryPeer(ctx context.Context, peer string, query peerQuery) ([]byte, error) {
	raw, err := cbor.Marshal(query)
	if err != nil {
		return nil, err
	}
	return n.gossip.Query(ctx, peer, raw)
}

// answerPeer returns the answer to a query of a peer; a notification gets an empty one.
func (n *Node) answerPeer(peer string, start int64, raw []byte) ([]byte, error) {
	if origin.IsMessage(raw) {
		return n.origins.Answer(raw)
	}
	if tally.IsMessage(raw) {
		return n.tally.Answer(raw)
	}
	var query peerQuery
	if err := cbor.Unmarshal(raw, &query); err != nil {
		return nil, err
	}
	if query.Quota != nil {
		return cbor.Marshal(n.quota.Decide(peer, start, *query.Quota, clock.BootClock()))
	}
	if query.Job != "" {
		go n.readJob(query.Job)
	}
	return nil, nil
}

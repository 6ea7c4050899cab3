package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blame"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/owner"
)

// trialRank returns the place of this entry in the order in which live entries send trials with a part of a prompt that
// ends backend servers.
func (n *Node) trialRank(c blame.Cause) int {
	live := n.gossip.Live(time.Now())
	return max(slices.Index(owner.Ranked(strconv.FormatUint(uint64(c), 16), live, len(live)), n.Settings.ID), 0)
}

// logBlame logs a change of what is known about parts of prompts.
func (n *Node) logBlame(c blame.Change) {
	metrics.GetOrRegisterCounter("blame."+string(c.Kind), n.Metrics).Inc(1)
	causes := make([]string, len(c.Causes))
	for i, cause := range c.Causes {
		causes[i] = strconv.FormatUint(uint64(cause), 16)
	}
	n.Events.Warn(event.PartBlamed).Str("change", string(c.Kind)).Strs("causes", causes).Int("runs", c.Runs).Int("servers", c.Servers).
		Int("trials", c.Trials).Str("from", c.From).Msg("what is known of parts of prompts that end backend servers has changed")
}

// restoreVerdict passes on a verdict that was kept in the store.
func (n *Node) restoreVerdict(v sardinerock.Verdict) {
	if len(v.Causes) == 0 {
		n.crashes.Restore(v, time.Now())
		return
	}
	n.blame.Restore(v, time.Now())
}

// ownsVerdict reports whether this entry, of all live ones, deletes the old verdicts of a key.
func (n *Node) ownsVerdict(key string) bool {
	return owner.Of(key, n.gossip.Live(time.Now())) == n.Settings.ID
}

package peers

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/config"
	"github.com/sardinerock/sardinerock/member"
	"github.com/sardinerock/sardinerock/wire"
)

const (
	pingInterval = member.HeartbeatInterval
	pingTimeout  = time.Second
	// maxPeers is how many other entries an entry pings. In a small fleet every entry pings all
	// others; at 370 entries a full mesh would cost each 922 pings a second.
	maxPeers = 8
	// pingsPerUsage is how many pings are sent for each one that carries the usage of callers. The
	// usage figures are means over ten seconds, so sending them every four seconds is enough. In each
	// ping they would be nine tenths of its bytes.
	pingsPerUsage = 10
	// reportTTL is how long a peer's report is valid after its last message.
	reportTTL = 10 * time.Second
)

// Mesh is one entry's connections to other entries. Its fields are set before Run.
type Mesh struct {
	// EntryID is this entry's instance id.
	EntryID string
	// Listener accepts the connections over which other entries ping this one.
	Listener net.Listener
	// Tracker lists the entries. The mesh reports to it which of them answer.
	Tracker *member.Tracker
	// Report returns the report that this entry sends with each ping and each answer to one.
	Report func() Report
	// Offer returns the configuration for a peer that lacks it, or nil if there is none.
	Offer func() *config.Offer

	mu    sync.Mutex
	peers map[string]*peer
}

// Report is what an entry sends about itself.
type Report struct {
	// ConfigVersion is the bundle version in force, or 0 if there is none.
	ConfigVersion int64
	Leaving       bool
	// Usage is the recent usage of its busiest callers.
	Usage []*wire.Usage
}

// Peer is the last known state of another entry.
type Peer struct {
	Instance sardinerock.Instance
	Report   Report
	// LastReceived is when its last ping or answer was received. VersionSince is when it first
	// reported its present version.
	LastReceived time.Time
	VersionSince time.Time
}

// Silent reports whether the peer has sent nothing for so long that its report is no longer valid.
func (p *Peer) Silent(now time.Time) bool { return now.Sub(p.LastReceived) > reportTTL }

// Run pings the selected peers and answers pings until ctx is done.
func (m *Mesh) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, m); err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- drpcserver.New(mux).Serve(ctx, m.Listener) }()
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		for _, p := range m.selectPeers() {
			go m.ping(ctx, p, false)
		}
		select {
		case err := <-served:
			return err
		case <-ticker.C:
		}
	}
}

// Ping implements the generated server interface.
func (m *Mesh) Ping(_ context.Context, ping *wire.PeerPing) (*wire.PeerPong, error) {
	now := time.Now()
	m.record(now, ping.EntryId, Report{ConfigVersion: ping.ConfigVersion, Leaving: ping.Leaving, Usage: ping.Usage}, ping.WantUsage)
	report := m.Report()
	pong := &wire.PeerPong{Leaving: report.Leaving, ConfigVersion: report.ConfigVersion}
	if ping.WantUsage {
		pong.Usage = report.Usage
	}
	if !ping.WantBundle {
		return pong, nil
	}
	if offer := m.Offer(); offer != nil && offer.Version > ping.ConfigVersion {
		pong.Bundle, pong.BundleOffset = offer.Raw, offer.Next
		pong.ConfigVersion, pong.ConfigDigest = offer.Version, offer.Digest
	}
	return pong, nil
}

// Peers returns the last known states of the entries that this one pings.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		all = append(all, p.Peer)
	}
	return all
}

// Offers requests the configuration from all peers at once and returns those received within the ping timeout.
func (m *Mesh) Offers(ctx context.Context) []config.Offer {
	m.mu.Lock()
	peers := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p)
	}
	m.mu.Unlock()
	pongs := make([]*wire.PeerPong, len(peers))
	var all sync.WaitGroup
	for i, p := range peers {
		all.Go(func() { pongs[i] = m.ping(ctx, p, true) })
	}
	all.Wait()
	var offers []config.Offer
	for _, pong := range pongs {
		if len(pong.GetBundle()) > 0 {
			offers = append(offers, config.Offer{
				Version: pong.ConfigVersion, Digest: pong.ConfigDigest, Next: pong.BundleOffset, Raw: pong.Bundle,
			})
		}
	}
	return offers
}

// selectPeers updates the peers to the entries that rendezvous hashing ranks first for this one,
// and returns those without a ping in flight.
func (m *Mesh) selectPeers() []*peer {
	others := slices.DeleteFunc(m.Tracker.Instances(sardinerock.RoleEntry), func(i sardinerock.Instance) bool { return i.ID == m.EntryID })
	slices.SortFunc(others, func(a, b sardinerock.Instance) int {
		return cmp.Compare(pairRank(m.EntryID, a.ID), pairRank(m.EntryID, b.ID))
	})
	others = others[:min(len(others), maxPeers)]

	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.peers
	m.peers = make(map[string]*peer, len(others))
	var idle []*peer
	for _, i := range others {
		p := known[i.ID]
		if p == nil {
			p = &peer{Peer: Peer{Instance: i}}
			m.Tracker.Watch(time.Now(), i.ID, i.Role)
		}
		delete(known, i.ID)
		m.peers[i.ID] = p
		if !p.pinging {
			p.pinging = true
			idle = append(idle, p)
		}
	}
	for id, p := range known {
		m.Tracker.Unwatch(id)
		p.closeConn()
	}
	return idle
}

// pairRank returns the rank of a pair of entries, which is the same from both ends.
func pairRank(a, b string) uint64 {
	return xxhash.Sum64String(min(a, b) + "\x00" + max(a, b))
}

// ping pings a peer and records the answer. It returns nil if the peer did not answer within pingTimeout.
func (m *Mesh) ping(ctx context.Context, p *peer, wantBundle bool) *wire.PeerPong {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	report := m.Report()
	ping := &wire.PeerPing{EntryId: m.EntryID, ConfigVersion: report.ConfigVersion, Leaving: report.Leaving, WantBundle: wantBundle}
	m.mu.Lock()
	ping.WantUsage = p.pings%pingsPerUsage == 0
	p.pings++
	m.mu.Unlock()
	if ping.WantUsage {
		ping.Usage = report.Usage
	}
	pong, err := p.call(ctx, ping)
	now := time.Now()
	m.mu.Lock()
	p.pinging = false
	m.mu.Unlock()
	if err != nil {
		m.Tracker.RecordFailure(now, p.Instance.ID)
		return nil
	}
	m.Tracker.RecordAnswer(now, p.Instance.ID)
	m.record(now, p.Instance.ID, Report{ConfigVersion: pong.ConfigVersion, Leaving: pong.Leaving, Usage: pong.Usage}, ping.WantUsage)
	return pong
}

// record stores the report of another entry. The usage is replaced only if the message carried one.
func (m *Mesh) record(now time.Time, id string, report Report, usage bool) {
	if report.Leaving {
		m.Tracker.MarkLeaving(now, id)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[id]
	if p == nil {
		return
	}
	if p.Report.ConfigVersion != report.ConfigVersion {
		p.VersionSince = now
	}
	if !usage {
		report.Usage = p.Report.Usage
	}
	p.Report, p.LastReceived = report, now
}

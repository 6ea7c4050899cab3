package entry

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/config"
	"github.com/sardinerock/sardinerock/limit"
	"github.com/sardinerock/sardinerock/member"
	"github.com/sardinerock/sardinerock/wire"
)

const (
	pingEvery   = member.HeartbeatEvery
	pingTimeout = time.Second
	// maxPeers bounds the entries that one entry pings. With a handful of entries
	// all know each other; at 370 a full mesh would cost each 740 pings a second.
	maxPeers = 8
	// usageKept is how long a peer's usage figures count after its last answer.
	usageKept = 10 * time.Second
)

// peer is what this entry knows of another one.
type peer struct {
	instance sardinerock.Instance
	conn     *drpcconn.Conn
	usage    []*wire.Usage
	heard    time.Time
	version  int64
	since    time.Time
	leaving  bool
	busy     bool
}

// servePeers answers other entries until ctx is done.
func (e *Entry) servePeers(ctx context.Context) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, e); err != nil {
		return err
	}
	return drpcserver.New(mux).Serve(ctx, e.PeerListener)
}

// Ping implements the generated server interface.
func (e *Entry) Ping(_ context.Context, ping *wire.PeerPing) (*wire.PeerPong, error) {
	now := time.Now()
	if ping.Leaving {
		e.tracker.Leaving(now, ping.EntryId)
	}
	e.mu.Lock()
	if p := e.peers[ping.EntryId]; p != nil {
		p.usage, p.heard, p.leaving = ping.Usage, now, ping.Leaving
	}
	pong := &wire.PeerPong{EntryId: e.ID, Leaving: e.leaving, Usage: e.usage(now)}
	e.mu.Unlock()
	if current := e.keeper.Current(); current != nil {
		pong.ConfigVersion = current.Version
	}
	if !ping.WantBundle {
		return pong, nil
	}
	if offer := e.keeper.Offer(); offer != nil && offer.Version > ping.ConfigVersion {
		pong.Bundle, pong.BundleOffset = offer.Raw, offer.Next
		pong.ConfigVersion, pong.ConfigDigest = offer.Version, offer.Digest
	}
	return pong, nil
}

// maxUsage bounds the callers that one ping tells of. All of 1,800 would make
// a ping 40 KB long; a limit is strained by the busiest.
const maxUsage = 32

// usage returns this entry's demand figures of the busiest callers that have a limit. Callers hold e.mu.
func (e *Entry) usage(now time.Time) []*wire.Usage {
	current := e.keeper.Current()
	if current == nil {
		return nil
	}
	callers := e.callers.of(current)
	busiest := slices.DeleteFunc(e.limiter.Usage(now), func(u limit.Usage) bool {
		return callers.limits(u.Caller) == (limit.CallerLimits{})
	})
	slices.SortFunc(busiest, func(a, b limit.Usage) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(b.Requests, a.Requests))
	})
	var told []*wire.Usage
	for _, u := range busiest[:min(len(busiest), maxUsage)] {
		told = append(told, &wire.Usage{Caller: u.Caller, Requests: u.Requests, Tokens: u.Tokens})
	}
	return told
}

// peerLoop pings this entry's share of the others.
func (e *Entry) peerLoop(ctx context.Context) {
	every(ctx, pingEvery, func() {
		for _, p := range e.wantedPeers() {
			go e.ping(ctx, p, false)
		}
		e.sharePeers(time.Now())
	})
}

// wantedPeers keeps e.peers at the entries next to this one by rendezvous, and returns those that are not being asked already.
func (e *Entry) wantedPeers() []*peer {
	others := slices.DeleteFunc(e.tracker.Instances(sardinerock.RoleEntry), func(i sardinerock.Instance) bool { return i.ID == e.ID })
	slices.SortFunc(others, func(a, b sardinerock.Instance) int {
		return cmp.Compare(pairRank(e.ID, a.ID), pairRank(e.ID, b.ID))
	})
	others = others[:min(len(others), maxPeers)]

	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.peers
	e.peers = make(map[string]*peer)
	var idle []*peer
	for _, i := range others {
		p := known[i.ID]
		if p == nil {
			p = &peer{instance: i}
			e.tracker.Watch(time.Now(), i.ID, i.Role)
		}
		e.peers[i.ID] = p
		delete(known, i.ID)
		if !p.busy {
			p.busy = true
			idle = append(idle, p)
		}
	}
	for id := range known {
		e.tracker.Unwatch(id)
	}
	return idle
}

// pairRank orders the pairs of entries the same from both ends.
func pairRank(a, b string) uint64 {
	return xxhash.Sum64String(min(a, b) + "\x00" + max(a, b))
}

// ping asks a peer whether it is alive and takes what it tells.
func (e *Entry) ping(ctx context.Context, p *peer, wantBundle bool) *wire.PeerPong {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	pong, err := e.callPeer(ctx, p, wantBundle)
	now := time.Now()
	e.mu.Lock()
	p.busy = false
	if err == nil {
		p.heard, p.usage, p.leaving = now, pong.Usage, pong.Leaving
		if p.version != pong.ConfigVersion {
			p.version, p.since = pong.ConfigVersion, now
		}
	}
	e.mu.Unlock()
	if err != nil {
		e.tracker.Silent(now, p.instance.ID)
		return nil
	}
	e.tracker.Heard(now, p.instance.ID)
	if pong.Leaving {
		e.tracker.Leaving(now, p.instance.ID)
	}
	return pong
}

func (e *Entry) callPeer(ctx context.Context, p *peer, wantBundle bool) (*wire.PeerPong, error) {
	conn, err := e.peerConn(ctx, p)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	ping := &wire.PeerPing{EntryId: e.ID, Usage: e.usage(time.Now()), Leaving: e.leaving, WantBundle: wantBundle}
	e.mu.Unlock()
	if current := e.keeper.Current(); current != nil {
		ping.ConfigVersion = current.Version
	}
	pong, err := wire.NewDRPCPeerClient(conn).Ping(ctx, ping)
	if err != nil {
		// The next ping opens a new connection: this one may be silent for good.
		e.mu.Lock()
		p.conn = nil
		e.mu.Unlock()
		_ = conn.Close()
	}
	return pong, err
}

func (e *Entry) peerConn(ctx context.Context, p *peer) (*drpcconn.Conn, error) {
	e.mu.Lock()
	conn := p.conn
	e.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", p.instance.Address)
	if err != nil {
		return nil, err
	}
	conn = drpcconn.New(raw)
	e.mu.Lock()
	defer e.mu.Unlock()
	p.conn = conn
	return conn, nil
}

// sharePeers tells the limiter what the other entries see of each caller.
func (e *Entry) sharePeers(now time.Time) {
	live := len(e.liveEntries())
	e.mu.Lock()
	defer e.mu.Unlock()
	var usage []limit.Usage
	heard := 0
	for _, p := range e.peers {
		if now.Sub(p.heard) > usageKept {
			continue
		}
		heard++
		for _, u := range p.usage {
			usage = append(usage, limit.Usage{Caller: u.Caller, Requests: u.Requests, Tokens: u.Tokens})
		}
	}
	e.limiter.SetPeers(now, live, heard, usage)
}

// offers asks the peers for their configuration, for a start while the log is out.
func (e *Entry) offers(ctx context.Context) []config.Offer {
	e.mu.Lock()
	peers := make([]*peer, 0, len(e.peers))
	for _, p := range e.peers {
		peers = append(peers, p)
	}
	e.mu.Unlock()
	var mu sync.Mutex
	var offers []config.Offer
	var asked sync.WaitGroup
	for _, p := range peers {
		asked.Go(func() {
			pong := e.ping(ctx, p, true)
			if pong == nil || len(pong.Bundle) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			offers = append(offers, config.Offer{
				Version: pong.ConfigVersion, Digest: pong.ConfigDigest, Next: pong.BundleOffset, Raw: pong.Bundle,
			})
		})
	}
	asked.Wait()
	return offers
}

// self is this entry as the instance list has it.
func (e *Entry) self() sardinerock.Instance {
	return sardinerock.Instance{
		ID: e.ID, Role: sardinerock.RoleEntry, Region: e.Region, Zone: e.Zone, Address: e.PeerListener.Addr().String(),
	}
}

// liveEntries returns the entries that may own shards, this one included.
func (e *Entry) liveEntries() []string { return e.tracker.Live(time.Now()) }

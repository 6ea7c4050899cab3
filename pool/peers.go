package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock/speed"
)

// peer is the last report of another entry.
type peer struct {
	at    time.Time
	loads map[uint32]Load
	// speeds are the reports of speeds in its last message.
	speeds []speed.Report
	// started is when the last of the batch items started that run at a backend server, by its Hash.
	started map[uint32]time.Time
}

// SetPeer stores the loads that another entry reports.
func (p *Pool) SetPeer(name string, loads []Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.peers[name]
	started := startedRuns(before, loads, now)
	p.removePeer(name)
	if p.peers == nil {
		p.peers = map[string]*peer{}
	}
	report := &peer{at: now, started: started, loads: make(map[uint32]Load, len(loads))}
	if before != nil {
		report.speeds = before.speeds
	}
	for _, l := range loads {
		report.loads[l.Server] = l
		if s := p.byHash[l.Server]; s != nil {
			s.addPeerLoad(name, l)
		}
	}
	p.peers[name] = report
}

// addPeerLoad adds another entry's load on a backend server to the sum of all peers.
func (s *server) addPeerLoad(name string, l Load) {
	s.peerLoad.Online += l.Online
	s.peerLoad.Batch += l.Batch
	s.resetVisible()
	if l.Batch > 0 {
		if s.batchPeers == nil {
			s.batchPeers = map[string]int{}
		}
		s.batchPeers[name] = l.Batch
	}
}

// removePeer subtracts an entry's loads from the sums.
func (p *Pool) removePeer(name string) {
	report := p.peers[name]
	if report == nil {
		return
	}
	for _, l := range report.loads {
		if s := p.byHash[l.Server]; s != nil {
			s.peerLoad.Online -= l.Online
			s.peerLoad.Batch -= l.Batch
			delete(s.batchPeers, name)
		}
	}
	delete(p.peers, name)
}

// sumPeers recomputes the sums of the other entries' loads for a new list of
// backend servers.
func (p *Pool) sumPeers() {
	p.byHash = make(map[uint32]*server, len(p.servers))
	for _, s := range p.servers {
		p.byHash[s.hash] = s
		s.peerLoad, s.batchPeers = Load{}, nil
		for name, report := range p.peers {
			if l, ok := report.loads[s.hash]; ok {
				s.addPeerLoad(name, l)
			}
		}
	}
}

// BatchPeer returns one of the other entries that run batch items on a backend
// server. It is chosen at random, so that several requests for a preemption don't
// all go to the same entry.
func (p *Pool) BatchPeer(id string) (name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || len(s.batchPeers) == 0 {
		return "", false
	}
	names := slices.Sorted(maps.Keys(s.batchPeers))
	return names[p.Random.IntN(len(names))], true
}

// ServerID returns the id of the backend server with the given Hash.
func (p *Pool) ServerID(hash uint32) (id string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byHash[hash]
	if s == nil {
		return "", false
	}
	return s.ID, true
}

// DropPeer removes an entry that stops or is unreachable.
func (p *Pool) DropPeer(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removePeer(name)
}

package pool

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
)

const (
	// peerTimeout is the age at which another entry's counts are no longer
	// believed: five of its regular datagrams are missing by then.
	peerTimeout = time.Second
	// firstDoubt and longestDoubt bound how long a backend server that failed
	// is passed over. A crash takes seconds to be over; a lone reset is over at once.
	firstDoubt   = 250 * time.Millisecond
	longestDoubt = 4 * time.Second
	// fullTime is how long a backend server that said so counts as full. With
	// eight slots and runs of 0.6 s one comes free there every 75 ms, and by then
	// the other entries have told what they sent there.
	fullTime = 50 * time.Millisecond
	// longestFull bounds that time when it says so again and again; each question
	// costs both sides 0.1 ms.
	longestFull = 200 * time.Millisecond
	// defaultSlots stands for backend servers that don't say how many requests they run at once.
	defaultSlots = 4
	// runWeight is the share, one in so many, that one request has in the average
	// time of a run: some seconds' worth of requests at one entry.
	runWeight = 32
	// defaultRun stands for services that haven't answered yet.
	defaultRun = 300 * time.Millisecond
)

// Load is what one entry runs on one backend server.
type Load struct {
	// Server is Hash of the backend server's id.
	Server uint64 `cbor:"1,keyasint"`
	Online int    `cbor:"2,keyasint"`
	Batch  int    `cbor:"3,keyasint"`
}

// Hash is the short form of an id in what entries tell each other.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// server is the view of one backend server.
type server struct {
	sardinerock.BackendServer
	hash   uint64
	online int
	batch  int
	// peers is what the other entries run there, kept up with each datagram: a
	// choice adds up two numbers a backend server, however many entries there are.
	peers Load
	// doubtedUntil and doubt tell how long it is passed over, and for how long after the next failure.
	doubtedUntil time.Time
	doubt        time.Duration
	// fullUntil is until when it counts as full because it said so, full for how long.
	fullUntil time.Time
	full      time.Duration
}

// Pool is the view of all backend servers. Its methods may be called at the same time.
type Pool struct {
	// Name is this entry's name.
	Name string
	// Zone is this entry's availability zone; its backend servers are preferred.
	Zone string
	// Random breaks ties.
	Random *rand.Rand

	mu      sync.Mutex
	servers map[string]*server
	// runs is how long an online request of each service holds a slot on average.
	runs map[string]time.Duration
	// hashes finds the same by the short form of their ids.
	hashes map[uint64]*server
	peers  map[string]*peer
}

// SetServers takes a new list of backend servers; counts of those that stay are kept.
func (p *Pool) SetServers(list []sardinerock.BackendServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := make(map[string]*server, len(list))
	for _, b := range list {
		s := p.servers[b.ID]
		if s == nil {
			s = &server{hash: Hash(b.ID)}
		}
		s.BackendServer = b
		if s.Slots <= 0 {
			s.Slots = defaultSlots
		}
		servers[b.ID] = s
	}
	for id, s := range p.servers {
		// A backend server that left the list still runs what was sent to it.
		if servers[id] == nil && s.online+s.batch > 0 {
			s.Draining = true
			servers[id] = s
		}
	}
	p.servers = servers
	p.sumPeers()
}

// Known says whether a backend server is on the list.
func (p *Pool) Known(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[id] != nil
}

// Own returns what this entry runs.
func (p *Pool) Own() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []Load
	for _, s := range p.servers {
		if s.online+s.batch > 0 {
			loads = append(loads, Load{Server: s.hash, Online: s.online, Batch: s.batch})
		}
	}
	return loads
}

// counts returns what all entries together run on a backend server.
func (s *server) counts(now time.Time) (online, batch int) {
	online, batch = s.online+s.peers.Online, s.batch+s.peers.Batch
	if now.Before(s.fullUntil) {
		online = max(online, s.Slots-batch)
	}
	return online, batch
}

// NoteFull notes that a backend server said that it has no free slot: others
// sent to it what this entry hasn't heard of yet.
func (p *Pool) NoteFull(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil {
		return
	}
	// Said again right after, it may be so for longer: the entry that runs there
	// what isn't known here was lost, and engines go on with it for a while.
	if now.Sub(s.fullUntil) < fullTime {
		s.full = min(2*s.full, longestFull)
	} else {
		s.full = fullTime
	}
	s.fullUntil = now.Add(s.full)
}

// Choice is a backend server that was chosen, with the figures that decided it.
type Choice struct {
	sardinerock.BackendServer
	// Online and Batch are what all entries run there, as far as this one knows.
	Online int
	Batch  int
	// Doubted is set if it failed lately and there was none that didn't.
	Doubted bool
}

// Full says whether the next request has to wait for a slot.
func (c *Choice) Full() bool { return c.Online+c.Batch >= c.Slots }

// candidate is a backend server with what its rank depends on.
type candidate struct {
	s             *server
	online, batch int
	rank          float64
}

// The weights of a rank; the lowest rank is chosen. Each is far from the next,
// so that they act one after the other.
const (
	// rankDoubted puts a backend server that failed lately after all others.
	rankDoubted = 1000
	// rankQueue puts one where a request has to wait behind online work after those with room.
	rankQueue = 100
	// rankYield puts one where a batch item has to give way after those with a free slot.
	rankYield = 10
	// rankZone puts one of another availability zone after those of this zone
	// that are up to this share of their slots more loaded.
	rankZone = 0.35
)

// Online chooses the backend server of a service for an online request and
// counts the request there; the caller ends it with Done. Those in tried are
// passed over. The load that this answers: bursts of nearly twice the mean
// that fill three quarters of all slots within a second, while batch items
// hold the rest. Choosing by own counts alone sends several entries to the same
// backend server, where the last ones wait for a whole answer of another.
func (p *Pool) Online(service string, tried map[string]bool, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent(now)
	var best candidate
	for _, s := range p.servers {
		if s.Service != service || s.Draining || tried[s.ID] {
			continue
		}
		c := p.rankOnline(s, now)
		if best.s == nil || c.rank < best.rank {
			best = c
		}
	}
	if best.s == nil {
		return Choice{}, false
	}
	best.s.online++
	return best.choice(now), true
}

func (p *Pool) rankOnline(s *server, now time.Time) candidate {
	c := candidate{s: s}
	c.online, c.batch = s.counts(now)
	slots := float64(s.Slots)
	// The random part only orders those that are equal.
	c.rank = float64(c.online+c.batch)/slots + p.Random.Float64()/slots/2
	if s.Zone != p.Zone {
		c.rank += rankZone
	}
	switch {
	case c.online >= s.Slots:
		c.rank += rankQueue * float64(c.online) / slots
	case c.online+c.batch >= s.Slots:
		c.rank += rankYield
	}
	if now.Before(s.doubtedUntil) {
		c.rank += rankDoubted
	}
	return c
}

func (c *candidate) choice(now time.Time) Choice {
	return Choice{BackendServer: c.s.BackendServer, Online: c.online, Batch: c.batch, Doubted: now.Before(c.s.doubtedUntil)}
}

// Batch chooses a backend server of a service with a free slot for a batch
// item, and counts the item there; none is chosen if no more than reserve slots
// are free on each. It is drawn by the number of free slots: if all entries
// took the emptiest one, they would meet there and most would have to leave again.
func (p *Pool) Batch(service string, reserve int, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent(now)
	var all []candidate
	total := 0
	for _, s := range p.servers {
		if s.Service != service || s.Draining || now.Before(s.doubtedUntil) {
			continue
		}
		c := candidate{s: s}
		c.online, c.batch = s.counts(now)
		if free := s.Slots - c.online - c.batch - reserve; free > 0 {
			c.rank = float64(free)
			total += free
			all = append(all, c)
		}
	}
	if total == 0 {
		return Choice{}, false
	}
	at := p.Random.Float64() * float64(total)
	chosen := &all[len(all)-1]
	for n := range all {
		if at -= all[n].rank; at < 0 {
			chosen = &all[n]
			break
		}
	}
	chosen.s.batch++
	return chosen.choice(now), true
}

// Excess returns how many of this entry's batch items on a backend server have
// to give way to online work that waits there. Entries share what has to go by
// the number of items that each runs, the largest first, so that two entries
// with the same view don't both stop theirs for one request.
func (p *Pool) Excess(id string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent(now)
	s := p.servers[id]
	if s == nil || s.batch == 0 {
		return 0
	}
	online, batch := s.counts(now)
	over := min(online+batch-s.Slots, batch)
	for name, one := range p.peers {
		if over <= 0 {
			return 0
		}
		theirs := one.loads[s.hash].Batch
		if theirs > s.batch || theirs == s.batch && Hash(name) > Hash(p.Name) {
			over -= theirs
		}
	}
	return max(min(over, s.batch), 0)
}

// Servers returns the ids of the backend servers on which this entry runs batch items.
func (p *Pool) Servers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, s := range p.servers {
		if s.batch > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Take chooses a certain backend server for an online request, and counts the
// request there, if a slot is free.
func (p *Pool) Take(id string, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || s.Draining || now.Before(s.doubtedUntil) {
		return Choice{}, false
	}
	c := candidate{s: s}
	if c.online, c.batch = s.counts(now); c.online+c.batch >= s.Slots {
		return Choice{}, false
	}
	s.online++
	return c.choice(now), true
}

// Return takes back a choice of Online or Take to which nothing was sent.
func (p *Pool) Return(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		s.online--
	}
}

// Done ends a request that Online, Take or Batch counted. A failure that speaks
// against the backend server makes it doubted, twice as long each time. It says
// whether a slot is free there now.
func (p *Pool) Done(id string, batch, failed bool, now time.Time) (free bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil {
		return false
	}
	if batch {
		s.batch--
	} else {
		s.online--
	}
	if !failed {
		// What has just ended is a slot that was taken when it last said that it is full.
		s.fullUntil = time.Time{}
		online, others := s.counts(now)
		return !s.Draining && online+others < s.Slots
	}
	s.doubt = min(max(2*s.doubt, firstDoubt), longestDoubt)
	s.doubtedUntil = now.Add(s.doubt)
	return false
}

// Works notes a success, which ends all doubt.
func (p *Pool) Works(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		s.doubt, s.doubtedUntil = 0, time.Time{}
	}
}

// Served notes an online request's success and how long it held its slot.
func (p *Pool) Served(id string, took time.Duration) {
	p.Works(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil {
		return
	}
	if p.runs == nil {
		p.runs = map[string]time.Duration{}
	}
	old, ok := p.runs[s.Service]
	if !ok {
		old = took
	}
	p.runs[s.Service] = old + (took-old)/runWeight
}

// Capacity returns how long an online request of a service holds a slot on
// average, and how many slots the service has.
func (p *Pool) Capacity(service string, now time.Time) (run time.Duration, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Service == service && !s.Draining && !now.Before(s.doubtedUntil) {
			slots += s.Slots
		}
	}
	run, ok := p.runs[service]
	if !ok {
		run = defaultRun
	}
	return run, slots
}

// Free returns how many slots of a service batch items may take now, over all
// backend servers, if reserve slots stay free on each.
func (p *Pool) Free(service string, reserve int, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent(now)
	free := 0
	for _, s := range p.servers {
		if s.Service != service || s.Draining || now.Before(s.doubtedUntil) {
			continue
		}
		online, batch := s.counts(now)
		free += max(s.Slots-online-batch-reserve, 0)
	}
	return free
}

// Counts sums up the view.
type Counts struct {
	// Listed are the backend servers that aren't draining, Doubted those of them that failed lately.
	Listed, Doubted int
	// Slots are those of the listed ones.
	Slots                                        int
	OwnOnline, OwnBatch, PeersOnline, PeersBatch int
}

// Counts returns the sums of the view as it is now.
func (p *Pool) Counts(now time.Time) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent(now)
	var c Counts
	for _, s := range p.servers {
		c.OwnOnline += s.online
		c.OwnBatch += s.batch
		c.PeersOnline += s.peers.Online
		c.PeersBatch += s.peers.Batch
		if s.Draining {
			continue
		}
		c.Listed++
		c.Slots += s.Slots
		if now.Before(s.doubtedUntil) {
			c.Doubted++
		}
	}
	return c
}

package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/speed"
)

const (
	// minEjection and maxEjection bound how long a backend server that failed is
	// skipped. Recovery from a crash takes seconds; after a single connection reset it
	// works again at once.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// defaultSlots is used for backend servers that don't report how many requests
	// they run at once.
	defaultSlots = 4
)

// Load is what one entry runs on one backend server.
type Load struct {
	// Server is Hash of the backend server's id.
	Server uint32
	Online int
	Batch  int
}

// Hash is the short form of an id in messages between entries. Four bytes are
// enough to distinguish some hundred ids.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// server is the state of one backend server.
type server struct {
	sardinerock.BackendServer
	hash uint32
	// otherZone is set if it is in another availability zone.
	otherZone bool
	online    int
	batch     int
	// preempt is the run that this entry would preempt there, runs those of its service; both are nil
	// if it isn't known.
	preempt *run
	runs    *runs
	// batchStarted is when the last of this entry's batch items started.
	batchStarted time.Time
	// peerLoad is the sum of what the other entries run there. It is updated with each
	// datagram, so that the cost of a choice doesn't depend on the number of entries.
	peerLoad Load
	// batchPeers holds how many batch items each of the other entries runs there.
	batchPeers map[string]int
	// ejectedUntil is when it may be chosen again, ejection the length of the last
	// ejection; the next one is twice as long.
	ejectedUntil time.Time
	ejection     time.Duration
	aborts       abortHistory
	// fullAt is when it last reported that no slot is free, reserveRate the rate of
	// successful reservations of its service.
	fullAt      time.Time
	reserveRate *float64
	// slowness and fast are its speed as of the last update of the service's speedView, preference
	// what rankOnline uses of it; all are zero unless the speeds of the service differ or some backend
	// server warms up.
	slowness, preference float64
	fast                 bool
	// minFull is for how long it counts as full at least after fullAt.
	minFull time.Duration
	// reported is what this entry ran there when it last reported its loads to the others.
	reported int
	// freeSince is since when a slot has been visible as free; zero if none is.
	freeSince time.Time
}

// Pool is this entry's view of all backend servers. It is safe for concurrent use.
type Pool struct {
	// Name is this entry's name.
	Name string
	// Zone is this entry's availability zone; its backend servers are preferred.
	Zone string
	// Random decides between equal choices.
	Random *rand.Rand

	mu      sync.Mutex
	servers map[string]*server
	// byService holds the same backend servers as one list for each service.
	byService map[string][]*server
	// scarcities holds whether slots are scarce, by service.
	scarcities map[string]*scarcity
	// mixed holds the services of which several software versions serve.
	mixed map[string]bool
	// statesStarts holds the result of StatesStarts by service.
	statesStarts map[string]bool
	// timings holds how long online requests take, by service.
	timings map[string]*Timing
	// usableCache holds the last results of usable, by service.
	usableCache map[string]usable
	// reserveRates is the share of recent reservations that got a slot, by service.
	reserveRates map[string]*float64
	// byHash finds the same backend servers by the Hash of their ids.
	byHash map[uint32]*server
	// busy holds the backend servers, by id, on which this entry runs a request. They
	// are few of thousands, and reports to other entries and preemptions only concern these.
	busy map[string]*server
	// reported holds those of the last report.
	reported []*server
	peers    map[string]*peer
	// speeds holds what is known of the speeds of the backend servers of services that state
	// start times, speedViews what of that choices use, by service.
	speeds     speed.Table
	speedViews map[string]*speedView
	// weights are those of the last ChooseBatch; the memory is reused.
	weights []int
	// onlineSums holds the last sums of Online, by service.
	onlineSums map[string]onlineSum
	// runs holds the runs of batch items that online requests preempt, by service.
	runs map[string]*runs
}

// SetServers replaces the list of backend servers; those that stay keep their state.
func (p *Pool) SetServers(list []sardinerock.BackendServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := make(map[string]*server, len(list))
	for _, b := range list {
		s := p.servers[b.ID]
		if s == nil {
			s = &server{hash: Hash(b.ID)}
		}
		s.BackendServer, s.otherZone = b, b.Zone != p.Zone
		if s.Slots <= 0 {
			s.Slots = defaultSlots
		}
		servers[b.ID] = s
	}
	for id, s := range p.servers {
		// A backend server that was removed from the list still runs what was sent to it.
		if servers[id] == nil && s.online+s.batch > 0 {
			s.Draining = true
			servers[id] = s
		}
	}
	p.servers = servers
	p.byService, p.usableCache = map[string][]*server{}, nil
	for _, s := range servers {
		p.byService[s.Service] = append(p.byService[s.Service], s)
	}
	p.orderServers()
	p.updateVersions()
	p.updateStarts()
	p.setSpeedServers()
	p.sumPeers()
}

// orderServers orders the backend servers of each service, differently at each entry. Choices between equal
// ones follow this order, and entries with the same order would choose the same.
func (p *Pool) orderServers() {
	own := Hash(p.Name)
	for _, list := range p.byService {
		slices.SortFunc(list, func(a, b *server) int {
			return cmp.Or(cmp.Compare((a.hash^own)*hashFactor, (b.hash^own)*hashFactor), strings.Compare(a.ID, b.ID))
		})
	}
}

// updateVersions determines of which services several software versions serve.
func (p *Pool) updateVersions() {
	p.mixed = map[string]bool{}
	for service, list := range p.byService {
		first := ""
		found := false
		for _, s := range list {
			switch {
			case s.Draining:
			case !found:
				first, found = s.Version, true
			case s.Version != first:
				p.mixed[service] = true
			}
		}
	}
}

// Mixed reports whether backend servers of several software versions serve a service.
func (p *Pool) Mixed(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mixed[service]
}

// Known reports whether a backend server is on the list or still runs a request of this
// entry.
func (p *Pool) Known(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[id] != nil
}

// Leaving reports whether a backend server is to end: it drains, or is no longer on the list.
func (p *Pool) Leaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	return s == nil || s.Draining
}

// OwnLoads returns what this entry runs, ordered by Server.
func (p *Pool) OwnLoads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setReported()
	var loads []Load
	for _, s := range p.busy {
		loads = append(loads, Load{Server: s.hash, Online: s.online, Batch: s.batch})
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Server, b.Server) })
	return loads
}

// BatchServers returns the ids of the backend servers on which this entry runs batch items.
func (p *Pool) BatchServers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, s := range p.busy {
		if s.batch > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// addLoad adds to what this entry runs on a backend server.
func (p *Pool) addLoad(s *server, online, batch int) {
	s.online += online
	s.batch += batch
	s.resetVisible()
	if p.busy == nil {
		p.busy = map[string]*server{}
	}
	if s.online+s.batch > 0 {
		p.busy[s.ID] = s
	} else {
		delete(p.busy, s.ID)
	}
}

// Done ends a request that was counted by a choice. A failure of the backend
// server ejects it, twice as long each time. Done returns whether a slot is free there now.
func (p *Pool) Done(id string, batch, failed bool, now time.Time) (free bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil {
		return false
	}
	if batch {
		p.addLoad(s, 0, -1)
	} else {
		p.addLoad(s, -1, 0)
	}
	if !failed {
		// The ended request has freed a slot, so the last report of a full backend server no longer holds.
		s.fullAt = time.Time{}
		online, batchItems := s.counts(now)
		return !s.Draining && online+batchItems < s.Slots
	}
	s.recordAbort(now)
	s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejection)
	return false
}

// RecordSuccess records a success, which ends an ejection.
func (p *Pool) RecordSuccess(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		s.ejection, s.ejectedUntil = 0, time.Time{}
	}
}

// FreeSlots returns how many slots of a service batch items may take now, over all
// backend servers, if reserve slots stay free on each.
func (p *Pool) FreeSlots(service string, reserve int, now time.Time) int {
	return p.countFreeSlots(service, reserve, false, now)
}

// FreeSlotsAtRisk is FreeSlots for items that are at risk of missing their due time.
func (p *Pool) FreeSlotsAtRisk(service string, reserve int, now time.Time) int {
	return p.countFreeSlots(service, reserve, true, now)
}

func (p *Pool) countFreeSlots(service string, reserve int, atRisk bool, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := 0
	for _, s := range p.byService[service] {
		free += p.itemSlots(s, reserve, atRisk, now)
	}
	return free
}

// Counts holds totals over all backend servers.
type Counts struct {
	// Listed counts the backend servers that aren't draining, Ejected those of them
	// that failed recently.
	Listed, Ejected int
	// Slots is the number of slots of the listed ones.
	Slots                                        int
	OwnOnline, OwnBatch, PeersOnline, PeersBatch int
}

// Counts returns the present totals.
func (p *Pool) Counts(now time.Time) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	var c Counts
	for _, s := range p.servers {
		c.OwnOnline += s.online
		c.OwnBatch += s.batch
		c.PeersOnline += s.peerLoad.Online
		c.PeersBatch += s.peerLoad.Batch
		if s.Draining {
			continue
		}
		c.Listed++
		c.Slots += s.Slots
		if now.Before(s.ejectedUntil) {
			c.Ejected++
		}
	}
	return c
}

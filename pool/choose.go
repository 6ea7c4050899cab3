package pool

import (
	"math"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/rights"
)

// Choice is the chosen backend server with the values that decided the choice.
type Choice struct {
	sardinerock.BackendServer
	// Online and Batch are the requests that all entries run there, as far as this
	// entry knows.
	Online int
	Batch  int
	// Factor is the time per event that the choice assumed, relative to the usual one of the
	// service; 1 if the speeds don't differ and it isn't warming up.
	Factor float64
	// Ejected is set if the backend server failed recently and no other was available.
	Ejected bool
	// Right is by what right the slot is asked for.
	Right Right
}

// Load returns the share of the slots that were in use.
func (c *Choice) Load() float64 { return float64(c.Online+c.Batch) / float64(max(c.Slots, 1)) }

// Full reports whether the next request has to wait for a slot.
func (c *Choice) Full() bool { return c.Online+c.Batch >= c.Slots }

// The weights of a rank; the backend server with the lowest rank is chosen. They
// differ enough that each decides only between backend servers that the larger
// ones rank alike.
const (
	// rankEjected ranks backend servers that failed recently after all others.
	rankEjected = 1000
	// rankQueued ranks those where a request has to wait behind online work after
	// those with room.
	rankQueued = 100
	// rankSuspect ranks suspect backend servers after those with a free slot and those
	// where a batch item has to be preempted. It applies to requests that may run only once.
	rankSuspect = 20
	// rankPreempt ranks those where a batch item has to be preempted after those with
	// a free slot.
	rankPreempt = 10
	// rankOtherZone is how many slots more a backend server of this availability zone
	// may have in use than one of another zone. One slot keeps normal traffic in its
	// zone, which saves traffic between zones. With more, bursts would stay in the
	// zone too and preempt batch items while slots are free elsewhere.
	rankOtherZone = 1
	// rankSpeed is the share of its free slots, beyond speedHeadroom, by which a backend server that is
	// twice as fast as usual counts as less loaded. With more, requests collide at the fast ones.
	rankSpeed = 0.5
)

// maxCandidates is how many backend servers a choice compares if one of them has
// a free slot. The least loaded of some dozens chosen at random is about as good
// as the least loaded of thousands, and the cost does not depend on the fleet's size.
const maxCandidates = 96

// ChooseOnline chooses the backend server of a service for an online request and
// counts the request there until Done or CancelOnline. It returns false if there is none.
//
// It is designed for bursts of nearly twice the mean load that fill three quarters
// of all slots within a second, while batch items hold the rest. If each entry used
// only its own counts, several would choose the same backend server, where the last
// requests would wait for another request's whole response.
//
// If the backend server aborts a request that may run only once, it is lost, since it is unknown whether it
// ran. So suspect backend servers are skipped for such requests while any other has a slot.
func (p *Pool) ChooseOnline(service string, r *Request, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.choose(service, r, nil, now)
}

// choose chooses the backend server with the lowest rank, among those to which the request has a
// right unless c is nil.
func (p *Pool) choose(service string, r *Request, c *scarcity, now time.Time) (Choice, bool) {
	var best, blocked candidate
	growth := r.Growth()
	p.updateSpeeds(service, now)
	// The search starts at a random index, so that equally ranked backend servers are
	// chosen equally often.
	list := p.byService[service]
	start, checked := p.randomIndex(list), 0
	for _, part := range [2][]*server{list[start:], list[:start]} {
		for _, s := range part {
			if r.skips(s) {
				continue
			}
			if checked >= maxCandidates && (best.hasFree(now) || blocked.hasFree(now)) {
				break
			}
			checked++
			rank, right := p.rankOnline(s, r.Once, now), RightUnneeded
			if best.server != nil && rank >= best.rank {
				continue
			}
			// The rank comes first since it updates the run that would be preempted.
			if c != nil {
				right = s.right(c, growth, now)
			}
			switch {
			case right != RightNone:
				best.replace(s, rank, right)
			case blocked.server == nil || blocked.rank >= rankPreempt:
				blocked.replace(s, rank, right)
			}
		}
	}
	// A slot that the request may ask for later is better than to queue at a backend server, or to try
	// one that failed recently.
	if blocked.server != nil && (best.server == nil || blocked.rank < rankSuspect && best.rank >= rankSuspect) {
		best = blocked
	}
	// A free slot that the request may ask for later can be better than to preempt an item now.
	if blocked.server != nil && blocked.rank < rankPreempt && best.rank >= rankPreempt && rights.WaitsForFree(growth, c.rising) {
		best = blocked
	}
	if best.server == nil {
		return Choice{}, false
	}
	choice := best.choice(now)
	choice.Right = best.right
	p.addLoad(best.server, 1, 0)
	return choice, true
}

// candidate is the best backend server so far in a choice.
type candidate struct {
	*server
	rank  float64
	right Right
}

// hasFree reports whether a slot is free at the candidate.
func (c *candidate) hasFree(now time.Time) bool { return c.server != nil && c.freeSlots(0, now) > 0 }

// replace replaces the candidate by one with a lower rank.
func (c *candidate) replace(s *server, rank float64, right Right) {
	if c.server == nil || rank < c.rank {
		*c = candidate{s, rank, right}
	}
}

func (p *Pool) rankOnline(s *server, once bool, now time.Time) float64 {
	online, batch := s.counts(now)
	rank := float64(online + batch)
	if s.otherZone {
		rank += rankOtherZone
	}
	rank += s.speedRank(online + batch)
	switch {
	case online >= s.Slots:
		rank += rankQueued * float64(online)
	case online+batch >= s.Slots:
		rank += rankPreempt * float64(s.Slots)
		if s.runs != nil {
			rank += p.preemptRank(s, now) * float64(s.Slots)
		}
	}
	rank /= float64(s.Slots)
	if once && s.aborts.suspect(now) {
		rank += rankSuspect
	}
	if s.ejection > 0 && now.Before(s.ejectedUntil) {
		rank += rankEjected
	}
	return rank
}

func (s *server) choice(now time.Time) Choice {
	online, batch := s.counts(now)
	return Choice{BackendServer: s.BackendServer, Online: online, Batch: batch, Factor: math.Exp2(s.slowness), Ejected: now.Before(s.ejectedUntil)}
}

// BatchRequest describes a batch item for which a backend server is chosen.
type BatchRequest struct {
	// Reserve is the number of slots that have to stay free.
	Reserve int
	// AtRisk is set if the item is at risk of missing its due time.
	AtRisk bool
	// Origin is that of the item's text so far; unknown if it has none.
	Origin sardinerock.Origin
}

// ChooseBatch chooses a backend server of a service for a batch item and counts the
// item there until Done. It returns false if no backend server has more than the reserved
// slots free. The choice is random, weighted by free slots and by speed: if all entries chose the
// emptiest one, most of their items would be preempted again.
func (p *Pool) ChooseBatch(service string, r BatchRequest, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byService[service]
	v := p.updateSpeeds(service, now)
	total := 0
	p.weights = p.weights[:0]
	for _, s := range list {
		weight := 0
		if !r.Origin.Known() || r.Origin == s.Origin() {
			weight = v.batchWeight(s, p.itemSlots(s, r.Reserve, r.AtRisk, now))
		}
		p.weights = append(p.weights, weight)
		total += weight
	}
	if total == 0 {
		return Choice{}, false
	}
	at := p.Random.IntN(total)
	for n, s := range list {
		if at -= p.weights[n]; at < 0 {
			c := s.choice(now)
			p.addLoad(s, 0, 1)
			s.batchStarted = now
			return c, true
		}
	}
	return Choice{}, false
}

// freeSlots returns how many slots batch items may take if reserve of them stay free.
func (s *server) freeSlots(reserve int, now time.Time) int {
	if s.Draining || s.ejection > 0 && now.Before(s.ejectedUntil) {
		return 0
	}
	online, batch := s.counts(now)
	return max(s.Slots-online-batch-reserve, 0)
}

// randomIndex returns a random index of a list, or 0 if it is empty.
func (p *Pool) randomIndex(list []*server) int {
	if len(list) == 0 {
		return 0
	}
	return p.Random.IntN(len(list))
}

// Excess returns how many of this entry's batch items on a backend server have to
// be preempted for online work that waits there. Entries with the most items there
// preempt first, so that two entries with the same view don't both preempt an item
// for one request.
func (p *Pool) Excess(id string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || s.batch == 0 {
		return 0
	}
	online, batch := s.counts(now)
	excess := min(online+batch-s.Slots, batch)
	for name, items := range s.batchPeers {
		if excess <= 0 {
			return 0
		}
		if items > s.batch || items == s.batch && Hash(name) > Hash(p.Name) {
			excess -= items
		}
	}
	return max(min(excess, s.batch), 0)
}

// ChooseServer chooses the given backend server for an online request and counts
// the request there until Done or CancelOnline. It returns false if no slot is free.
func (p *Pool) ChooseServer(id string, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chooseServer(id, now)
}

// ChooseHeld is like ChooseServer for a request that is counted there already by an earlier call. If it returns false, the
// request isn't counted any more.
func (p *Pool) ChooseHeld(id string, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		p.addLoad(s, -1, 0)
	}
	return p.chooseServer(id, now)
}

func (p *Pool) chooseServer(id string, now time.Time) (Choice, bool) {
	s := p.servers[id]
	if s == nil || s.Draining || now.Before(s.ejectedUntil) {
		return Choice{}, false
	}
	c := s.choice(now)
	if c.Full() {
		return Choice{}, false
	}
	if p.statesStarts[s.Service] {
		c.Right = RightFreed
	}
	p.addLoad(s, 1, 0)
	return c, true
}

// Serves reports whether a backend server that isn't draining has an origin.
func (p *Pool) Serves(o sardinerock.Origin) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byService[o.Service] {
		if !s.Draining && s.Origin() == o {
			return true
		}
	}
	return false
}

// CancelOnline undoes a choice for an online request that was not sent.
func (p *Pool) CancelOnline(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		p.addLoad(s, -1, 0)
	}
}

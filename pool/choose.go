package pool

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

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

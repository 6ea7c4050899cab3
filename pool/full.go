package pool

import "time"

const (
	// minFullTime is how long a backend server counts as full after it reserved no slot,
	// if nearly every reservation gets one. With eight slots and runs of 0.6 s one is
	// freed every 75 ms, and by then the other entries have reported their requests.
	minFullTime = 50 * time.Millisecond
	// updatesPerReuse is how many reports of other entries pass until a view that has proved wrong is
	// renewed: one says that a slot is free, one that it is taken again.
	updatesPerReuse = 2
	// maxRenewal bounds the time of these reports.
	maxRenewal = 500 * time.Millisecond
	// minReserveRate is the least reserveRate, so that a backend server counts as
	// full for half a second at most. Its load changes faster than that, and with
	// longer times streams would be late in bursts that just fit the slots.
	minReserveRate = 0.316
	// reserveRateWeight is the inverse weight of one reservation in the average. The
	// average follows the start and the end of a burst within one pass over the
	// backend servers.
	reserveRateWeight = 8
)

// RecordFull records that a backend server has no free slot: other entries have
// sent requests there that this entry doesn't know of yet.
//
// It is designed for bursts of two seconds that need a third more slots than there
// are, at hundreds of entries. Each entry has waiting requests, and all try to
// reserve each slot that is freed. With a fixed time each entry would ask each backend
// server several times a second, nearly always without success. So the fewer of an
// entry's reservations succeed, the less often it asks; it need not know how many
// other entries ask. A fixed limit on reservations would leave slots idle instead.
func (p *Pool) RecordFull(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil {
		return
	}
	s.fullAt, s.reserveRate = now, p.reserveRate(s.Service)
	s.minFull = minFullTime
	if c := p.scarcities[s.Service]; c != nil && p.statesStarts[s.Service] {
		s.minFull = min(max(s.minFull, updatesPerReuse*c.viewAge), maxRenewal)
	}
	*s.reserveRate = max(*s.reserveRate-*s.reserveRate/reserveRateWeight, minReserveRate)
}

// RecordReserved records that a backend server reserved a slot for a request.
func (p *Pool) RecordReserved(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		rate := p.reserveRate(s.Service)
		*rate += (1 - *rate) / reserveRateWeight
	}
}

// reserveRate returns the share of a service's recent reservations that got a slot.
func (p *Pool) reserveRate(service string) *float64 {
	if p.reserveRates == nil {
		p.reserveRates = map[string]*float64{}
	}
	rate := p.reserveRates[service]
	if rate == nil {
		initial := 1.0
		rate = &initial
		p.reserveRates[service] = rate
	}
	return rate
}

// counts returns what all entries together run on a backend server.
func (s *server) counts(now time.Time) (online, batch int) {
	online, batch = s.online+s.peerLoad.Online, s.batch+s.peerLoad.Batch
	if s.full(now) {
		online = max(online, s.Slots-batch)
	}
	return online, batch
}

// full reports whether the backend server still counts as full. The time depends on the
// present rate of successful reservations, so it is shorter again after a burst.
func (s *server) full(now time.Time) bool {
	if s.fullAt.IsZero() {
		return false
	}
	rate := *s.reserveRate
	return now.Sub(s.fullAt) < max(time.Duration(float64(minFullTime)/(rate*rate)), s.minFull)
}

package pool

import "time"

// onlineCacheTime is how long a sum of online requests is reused. Summing iterates over all backend
// servers of a service, and the reports of other entries are older than that.
const onlineCacheTime = 50 * time.Millisecond

// onlineSum is a cached sum of the online requests of a service.
type onlineSum struct {
	at     time.Time
	online int
}

// Online returns how many online requests of a service all entries run, as far as this entry knows,
// and how many slots its usable backend servers have.
func (p *Pool) Online(service string, now time.Time) (online, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.onlineSums == nil {
		p.onlineSums = map[string]onlineSum{}
	}
	sum := p.onlineSums[service]
	if elapsed := now.Sub(sum.at); sum.at.IsZero() || elapsed < 0 || elapsed >= onlineCacheTime {
		sum = onlineSum{at: now}
		for _, s := range p.byService[service] {
			sum.online += s.online + s.peerLoad.Online
		}
		p.onlineSums[service] = sum
	}
	_, slots = p.usable(service, now)
	return sum.online, slots
}

package pool

import (
	"time"

	"github.com/sardinerock/sardinerock/speed"
)

// Speed returns the estimate of a backend server's speed, speed.Unknown if there is none.
func (p *Pool) Speed(id string, now time.Time) speed.Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.Estimate(id, now)
}

// RecordRun records what a run of a batch item shows of a backend server's speed.
func (p *Pool) RecordRun(id string, s speed.Sample, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speeds.Record(id, s, now)
}

// setSpeedServers passes the backend servers of which speeds are learned to the table: those of
// services that state start times. An incarnation that has ended is forgotten.
func (p *Pool) setSpeedServers() {
	var list []speed.Server
	for service, servers := range p.byService {
		if !p.statesStarts[service] {
			continue
		}
		for _, s := range servers {
			if !s.Draining {
				list = append(list, speed.Server{ID: s.ID, Service: service, Hash: s.hash, WarmUp: s.WarmUp, Sequence: s.Sequence})
			}
		}
	}
	p.speeds.SetServers(list)
	p.speedViews = nil
}

// speedView is what choices of a service use of its speeds.
type speedView struct {
	at     time.Time
	differ bool
}

// speedView returns the present view of a service's speeds. It costs nothing but a map access
// between two comparisons.
func (p *Pool) speedView(service string, now time.Time) *speedView {
	differ, at := p.speeds.Differ(service, now)
	v := p.speedViews[service]
	if v == nil {
		if p.speedViews == nil {
			p.speedViews = map[string]*speedView{}
		}
		v = &speedView{}
		p.speedViews[service] = v
	} else if v.at.Equal(at) {
		return v
	}
	v.at, v.differ = at, differ
	for _, s := range p.byService[service] {
		s.speed = p.speeds.Relative(s.ID)
	}
	return v
}

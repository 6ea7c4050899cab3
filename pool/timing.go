package pool

import (
	"time"

	"github.com/sardinerock/sardinerock/speed"
)

const (
	// timingWeight is the inverse weight of one request in the averages of its service;
	// an average covers some seconds of one entry's requests.
	timingWeight = 32
	// defaultRun and defaultFirstByte are used until a service has answered. After
	// some thirty responses they no longer count.
	defaultRun       = 300 * time.Millisecond
	defaultFirstByte = 40 * time.Millisecond
	// maxSampleFactor limits one sample to a multiple of the average: a caller that
	// reads slowly or a backend server that freezes says nothing about other requests.
	maxSampleFactor = 4
)

// Timing is the average time that online requests of a service take.
type Timing struct {
	// Run is how long a request holds a slot.
	Run time.Duration
	// FirstByte is how long the response takes to start in a free slot.
	FirstByte time.Duration
}

// Sample is the time that one request took.
type Sample struct {
	Timing
	// Queued is set if the request may have waited for a slot at the backend server, so
	// that FirstByte does not count.
	Queued bool
	// Speed is what the response shows of the backend server's speed, and At is when it ended.
	Speed speed.Sample
	At    time.Time
}

// updateAverage moves an average towards a sample.
func updateAverage(average *time.Duration, sample time.Duration) {
	sample = min(sample, maxSampleFactor**average)
	*average += (sample - *average) / timingWeight
}

// timing returns the averages of a service.
func (p *Pool) timing(service string) *Timing {
	if p.timings == nil {
		p.timings = map[string]*Timing{}
	}
	t := p.timings[service]
	if t == nil {
		t = &Timing{Run: defaultRun, FirstByte: defaultFirstByte}
		p.timings[service] = t
	}
	return t
}

// RecordServed records a successful online request and the time it took.
func (p *Pool) RecordServed(id string, s Sample) {
	p.RecordSuccess(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	srv := p.servers[id]
	if srv == nil {
		return
	}
	p.speeds.Record(id, s.Speed, s.At)
	if v := p.speedViews[srv.Service]; v != nil {
		v.recordServed(srv)
	}
	t := p.timing(srv.Service)
	updateAverage(&t.Run, s.Run)
	if !s.Queued {
		updateAverage(&t.FirstByte, s.FirstByte)
	}
}

// Capacity describes what a service can process.
type Capacity struct {
	Timing
	// Servers is the number of usable backend servers, Slots that of all their slots.
	Servers, Slots int
	// OwnOnline is how many online requests of the service this entry runs.
	OwnOnline int
}

// Capacity returns the present capacity of a service.
func (p *Pool) Capacity(service string, now time.Time) Capacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := Capacity{Timing: *p.timing(service)}
	c.Servers, c.Slots = p.usable(service, now)
	for _, s := range p.busy {
		if s.Service == service {
			c.OwnOnline += s.online
		}
	}
	return c
}

// usableCacheTime is how long a count of usable backend servers is reused. Counting
// iterates over all of them, and their number changes only over seconds.
const usableCacheTime = 50 * time.Millisecond

// usable is a cached count of a service's usable backend servers and their slots.
type usable struct {
	at             time.Time
	servers, slots int
}

func (p *Pool) usable(service string, now time.Time) (servers, slots int) {
	if p.usableCache == nil {
		p.usableCache = map[string]usable{}
	}
	u := p.usableCache[service]
	if elapsed := now.Sub(u.at); u.at.IsZero() || elapsed < 0 || elapsed >= usableCacheTime {
		u = usable{at: now}
		for _, s := range p.byService[service] {
			if !s.Draining && !now.Before(s.ejectedUntil) {
				u.servers++
				u.slots += s.Slots
			}
		}
		p.usableCache[service] = u
	}
	return u.servers, u.slots
}

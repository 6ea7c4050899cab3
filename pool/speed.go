package pool

import (
	"math"
	"time"

	"github.com/sardinerock/sardinerock/speed"
)

const (
	// peakTime is the time in which the remembered peak of online requests decays to 1/e. It spans
	// the lulls of a load with bursts every five seconds.
	peakTime = 10 * time.Second
	// nearCapacity is the share of the slots of the fast backend servers from which on online
	// requests need these servers. Above it, requests that arrive within the age of the view fill
	// the rest.
	nearCapacity = 0.75
	// speedHeadroom is the number of free slots from which on online requests prefer a fast backend
	// server. Other entries fill the slots below within the age of the view.
	speedHeadroom = 2
	// rankSteps is how many steps of slowness a rank distinguishes in a factor of 2. Backend servers of
	// about the same speed have the same rank, so that entries don't all choose the same one.
	rankSteps = 2
	// batchPreference is how much more likely an item starts in a free slot of the preferred
	// backend servers than in one of the others. With a greater preference entries collide there.
	batchPreference = 3
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

// SpeedReports returns what this entry's responses show of speeds, to be sent to the others now. It
// is called before each message, and compares the speeds of the backend servers.
func (p *Pool) SpeedReports(now time.Time) []speed.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speeds.Update(now)
	for service := range p.byService {
		p.updateSpeeds(service, now)
	}
	return p.speeds.Reports(now)
}

// ReceiveSpeeds adds the reports in a message of another entry, after SetPeer.
func (p *Pool) ReceiveSpeeds(name string, reports []speed.Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from := p.peers[name]; from != nil {
		p.speeds.Receive(reports, from.speeds, now)
		from.speeds = reports
	}
}

// SpeedChanges returns the notable changes of estimates since the last call.
func (p *Pool) SpeedChanges() []speed.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.Changes()
}

// KnownSpeeds returns the number of backend servers with an estimate, and of services whose backend
// servers differ in speed.
func (p *Pool) KnownSpeeds() (servers, differing int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speeds.Known()
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
}

// speedView is what choices use of the speeds of a service.
type speedView struct {
	// at is the time of the comparison of speeds that it is from.
	at time.Time
	// differ is set if the speeds differ, acts if they do or a backend server that warms up counts as slow.
	differ, acts bool
	// itemsFast is set if items prefer the fast backend servers, not the others.
	itemsFast bool
	// peak is a decaying maximum of the online requests on all backend servers.
	peak float64
	// served is the average slowness of the backend servers that served requests, as a binary logarithm;
	// 0 unless the speeds differ.
	served float64
}

// updateSpeeds brings the view of a service's speeds, and what its backend servers keep of it, up to
// date. Unless there was a comparison of speeds, it only looks the view up.
func (p *Pool) updateSpeeds(service string, now time.Time) *speedView {
	differ, warming, at := p.speeds.Differ(service, now)
	acts := differ || warming
	v := p.speedViews[service]
	switch {
	case v == nil:
		if p.speedViews == nil {
			p.speedViews = map[string]*speedView{}
		}
		v = &speedView{}
		p.speedViews[service] = v
	case v.at.Equal(at):
		return v
	}
	if !acts && !v.acts {
		v.at = at
		return v
	}
	if acts && v.acts {
		v.peak *= math.Exp(-at.Sub(v.at).Seconds() / peakTime.Seconds())
	} else {
		// It isn't observed while speeds don't count.
		v.peak = 0
	}
	v.at, v.differ, v.acts = at, differ, acts
	if !differ {
		v.served = 0
	}
	total, fastSlots := 0, 0
	for _, s := range p.byService[service] {
		s.slowness, s.preference, s.fast = 0, 0, false
		if !acts {
			continue
		}
		r := p.speeds.Relative(s.ID)
		s.slowness, s.fast = r.Slowness, r.Fast
		s.preference = rankSpeed * math.Round(rankSteps*r.Slowness) / rankSteps
		online, _ := s.counts(now)
		total += online
		if s.fast && !s.Draining {
			fastSlots += s.Slots
		}
	}
	v.peak = max(v.peak, float64(total))
	v.itemsFast = v.peak < nearCapacity*float64(fastSlots)
	return v
}

// speedRank returns how many slots more or less in use a backend server's speed counts as in the
// rank of an online choice.
//
// It is designed for a service of which a quarter of the backend servers is twice as fast, with 30
// entries, views 0.1 s old, and bursts of 1.85 times the mean load. A stream holds a slot of a fast
// server half as long, which leaves slots to batch items. But within the age of a view three requests
// arrive for each fast server. So the preference is in proportion to the free slots: it is strong
// while these are many, and the last slots of a fast server are used like any others. Where an item has
// to be preempted, a fast server is preferred by a slot: the rights spread such requests over the entries.
func (s *server) speedRank(used int) float64 {
	if used >= s.Slots {
		return s.preference
	}
	return s.preference * float64(max(s.Slots-used-speedHeadroom, 0))
}

// batchWeight returns the weight of a backend server with free slots in the choice for a batch item.
//
// It is designed for the same load. While the peaks of online work need the fast backend servers, items
// that run there would be preempted at the beginning of each burst, so more of them start on the slow
// ones. If online work needs few of the fast ones, items are done sooner there.
func (v *speedView) batchWeight(s *server, free int) int {
	if v.acts && s.fast == v.itemsFast {
		return batchPreference * free
	}
	return free
}

// recordServed records the speed of a backend server that served a request.
func (v *speedView) recordServed(s *server) {
	if v.differ {
		v.served += (s.slowness - v.served) / timingWeight
	}
}

// RunOn returns how long a request holds a slot of a backend server, given the average of its service.
// It differs from the average if the speeds of the service's backend servers differ, or if that one warms up.
func (p *Pool) RunOn(id string, average time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil {
		return average
	}
	v := p.speedViews[s.Service]
	if v == nil || !v.acts {
		return average
	}
	return time.Duration(float64(average) * math.Exp2(s.slowness-v.served))
}

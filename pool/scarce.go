package pool

import (
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/rights"
)

const (
	// scarcityInterval is the time between two checks whether slots are scarce; a burst arrives
	// within hundreds of milliseconds. A check visits all backend servers of the service.
	scarcityInterval = 10 * time.Millisecond
	// scarcityTimeout is how long after the last online request of this entry the slots still count as scarce.
	scarcityTimeout = time.Second
	// maxCountAges is the maximum time between two counts of online requests, as a number of view ages, after
	// which a difference still shows the beginning of a burst.
	maxCountAges = 3
	// maxAssigned is the number of requests per entry and view age above which an entry may also preempt runs
	// that aren't assigned to it; on average one is. Otherwise the requests of a few busy entries would be late
	// at the beginning of each burst.
	maxAssigned = 3
	// minPeriod is the minimum time for which an entry keeps its rights. It covers a
	// poll for a slot and two round trips.
	minPeriod = 50 * time.Millisecond
)

// Right says by what right an entry asks a backend server for a slot.
type Right string

const (
	// RightUnneeded means that slots are ample.
	RightUnneeded Right = ""
	// RightFreed means that a request of this entry has freed the slot.
	RightFreed Right = "freed"
	// RightHeld means that the entry is one of the few that may ask for the slot at once.
	RightHeld Right = "held"
	// RightGrown means that the request has the right since it has waited, or can't wait.
	RightGrown Right = "grown"
	// RightNone means that the request has no right to any slot yet and should wait.
	RightNone Right = "none"
)

// Request describes an online request for which a backend server is chosen.
type Request struct {
	// Request is how long it can wait for a right to a slot, if one is reserved before it is sent.
	rights.Request
	// Tried holds the ids of the backend servers to skip.
	Tried map[string]bool
	// Once is set if the request may run only once.
	Once bool
	// Origin is that of the stream that goes on; unknown for a new one.
	Origin sardinerock.Origin
	// ViewAge is how old the known loads of other entries may be.
	ViewAge time.Duration
}

// skips reports whether a request may not be sent to a backend server.
func (r *Request) skips(s *server) bool {
	return s.Draining || len(r.Tried) > 0 && r.Tried[s.ID] || r.Origin.Known() && r.Origin != s.Origin()
}

// scarcity is what an entry knows of a service whose slots may be scarce.
type scarcity struct {
	checked  time.Time
	scarce   bool
	viewAge  time.Duration
	period   int64
	division rights.Division
	// rising is set if a burst begins. online is the number of online requests of all entries at
	// countedAt, from which it is determined.
	rising    bool
	online    int
	countedAt time.Time
	// frequent is set if an entry starts more requests within the age of a view than runs are assigned to it.
	frequent bool
}

// ChooseReserving is ChooseOnline for a request for which a slot is reserved first. While the slots
// of its service are scarce, only slots to which this entry has a right are chosen. If there are none,
// the choice has RightNone, and the request should wait.
func (p *Pool) ChooseReserving(service string, r *Request, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.choose(service, r, p.updateScarcity(service, r.ViewAge, now), now)
}

// updateScarcity returns the scarcity of a service, nil if its slots are ample, or if its backend
// servers don't state their start times.
func (p *Pool) updateScarcity(service string, viewAge time.Duration, now time.Time) *scarcity {
	if !p.statesStarts[service] {
		return nil
	}
	c := p.scarcities[service]
	if c == nil {
		if p.scarcities == nil {
			p.scarcities = map[string]*scarcity{}
		}
		c = &scarcity{}
		p.scarcities[service] = c
	}
	if elapsed := now.Sub(c.checked); c.checked.IsZero() || elapsed < 0 || elapsed >= scarcityInterval {
		c.checked, c.viewAge = now, viewAge
		p.checkScarcity(service, c, now)
	}
	if !c.scarce {
		return nil
	}
	return c
}

func (p *Pool) checkScarcity(service string, c *scarcity, now time.Time) {
	free, own, all, slots := 0, 0, 0, 0
	for _, s := range p.byService[service] {
		s.updateVisible(now)
		free += s.freeSlots(0, now)
		own += s.online
		all += s.online + s.peerLoad.Online
		slots += s.Slots
	}
	c.observeOnline(all, slots, now)
	starts, entries := float64(all)*c.viewAge.Seconds()/p.timing(service).Run.Seconds(), len(p.peers)+1
	c.scarce = rights.Scarce(c.scarce, free, starts)
	c.frequent = starts > maxAssigned*float64(entries)*max(float64(c.viewAge)/float64(2*youngAge), 1)
	if period := now.UnixNano() / int64(max(c.viewAge, minPeriod)); c.scarce && (period != c.period || c.division.Entries == 0) {
		c.period, c.division = period, rights.NewDivision(Hash(p.Name), period, own, all, entries)
	}
}

// observeOnline determines once per view age whether a burst begins. It isn't known after a pause.
func (c *scarcity) observeOnline(online, slots int, now time.Time) {
	if elapsed := now.Sub(c.countedAt); elapsed < 0 || elapsed >= c.viewAge {
		c.rising = elapsed >= 0 && elapsed < maxCountAges*c.viewAge && rights.Rising(c.online, online, slots)
		c.online, c.countedAt = online, now
	}
}

// right returns by what right a request may ask a backend server for a slot. growth is how far the
// request's rights have grown. The slots that the other entries know to be free are divided. What this entry
// has started since its last report counts against its rights, and slots that its requests have
// freed since then belong to it.
func (s *server) right(c *scarcity, growth float64, now time.Time) Right {
	online, batch := s.counts(now)
	if online >= s.Slots || now.Before(s.ejectedUntil) {
		return RightUnneeded
	}
	left := s.reported - s.online - s.batch
	slots := max(s.Slots-s.peerLoad.Online-s.peerLoad.Batch-s.reported, 0)
	preempt := online+batch >= s.Slots
	if preempt {
		slots += batch
	} else if left > 0 {
		return RightFreed
	}
	if growth > 0 && !preempt {
		growth = rights.Settled(growth, s.visible(now))
	}
	if growth >= 1 {
		return RightGrown
	}
	if preempt && s.runs != nil {
		return s.preemptRight(c, growth, slots, left)
	}
	if s.holds(c, slots, rights.Level(0, c.division.Entries, preempt)) > -left {
		return RightHeld
	}
	if growth > 0 && s.holds(c, slots, rights.Level(growth, c.division.Entries, preempt)) > -left {
		return RightGrown
	}
	return RightNone
}

// preemptRight returns by what right a request may preempt a batch item at a backend server whose runs are
// known. Each of the youngest runs is assigned to one entry, which alone may preempt it at once. A draw
// besides would leave assigned runs unused and lead to older ones. As the rights grow, the other young
// runs follow; right allows all runs at the end. Entries with frequent requests draw besides.
func (s *server) preemptRight(c *scarcity, growth float64, slots, left int) Right {
	switch {
	case s.preempt != nil && s.preempt.rank < preferYoung:
		return RightHeld
	case c.frequent || c.division.Entries <= 1:
		if s.holds(c, slots, rights.Level(growth, c.division.Entries, true)) > -left {
			return RightHeld
		}
		return RightNone
	case s.preempt == nil:
		return RightNone
	case growth > 0 && s.holds(c, slots, growth*float64(c.division.Entries)) > -left:
		return RightGrown
	}
	return RightNone
}

// holds returns to how many of a backend server's first slots this entry has a right.
func (s *server) holds(c *scarcity, slots int, level float64) int {
	held := 0
	for n := range slots {
		if c.division.Holds(s.hash, n, level) {
			held++
		}
	}
	return held
}

// visible returns for how long a slot has been visible as free.
func (s *server) visible(now time.Time) time.Duration {
	s.updateVisible(now)
	return now.Sub(s.freeSince)
}

// updateVisible records since when a slot has been visible as free.
func (s *server) updateVisible(now time.Time) {
	if !s.resetVisible() && s.freeSince.IsZero() {
		s.freeSince = now
	}
}

// resetVisible records that no slot is visible as free, and reports whether that is so.
func (s *server) resetVisible() bool {
	full := s.online+s.batch+s.peerLoad.Online+s.peerLoad.Batch >= s.Slots
	if full {
		s.freeSince = time.Time{}
	}
	return full
}

// itemSlots returns how many slots of a backend server batch items may take if reserve of them stay
// free. While slots are scarce, one must have been visible as free for rights.ItemDelay.
//
// It is designed for bursts beside jobs. The fewer reservations of online requests are refused, the longer
// a slot is visible as free to items. Items that took it at once would be preempted by the next requests.
// Items at risk of missing their due time don't wait: under constant high load no slot stays free that long.
func (p *Pool) itemSlots(s *server, reserve int, atRisk bool, now time.Time) int {
	free := s.freeSlots(reserve, now)
	if free == 0 || atRisk || !p.scarceNow(s.Service, now) {
		return free
	}
	if s.visible(now) < rights.ItemDelay {
		return 0
	}
	return free
}

// Scarce reports whether the slots of a service are scarce, so that batch items wait before they take one.
func (p *Pool) Scarce(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scarceNow(service, now)
}

func (p *Pool) scarceNow(service string, now time.Time) bool {
	c := p.scarcities[service]
	return c != nil && c.scarce && p.statesStarts[service] && now.Sub(c.checked) <= scarcityTimeout
}

// setReported records what this entry now reports to the others.
func (p *Pool) setReported() {
	for _, s := range p.reported {
		s.reported = 0
	}
	p.reported = p.reported[:0]
	for _, s := range p.busy {
		s.reported = s.online + s.batch
		p.reported = append(p.reported, s)
	}
}

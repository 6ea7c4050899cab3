package relay

import (
	"sync"
	"time"

	"github.com/sardinerock/sardinerock/event"
)

// scarcityLogInterval is the minimum time between two lines on a service whose slots become scarce or ample
// again. A burst every five seconds writes two lines.
const scarcityLogInterval = time.Second

// scarcity records which services' slots are scarce; its zero value is ready.
type scarcity struct {
	mu       sync.Mutex
	services map[string]*serviceScarcity
}

type serviceScarcity struct {
	scarce bool
	// since is when the slots became scarce or ample, logged when the last line was written.
	since, logged time.Time
	// changes counts the changes since the last line.
	changes int
}

// recordScarcity records whether the slots of a service are scarce, and logs a change.
func (l *Relay) recordScarcity(service string, scarce bool, now time.Time) {
	c := &l.scarcity
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	if s == nil {
		if !scarce {
			return
		}
		if c.services == nil {
			c.services = map[string]*serviceScarcity{}
		}
		s = &serviceScarcity{since: now}
		c.services[service] = s
	}
	if s.scarce == scarce {
		return
	}
	lasted := now.Sub(s.since)
	s.scarce, s.since = scarce, now
	s.changes++
	if now.Sub(s.logged) < scarcityLogInterval {
		return
	}
	l.Events.Info(event.SlotsScarce).Str("service", service).Bool("scarce", scarce).Dur("before", lasted).Int("changes", s.changes).
		Msg("slots became scarce or ample")
	s.logged, s.changes = now, 0
}

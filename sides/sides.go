package sides

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock/config"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/member"
	"github.com/sardinerock/sardinerock/retry"
	"github.com/sardinerock/sardinerock/route"
)

// Sides is an entry's view of the sides. Set its fields before Prepare.
type Sides struct {
	// EntryID is the entry's id, Zone its availability zone.
	EntryID string
	Zone    string
	// MaxLinks limits the number of sides that the entry keeps links to.
	MaxLinks int
	// Seed seeds the random choices of routing, so that a run can be repeated.
	Seed uint64
	// Tracker lists the known sides, ConfigManager holds the configuration in force.
	Tracker       *member.Tracker
	ConfigManager *config.Manager
	// Leaving reports whether the entry is shutting down.
	Leaving func() bool
	Events  *event.Logger

	announced atomic.Pointer[announced]

	mu               sync.Mutex
	table            route.Table
	suspects         retry.Suspects
	links            map[string]*sideLink
	answeredVersions map[grantKey]string
	attemptCount     uint64
}

// Prepare initializes the view. Until Run has opened links, requests find no backend server.
func (s *Sides) Prepare() {
	s.table.Random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.links = make(map[string]*sideLink)
	s.answeredVersions = make(map[grantKey]string)
}

// Run keeps the links open and announces new configurations to the sides until ctx is done.
func (s *Sides) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.linkLoop(ctx) })
	loops.Go(func() { s.announceLoop(ctx) })
	loops.Wait()
}

// Check returns whether a request may run, may only run alone or is blocked, by the crashes recorded for it.
func (s *Sides) Check(fingerprint uint64) retry.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Check(time.Now(), fingerprint)
}

// BatchCredit returns how many more batch items may be sent now.
func (s *Sides) BatchCredit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.BatchCredit(time.Now())
}

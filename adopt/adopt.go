package adopt

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock/commit"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/gossip"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/owner"
)

const (
	// claimInterval is the time between two checks for jobs whose owner is unavailable.
	claimInterval = 100 * time.Millisecond
	// claimTimeout bounds the append of claims: after a longer wait the owner may be back.
	claimTimeout = time.Second
)

// Adopter takes over the jobs of unavailable entries on behalf of this entry.
type Adopter struct {
	// Name is this entry's name.
	Name   string
	Ledger *ledger.Ledger
	// Recorder appends the claims to the store.
	Recorder *commit.Appender
	// View returns the state from which this entry decides whether to take over the jobs of
	// another one. It returns false while too little is known for that, or the store can't be
	// read.
	View func() (owner.View, bool)
	// Members returns the names of all entries. Probe asks one of them whether it is alive.
	Members func() []string
	Probe   func(ctx context.Context, name string)
	// Claimed is called after each attempt to record claims, whether it succeeded or not.
	Claimed func()
	Events  *event.Logger
}

// Run takes over jobs until ctx ends.
func (a *Adopter) Run(ctx context.Context) {
	t := time.NewTicker(claimInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.takeOver(ctx)
		}
	}
}

// takeOver claims the jobs of unavailable owners for which this entry is the successor, and
// probes owners without recent contact. Of several claims to a job the first in the ledger
// decides its owner.
func (a *Adopter) takeOver(ctx context.Context) {
	view, ok := a.View()
	if !ok {
		return
	}
	var members []string
	claims := map[string]*ownerClaims{}
	for _, o := range a.Ledger.Ownerships() {
		reason, unavailable := "no owner recorded", o.Owner == ""
		if !unavailable {
			reason, unavailable = view.Unavailable(o.Owner)
		}
		switch {
		case !unavailable && view.Suspect(o.Owner, gossip.QueryTimeout):
			a.Probe(ctx, o.Owner)
			continue
		case !unavailable:
			continue
		}
		if members == nil {
			members = a.Members()
		}
		if view.Successor(o.Job, members) == a.Name {
			addClaim(claims, o, reason)
		}
	}
	if len(claims) > 0 {
		a.claim(ctx, &view, claims)
	}
}

// ownerClaims lists the jobs of one unavailable owner that this entry claims.
type ownerClaims struct {
	reason string
	jobs   []ledger.Ownership
}

func addClaim(claims map[string]*ownerClaims, o ledger.Ownership, reason string) {
	if claims[o.Owner] == nil {
		claims[o.Owner] = &ownerClaims{reason: reason}
	}
	claims[o.Owner].jobs = append(claims[o.Owner].jobs, o)
}

// claim records the claims in the ledger.
func (a *Adopter) claim(ctx context.Context, view *owner.View, claims map[string]*ownerClaims) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := a.Recorder.Submit(ctx, func(p *ledger.Plan) (ledger.Verdict, error) { return a.planClaims(p, claims) })
	for from, c := range claims {
		a.Events.Info(event.JobsClaimed).Str("from", from).Strs("jobs", jobIDs(c.jobs)).Str("why", c.reason).
			Dur("silent", view.Peer(from).SinceContact).Int("heard", view.Reachable).Int("all", view.Total).Dur("timeout", view.Timeout).
			Int("owned", a.countOwned(c.jobs)).Err(err).Msg("claiming the jobs of an unavailable entry")
	}
	a.Claimed()
}

func (a *Adopter) planClaims(p *ledger.Plan, claims map[string]*ownerClaims) (ledger.Verdict, error) {
	for _, c := range claims {
		for _, o := range c.jobs {
			if v, err := p.Claim(o.Job, a.Name, o.Epoch); err != nil {
				return v, err
			}
		}
	}
	return ledger.Applied, nil
}

func jobIDs(jobs []ledger.Ownership) []string {
	ids := make([]string, len(jobs))
	for n := range jobs {
		ids[n] = jobs[n].Job
	}
	return ids
}

// countOwned returns how many of the jobs this entry owns according to the ledger.
func (a *Adopter) countOwned(jobs []ledger.Ownership) int {
	n := 0
	for _, o := range jobs {
		if a.Ledger.Owner(o.Job) == a.Name {
			n++
		}
	}
	return n
}

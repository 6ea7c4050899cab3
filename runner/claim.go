package runner

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/gossip"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/owner"
)

const (
	// claimTick is between two looks for jobs whose owner is gone.
	claimTick = 100 * time.Millisecond
	// claimTime is how long the store may take for claims: later the owner may be back.
	claimTime = time.Second
)

// takeOver claims the jobs whose owners are gone and whose heir this entry is, and asks
// owners that are silent whether they live. A job whose claim the order doesn't show as
// the first stays another's.
func (r *Runner) takeOver(ctx context.Context, now time.Time) {
	r.mu.Lock()
	rest := r.leaving || r.claiming || now.Sub(r.claimedAt) < claimTick
	r.mu.Unlock()
	if rest {
		return
	}
	view, ok := r.View()
	if !ok {
		return
	}
	r.mu.Lock()
	r.claimedAt = now
	r.mu.Unlock()
	var members []string
	claims := map[string]*claims{}
	for _, one := range r.Ledger.Ownerships() {
		why, gone := "none is written down", one.Owner == ""
		if !gone {
			why, gone = view.Gone(one.Owner)
		}
		switch {
		case !gone && view.Suspect(one.Owner, gossip.AskTime):
			r.Ask(ctx, one.Owner)
			continue
		case !gone:
			continue
		}
		if members == nil {
			members = r.Members()
		}
		if view.Heir(one.Job, members) == r.Name {
			add(claims, one, why)
		}
	}
	if len(claims) > 0 {
		r.claim(ctx, &view, claims)
	}
}

// claims are jobs of one owner that is gone.
type claims struct {
	why  string
	jobs []ledger.Ownership
}

func add(all map[string]*claims, one ledger.Ownership, why string) {
	if all[one.Owner] == nil {
		all[one.Owner] = &claims{why: why}
	}
	all[one.Owner].jobs = append(all[one.Owner].jobs, one)
}

// claim brings claims into the order of jobs.
func (r *Runner) claim(ctx context.Context, view *owner.View, all map[string]*claims) {
	r.mu.Lock()
	r.claiming = true
	r.mu.Unlock()
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		ctx, cancel := context.WithTimeout(ctx, claimTime)
		defer cancel()
		_, err := r.Recorder.Submit(ctx, func(p *ledger.Plan) (ledger.Verdict, error) { return r.planClaims(p, all) })
		for from, c := range all {
			r.Events.Info(event.JobsClaimed).Str("from", from).Strs("jobs", names(c.jobs)).Str("why", c.why).
				Dur("silent", view.Standing(from).Silent).Int("heard", view.Heard).Int("all", view.All).Dur("timeout", view.Timeout).
				Int("owned", r.owned(c.jobs)).Err(err).Msg("jobs claimed")
		}
		r.mu.Lock()
		r.claiming = false
		r.mu.Unlock()
		r.Wake()
	}()
}

func (r *Runner) planClaims(p *ledger.Plan, all map[string]*claims) (ledger.Verdict, error) {
	for _, c := range all {
		for _, one := range c.jobs {
			if v, err := p.Claim(one.Job, r.Name, one.Epoch); err != nil {
				return v, err
			}
		}
	}
	return ledger.Made, nil
}

func names(jobs []ledger.Ownership) []string {
	all := make([]string, len(jobs))
	for n := range jobs {
		all[n] = jobs[n].Job
	}
	return all
}

// owned returns how many of the jobs are this entry's.
func (r *Runner) owned(jobs []ledger.Ownership) int {
	n := 0
	for _, one := range jobs {
		if r.Ledger.OwnedBy(one.Job, r.Name) {
			n++
		}
	}
	return n
}

// passOn breaks off items that are another entry's now, where that is better: their owner
// runs them too, or doesn't hear of these runs since this entry is cut off. Otherwise the
// run goes on, and the owner waits for its end.
func (r *Runner) passOn() {
	passed := r.passed()
	if len(passed) == 0 {
		return
	}
	view, ok := r.View()
	if !ok {
		return
	}
	elsewhere := r.RunningElsewhere()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range passed {
		successor := r.Ledger.Owner(i.open.Job)
		cut := view.Minority() && view.Standing(successor).Silent > view.Timeout
		if !elsewhere[shortKey(i.key)] && !cut {
			continue
		}
		i.gaveWay = true
		i.cancel()
		r.Events.Info(event.JobPassed).Str("job", i.open.Job).Int("index", i.open.Index).Str("owner", successor).
			Bool("cut", cut).Msg("item goes on at the entry that took its job over")
	}
}

// passed returns the items that run here and are another entry's now.
func (r *Runner) passed() []*item {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return nil
	}
	var passed []*item
	for _, i := range r.items {
		if i.running && !i.whole && !i.gaveWay && !r.Ledger.OwnedBy(i.open.Job, r.Name) {
			passed = append(passed, i)
		}
	}
	return passed
}

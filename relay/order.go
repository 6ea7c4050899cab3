package relay

import (
	"sync"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/admit"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/pool"
)

const (
	// maxTeamMetrics is the number of teams with metrics of their own. The others are
	// counted together, so that the metrics don't grow with the number of teams.
	maxTeamMetrics = 100
	// otherTeams is the name under which the other teams are counted.
	otherTeams = "others"
)

// The values of the field why of event.Yielded.
const (
	yieldsToOrder = "order"
	yieldsToShare = "share"
)

// order holds what the order between teams and priorities needs in addition to the queue.
type order struct {
	// mu also protects Relay.Random.
	mu sync.Mutex
	// table is the route table that ranked was computed from.
	table *sardinerock.RouteTable
	// ranked holds the services with online routes of different priorities.
	ranked map[string]bool
	// named holds the teams with metrics of their own.
	named map[string]bool
}

// applies reports whether requests for a service have an order besides their latest start:
// callers belong to teams, or online routes of the service have different priorities.
func (o *order) applies(t *sardinerock.RouteTable, service string) bool {
	if t.Teams.Len() > 0 {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.table != t {
		o.table, o.ranked = t, rankedServices(t)
	}
	return o.ranked[service]
}

func rankedServices(t *sardinerock.RouteTable) map[string]bool {
	first, ranked := map[string]int{}, map[string]bool{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Kind == sardinerock.RouteBatch {
			continue
		}
		for _, s := range r.Shares {
			if p, ok := first[s.Service]; ok && p != r.Priority {
				ranked[s.Service] = true
			}
			first[s.Service] = r.Priority
		}
	}
	return ranked
}

// metricName returns the name under which a team is counted.
func (o *order) metricName(team string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.named == nil {
		o.named = map[string]bool{}
	}
	if !o.named[team] && len(o.named) < maxTeamMetrics {
		o.named[team] = true
	}
	if o.named[team] {
		return team
	}
	return otherTeams
}

// joinOrder gives the request its place in the order of requests for free slots.
func (p *proxyRequest) joinOrder(q *sardinerock.OnlineRequest) {
	l := p.relay
	if p.ordered = l.order.applies(q.Table, p.service); !p.ordered {
		return
	}
	p.waiter.Team, p.waiter.Priority = q.Call.Team, p.route.Priority
	if q.Team != nil && q.Team.HasPriority {
		p.waiter.Priority = q.Team.Priority
	}
	here, elsewhere := 0.0, 0.0
	if q.Team.Limited() && l.RecentlyAdmitted != nil {
		here, elsewhere = l.RecentlyAdmitted(q.Team.Name)
	}
	l.queue.Arrive(p.service, p.waiter, here, elsewhere, p.received)
}

// startRun charges the request's team for a run that starts.
func (p *proxyRequest) startRun(now time.Time) {
	if p.ordered {
		p.relay.queue.Start(p.service, p.waiter, p.expectedRun, now)
	}
}

// endRun ends a run; the team's use has to be correct before the slot is offered to another.
func (p *proxyRequest) endRun(choice *pool.Choice, sent time.Time, failed bool) {
	if p.ordered {
		now := time.Now()
		p.relay.queue.End(p.service, p.waiter, now.Sub(sent), now)
	}
	p.relay.done(choice, failed)
}

// yield leaves a free slot to the requests that come first. It is offered to the first of
// them, which otherwise would find it at its next poll. A slot that this request has no right to isn't
// its to leave: without a right of its own the other one would mostly be refused there.
func (p *proxyRequest) yield(choice *pool.Choice, a *admit.Request) {
	if !p.ordered || choice.Full() || choice.Right == pool.RightNone || !a.MustYield && !a.AboveShare {
		return
	}
	why := yieldsToShare
	if a.MustYield {
		why = yieldsToOrder
		p.relay.offer(p.service, choice.ID, func(service, server string, now time.Time) bool {
			return p.relay.queue.HandOver(service, server, p.waiter, now)
		})
	}
	if p.yielded {
		return
	}
	p.yielded = true
	p.relay.count("relay.yielded")
	p.relay.Events.Info(event.Yielded).Str("request", p.call.ID).Str("team", p.waiter.Team).Int("priority", p.waiter.Priority).
		Str("server", choice.ID).Str("why", why).Int("ahead", a.Ahead).Int("headroom", a.Headroom).Msg("request leaves a free slot to others")
}

// passOn offers a slot that the request can't use to the next one.
func (p *proxyRequest) passOn(server string) {
	if p.ordered {
		p.relay.OfferSlot(p.service, server)
	}
}

// spread spreads a retry delay, so that callers that are rejected together don't retry together.
func (p *proxyRequest) spread(retryAfter time.Duration) time.Duration {
	if !p.ordered || p.relay.Random == nil {
		return retryAfter
	}
	p.relay.order.mu.Lock()
	defer p.relay.order.mu.Unlock()
	return admit.SpreadRetry(retryAfter, p.relay.Random.Float64())
}

// countTeam counts an outcome for the request's team.
func (p *proxyRequest) countTeam(outcome string) {
	if p.ordered && p.waiter.Team != "" {
		p.relay.count("team." + p.relay.order.metricName(p.waiter.Team) + outcome)
	}
}

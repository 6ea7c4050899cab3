package quota

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// usageWindow is the time constant of the decaying demand rates.
	usageWindow = 10 * time.Second
	// burstFraction is the part of a minute's limit that may be used at once.
	burstFraction = 1.0 / 6
	// evenFraction is the part of a limit that is divided evenly over all entries
	// whatever their demand, so that an entry admits a caller's first request at once.
	evenFraction = 0.1
	// callerRetention is how long the state of an idle caller is kept.
	callerRetention = 2 * time.Minute
	// minRetryAfter is the shortest retry delay that rejected callers are sent.
	minRetryAfter = time.Second
)

// Usage is the recent demand of one caller at one entry.
type Usage struct {
	Caller string
	// Requests and Tokens are the demand per minute, rejected requests included.
	Requests uint64
	Tokens   uint64
}

// CallerLimits are one caller's limits for the whole fleet; 0 means no limit.
type CallerLimits struct {
	RequestsPerMinute int
	TokensPerMinute   int
	MaxInFlight       int
}

// Limiter enforces the limits of callers at one entry without remote calls.
//
// It is designed for this load: one caller sends far more than its limit, spread over all entries
// by the platform's load balancer. If each entry enforced the full limit, the fleet
// would admit the limit times the number of entries; a shared counter would add
// its latency, and its outages, to every request.
//
// Entries send each other their demand in the heartbeats that they exchange anyway.
// Each entry enforces a share of the limit that is proportional to its part of the
// total demand, plus a small share that is the same for all. When all entries have
// the same figures, the shares add up to one, and the fleet admits at most the limit
// plus the burst of a sixth of a minute. While figures are out of date (up to two
// heartbeats), demand that moves from one entry to another may be admitted by both:
// at most the limit once more for that time. An entry that is partitioned from its
// peers keeps its last share.
type Limiter struct {
	callers   map[string]*caller
	peers     int
	lastSweep time.Time
}

type caller struct {
	requests bucket
	tokens   bucket
	inFlight int
	demand   [2]minuteRate
	// peers is the other entries' total demand per minute: requests and tokens, as in demand.
	peers    [2]float64
	lastUsed time.Time
}

// Allow returns nil if the request is admitted, else the refusal to send to the
// caller. Finished must be called once for each admitted request.
func (l *Limiter) Allow(now time.Time, name string, limits CallerLimits, tokens int) *sardinerock.Refusal {
	c := l.caller(now, name)
	c.demand[0].add(now, 1)
	c.demand[1].add(now, float64(tokens))
	share := [2]float64{c.share(0, limits.RequestsPerMinute, l.peers), c.share(1, limits.TokensPerMinute, l.peers)}
	if limits.MaxInFlight > 0 && c.inFlight >= max(1, int(share[0]*float64(limits.MaxInFlight)+0.999)) {
		return rateLimited("too many requests in flight", time.Second)
	}
	c.requests.refill(now, limits.RequestsPerMinute, share[0])
	c.tokens.refill(now, limits.TokensPerMinute, share[1])
	if wait := c.requests.wait(limits.RequestsPerMinute, share[0]); wait > 0 {
		return rateLimited("requests per minute used up", wait)
	}
	if wait := c.tokens.wait(limits.TokensPerMinute, share[1]); wait > 0 {
		return rateLimited("tokens per minute used up", wait)
	}
	c.requests.level--
	c.tokens.level -= float64(tokens)
	c.inFlight++
	return nil
}

// Finished releases the request's place in flight and replaces its estimated tokens
// by the tokens used.
func (l *Limiter) Finished(now time.Time, name string, estimated, used int) {
	c := l.caller(now, name)
	c.inFlight = max(0, c.inFlight-1)
	c.tokens.level += float64(estimated - used)
	c.demand[1].add(now, float64(used-estimated))
}

// SetPeers sets the demand of the other entries. live is the number of live entries,
// this one included; reporting is the number of peers that have reported usage, which
// has one element per reporting peer and caller.
//
// In a large fleet an entry has figures of a few peers only and scales them up to
// all. Without scaling, an entry that knows eight of 370 peers would enforce a ninth
// of the limit, and the fleet would admit 40 times the limit.
func (l *Limiter) SetPeers(now time.Time, live, reporting int, usage []Usage) {
	l.peers = max(live-1, 0)
	for _, c := range l.callers {
		c.peers = [2]float64{}
	}
	scale := 1.0
	if reporting > 0 && reporting < l.peers {
		scale = float64(l.peers) / float64(reporting)
	}
	for _, u := range usage {
		c := l.caller(now, u.Caller)
		c.peers[0] += scale * float64(u.Requests)
		c.peers[1] += scale * float64(u.Tokens)
	}
}

// Usage returns the demand of each caller at this entry, to be sent to its peers.
// Callers without demand are left out.
func (l *Limiter) Usage(now time.Time) []Usage {
	l.sweep(now)
	all := make([]Usage, 0, len(l.callers))
	for name, c := range l.callers {
		u := Usage{Caller: name, Requests: uint64(c.demand[0].perMinute(now)), Tokens: uint64(c.demand[1].perMinute(now))}
		if u.Requests > 0 || u.Tokens > 0 {
			all = append(all, u)
		}
	}
	return all
}

func rateLimited(message string, wait time.Duration) *sardinerock.Refusal {
	return &sardinerock.Refusal{
		Code: sardinerock.CodeRateLimited, Message: message,
		Outcome: sardinerock.OutcomeNotRun, RetryAfter: max(wait, minRetryAfter),
	}
}

func (l *Limiter) caller(now time.Time, name string) *caller {
	if l.callers == nil {
		l.callers = make(map[string]*caller)
	}
	c := l.callers[name]
	if c == nil {
		c = &caller{}
		l.callers[name] = c
	}
	c.lastUsed = now
	return c
}

// sweep removes callers that had no requests here or at the peers for callerRetention.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < callerRetention {
		return
	}
	l.lastSweep = now
	for name, c := range l.callers {
		if c.inFlight == 0 && now.Sub(c.lastUsed) > callerRetention {
			delete(l.callers, name)
		}
	}
}

// share returns the part of a limit that this entry enforces, from 0 to 1.
func (c *caller) share(kind, limit, peers int) float64 {
	if peers == 0 || limit <= 0 {
		return 1
	}
	even := evenFraction * float64(limit) / float64(peers+1)
	own := c.demand[kind].value + even
	return own / (own + c.peers[kind] + even*float64(peers))
}

// minuteRate is a rate per minute that decays exponentially over usageWindow.
type minuteRate struct {
	value     float64
	updatedAt time.Time
}

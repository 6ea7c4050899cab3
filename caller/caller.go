package caller

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

const (
	// leaseShare is the fraction of the revocation timeout for which a proven configuration
	// may admit callers. The rest is a margin for clock drift between machines.
	leaseShare = 0.9
	// staleAge is the age of the configuration from which on an unknown key may have been
	// added since. While the store is reachable the age is at most two seconds.
	staleAge = 2500 * time.Millisecond
)

// Verdict is the decision on a request from its caller's key.
type Verdict int

// The verdicts.
const (
	// Allowed admits the request.
	Allowed Verdict = iota
	// Denied means that the request carries no key, or a key of no team.
	Denied
	// Unverified means that this entry can't decide: the key may have been added or
	// revoked after the configuration was last proven to be the newest.
	Unverified
)

// Identity is the team of a request and the decision on the request.
type Identity struct {
	// Team is nil if the verdict isn't Allowed, and where no key is required.
	Team    *sardinerock.TeamInfo
	Verdict Verdict
}

// TeamName returns the team's name, or "" without a team.
func (i Identity) TeamName() string {
	if i.Team == nil {
		return ""
	}
	return i.Team.Name
}

// Lease returns how long a configuration may admit callers after it was last proven to be
// the newest; 0 means without limit, which is what non-strict revocation gives.
//
// Every entry must reject a revoked key once the time revoke has passed, including an entry
// that can't learn of the revocation because it doesn't reach the store. A request admitted
// under the lease was sent less than revoke after the revocation of its key.
func Lease(strict bool, revoke time.Duration) time.Duration {
	if !strict {
		return 0
	}
	return time.Duration(leaseShare * float64(revoke))
}

// Identify returns the identity of a request with the given key. teams is that of the
// configuration in force, nil if it has none; open says that the route needs no key. age is
// how long ago the configuration was proven to be the newest, and lease the age up to
// which it may admit callers, 0 for any age.
func Identify(teams *sardinerock.TeamTable, open bool, key string, age, lease time.Duration) Identity {
	if teams == nil || open {
		return Identity{}
	}
	if lease > 0 && age > lease {
		return Identity{Verdict: Unverified}
	}
	if key != "" {
		if t := teams.Find(key); t != nil {
			return Identity{Team: t}
		}
	}
	if key != "" && age > staleAge {
		return Identity{Verdict: Unverified}
	}
	return Identity{Verdict: Denied}
}

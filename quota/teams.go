package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/usage"
)

const (
	// rateWindow is the time constant of a team's request rate. It is short, so that
	// a tenfold increase is detected before the team's burst is used up.
	rateWindow = 250 * time.Millisecond
	// bucketAllowance is the part of a team's allowance that is added to the size of
	// its bucket. Reports of other entries are slightly out of date, so that an exact
	// bound would reject requests within the quota.
	bucketAllowance = 0.5
	// startupAllowance is the part of a team's allowance that is admitted right after a
	// start, when an entry doesn't know what was admitted before. Together with
	// bucketAllowance it is nearly the whole allowance: a team that used up its burst
	// before all entries failed, and uses up the initial bucket after it, stays within
	// its bounds.
	startupAllowance = 0.4
	// shareInterval is how long a computed share of the quotas is cached.
	shareInterval = 100 * time.Millisecond
	// reserveFactor multiplies the number of requests that other entries may have
	// admitted without a report having arrived yet. All entries act on an outdated
	// level; with a smaller factor the fleet oscillates between admitting too much and
	// too little.
	reserveFactor = 2
	// teamMaxRetryAfter and teamMinRetryAfter bound the retry delay sent to rejected callers.
	teamMaxRetryAfter = 5 * time.Second
	teamMinRetryAfter = 50 * time.Millisecond
)

// Bounds limit by how many requests a team may exceed its quota in any window. Overage is a
// fraction of the window's quota, the burst included; Slack is a number of requests that is
// added to it.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Teams enforces the quotas of teams over all entries. There is no central counter: each
// entry keeps a replica of every team's token bucket. While a bucket is full enough,
// requests are admitted without a remote call; otherwise the team's home entry decides.
//
// It is designed for this load: one team sends many times its quota, to all entries at once, its
// callers spread unevenly. The team's rate fills the bucket; requests that this entry
// admits, and those that other entries report as admitted, empty it. Requests admitted
// before their report arrives can make the level negative; later refills make up for it.
// Where the home entry can't be queried and the team requests more within the age of
// the reports than is left, requests are admitted at random, so that all entries
// together admit what is left.
//
// An entry that doesn't reach all others enforces its side's share of the quota:
// unreachable entries may have failed, or may be partitioned from this one and still
// receive requests. An entry that has just started doesn't know what was admitted
// before: the others report how much is left, and if all entries failed at once it
// starts with a small part of the bucket.
type Teams struct {
	Bounds func() Bounds
	// ViewAge returns how old the reports received from other entries may be.
	ViewAge func() time.Duration
	// DiscoveryTime returns how long after its start an entry has received a report of
	// every other live entry.
	DiscoveryTime func() time.Duration
	// Entries returns how many entries are reachable and how many there are, both
	// including this one.
	Entries func() (reachable, all int)
	// Home returns the function that queries a team's home entry, which is the same one
	// for all entries; nil if this is the home entry. If Home itself is nil, every entry
	// decides by itself.
	Home   func(team string) QueryFunc
	Random *rand.Rand

	mu      sync.Mutex
	started time.Time
	// cachedShare is the share computed at cachedAt.
	cachedShare float64
	cachedAt    time.Time
	accounts    map[string]*account
	hashes      map[uint32]*account
	// recent are the accounts to report to the other entries.
	recent map[*account]struct{}
	// lastSweep is when outdated counts of peers were last removed.
	lastSweep time.Time
}

// account is this entry's state of one team.
type account struct {
	hash             uint32
	perSecond, burst float64
	// level is how many requests may be admitted now; negative if too many were.
	level float64
	// refilledAt is the time up to which level is filled.
	refilledAt time.Time
	// own are the counts at this entry, reported to the others; changedAt is when they
	// last changed.
	own       counts
	changedAt time.Time
	// requestRate is the team's request rate at all entries, localRate that at this one.
	requestRate, localRate secondRate
	// admittedHere and admittedElsewhere are the requests that this entry and all others
	// have admitted recently, as sums that decay over usage.Window.
	admittedHere, admittedElsewhere usage.Sum
	peers                           map[string]peerCounts
	// nextRetry is when the caller rejected last at this entry should retry.
	nextRetry time.Time
}

// counts are totals since an entry's start. They wrap around, so only differences
// between two values are meaningful.
type counts struct{ admitted, requested uint16 }

// peerCounts are the counts last received from a peer, with the start of the peer's
// incarnation that sent them.
type peerCounts struct {
	counts
	start      int64
	receivedAt time.Time
	// queriedAt is when the peer last sent its counts in a query to this entry as the
	// team's home.
	queriedAt time.Time
}

// Report is what an entry sends to the others about one team.
type Report struct {
	// Team is the TeamHash of the team's name.
	Team uint32
	// Admitted and Requested are the numbers of requests admitted and received since
	// the entry's start, modulo 65,536.
	Admitted, Requested uint16
	// Remaining is the level of the team's bucket in percent of its size if that is
	// under half, else RemainingHigh. An entry that started less than a window ago
	// doesn't know the level and sends RemainingUnknown.
	Remaining uint8
}

// RemainingHigh and RemainingUnknown are the values of Report.Remaining that aren't a
// percentage.
const (
	RemainingHigh    = math.MaxUint8
	RemainingUnknown = RemainingHigh - 1
)

// TeamHash returns the hash of a team's name that identifies the team in a Report or Query.
func TeamHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// SetTeams applies the teams of a new configuration and keeps the state of those that remain.
func (q *Teams) SetTeams(teams []*sardinerock.TeamInfo, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.started.IsZero() {
		q.started = now
	}
	accounts, hashes := make(map[string]*account, len(teams)), make(map[uint32]*account, len(teams))
	for _, t := range teams {
		if !t.Limited() {
			continue
		}
		a := q.accounts[t.Name]
		if a == nil {
			a = &account{hash: TeamHash(t.Name), perSecond: t.PerSecond, burst: t.Burst, refilledAt: now}
			a.level = q.initialLevel(a, now)
		}
		// The time until now is refilled at the old rate.
		q.refill(a, now)
		a.perSecond, a.burst = t.PerSecond, t.Burst
		a.level = min(a.level, q.capacity(a))
		accounts[t.Name], hashes[a.hash] = a, a
	}
	q.accounts, q.hashes = accounts, hashes
	if q.recent == nil {
		q.recent = map[*account]struct{}{}
	}
}

// allowance returns by how many requests a team may exceed its quota in a window.
func (q *Teams) allowance(a *account) float64 {
	b := q.Bounds()
	return b.Slack + b.Overage*(a.perSecond*b.Window.Seconds()+a.burst)
}

// capacity returns the size of a team's bucket.
func (q *Teams) capacity(a *account) float64 { return a.burst + bucketAllowance*q.allowance(a) }

// initialLevel returns the bucket level of a team without state: full, unless this
// entry has just started and can't know what was admitted before.
func (q *Teams) initialLevel(a *account, now time.Time) float64 {
	if now.Sub(q.started) > q.Bounds().Window {
		return q.capacity(a)
	}
	return min(q.capacity(a), 1+startupAllowance*q.allowance(a))
}

// share returns the part of the quotas that the entries reachable from each other
// enforce together. It is 1 at an entry that has just started: no other is reachable
// yet, and the initial levels are low.
func (q *Teams) share(now time.Time) float64 {
	if now.Sub(q.cachedAt) < shareInterval {
		return q.cachedShare
	}
	q.cachedAt, q.cachedShare = now, 1
	reachable, all := q.Entries()
	if all > 1 && now.Sub(q.started) >= q.DiscoveryTime() {
		q.cachedShare = float64(reachable) / float64(all)
	}
	return q.cachedShare
}

// refill adds to a team's bucket what its rate gave since the last refill.
func (q *Teams) refill(a *account, now time.Time) {
	elapsed := now.Sub(a.refilledAt)
	if elapsed <= 0 {
		return
	}
	a.refilledAt = now
	share := q.share(now)
	limit := max(1, share*q.capacity(a))
	a.level = min(a.level+share*a.perSecond*elapsed.Seconds(), limit)
}

// Admit reports whether a request of a team is admitted and, if not, after which time
// its caller should retry.
func (q *Teams) Admit(team *sardinerock.TeamInfo, now time.Time) (ok bool, retryAfter time.Duration) {
	if !team.Limited() {
		return true, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[team.Name]
	if a == nil {
		// A newer configuration removed the team after the request was routed.
		return true, 0
	}
	q.refill(a, now)
	a.requestRate.add(now, 1)
	a.localRate.add(now, 1)
	a.own.requested++
	q.markChanged(a, now)
	switch {
	case q.Home != nil && !q.canAdmitLocally(a, now):
		ok, retryAfter = q.queryHome(a, team, now)
	case q.mayAdmit(a, now):
		ok = true
	default:
		retryAfter = q.retryAfter(a, now)
	}
	if ok {
		a.level--
		a.own.admitted++
		a.admittedHere.Add(1, now, usage.Window)
	}
	return ok, retryAfter
}

// mayAdmit reports whether one more request may be admitted. If the level is below the
// reserve, it decides at random in proportion to the level.
func (q *Teams) mayAdmit(a *account, now time.Time) bool {
	if a.level < 1 {
		return false
	}
	reserve := q.reserve(a, now)
	return a.level >= 1+reserve || q.Random.Float64() < a.level/(1+reserve)
}

// reserve returns how many requests to hold back for those that other entries have
// admitted and not reported yet. They are at most what the team requests within the age
// of the reports.
func (q *Teams) reserve(a *account, now time.Time) float64 {
	return reserveFactor * a.requestRate.perSecond(now) * q.ViewAge().Seconds()
}

// retryAfter returns how long until a token is available for this caller, after those
// rejected before it at this entry. With the same time they would all retry at once, and
// all but one would be rejected again.
func (q *Teams) retryAfter(a *account, now time.Time) time.Duration {
	_, all := q.Entries()
	share := 1.0
	if total := a.requestRate.perSecond(now); total > 0 {
		share = min(a.localRate.perSecond(now)/total, 1)
	}
	share = max(share, 1/float64(max(all, 1)))
	earliest := now.Add(time.Duration((1 - min(a.level, 1)) / a.perSecond * float64(time.Second)))
	if a.nextRetry.Before(earliest) {
		a.nextRetry = earliest
	}
	a.nextRetry = a.nextRetry.Add(time.Duration(float64(time.Second) / (share * a.perSecond)))
	if latest := now.Add(teamMaxRetryAfter); a.nextRetry.After(latest) {
		a.nextRetry = latest
	}
	return max(a.nextRetry.Sub(now), teamMinRetryAfter)
}

// Refund returns the token of a request that was admitted and didn't run.
func (q *Teams) Refund(team *sardinerock.TeamInfo, now time.Time) {
	if !team.Limited() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[team.Name]
	if a == nil {
		return
	}
	a.level++
	a.own.admitted--
	a.admittedHere.Add(-1, now, usage.Window)
	q.markChanged(a, now)
}

// markChanged marks a team to be reported.
func (q *Teams) markChanged(a *account, now time.Time) {
	a.changedAt = now
	q.recent[a] = struct{}{}
}

// Level returns how many requests of a team may be admitted now, for log lines. It is
// negative if too many were admitted.
func (q *Teams) Level(team *sardinerock.TeamInfo, now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if team == nil || q.accounts[team.Name] == nil {
		return 0
	}
	q.refill(q.accounts[team.Name], now)
	return q.accounts[team.Name].level
}

// RecentlyAdmitted returns how many requests of a team this entry and all others have
// admitted recently, as sums that decay over usage.Window. Both are 0 for a team without a
// quota. What a lost entry admitted decays like the rest.
func (q *Teams) RecentlyAdmitted(team string, now time.Time) (here, elsewhere float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[team]
	if a == nil {
		return 0, 0
	}
	return a.admittedHere.Value(now, usage.Window), a.admittedElsewhere.Value(now, usage.Window)
}

// RequestRate returns a team's requests per second at all entries, for log lines.
func (q *Teams) RequestRate(team *sardinerock.TeamInfo, now time.Time) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if team == nil || q.accounts[team.Name] == nil {
		return 0
	}
	return q.accounts[team.Name].requestRate.perSecond(now)
}

// secondRate is a rate per second that decays exponentially over rateWindow.
type secondRate struct {
	value     float64
	updatedAt time.Time
}

func (r *secondRate) add(now time.Time, n float64) {
	r.value = r.perSecond(now) + n/rateWindow.Seconds()
	r.updatedAt = now
}

func (r *secondRate) perSecond(now time.Time) float64 {
	return r.value * math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds()/rateWindow.Seconds())
}

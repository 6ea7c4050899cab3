package access

import (
	"cmp"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/caller"
	"github.com/sardinerock/sardinerock/clock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/intake"
	"github.com/sardinerock/sardinerock/leave"
	"github.com/sardinerock/sardinerock/quota"
)

const (
	// startupShare is the fraction of a caller's wait for which a request is held while this
	// process starts and loads its state. The rest is left for the run, or for a retry at
	// another entry.
	startupShare = 0.7
	// startupPoll is the interval of the checks whether the store has become unreachable.
	startupPoll = 50 * time.Millisecond
	// defaultWait is used for callers that don't say how long they wait.
	defaultWait = time.Second
	// startupRetryAfter is the retry delay sent to callers for which the start took too long.
	startupRetryAfter = 100 * time.Millisecond
	// unverifiedRetryAfter is the retry delay sent if this entry's configuration is too old to
	// admit or deny a caller. It is short because nearly all other entries reach the store.
	unverifiedRetryAfter = 100 * time.Millisecond
	// outageWaitShare is the fraction of a caller's wait sent as the retry delay while no
	// entry reaches the store. Callers accept up to a third of the time they have left.
	outageWaitShare = 0.3
	// batchMargin is how long before the end of this entry's shutdown a read of results stops to wait for more.
	batchMargin = 200 * time.Millisecond
	// leavingReason is the reason for the rejection of requests that can't end before the end of this entry's shutdown.
	leavingReason = "this entry shuts down before the request could end"
)

// Access is the HTTP handler of callers' requests. Its exported fields are set before the
// first request.
type Access struct {
	Dialect      sardinerock.Dialect
	BatchDialect sardinerock.BatchDialect
	// Table returns the route table in force, or nil before one is known.
	Table  func() *sardinerock.RouteTable
	Online sardinerock.OnlineHandler
	Batch  sardinerock.BatchHandler
	// JobKnown reports whether a batch job was accepted, as far as this entry has read.
	JobKnown func(id string) bool
	// Quota enforces the quotas of teams over all entries.
	Quota *quota.Teams
	// ConfigurationAge returns how long ago the configuration in force was proven to be the newest.
	ConfigurationAge func() time.Duration
	// StoreLostByAll reports whether no other entry reaches the store either.
	StoreLostByAll func() bool
	// Lease returns the configuration age up to which callers with keys are admitted; 0 means
	// at any age.
	Lease func() time.Duration
	// StoreLost reports whether the topics that a start needs can't be read.
	StoreLost func() bool
	// Started is closed once the configuration and the backend servers have been read.
	Started <-chan struct{}
	// Entries returns the number of live entries, this one included.
	Entries func() int
	// Shutdown is the shutdown of this entry; nil if there is none.
	Shutdown *leave.Shutdown
	Events   *event.Logger
	Metrics  metrics.Registry

	mu sync.Mutex
	// longestWait is the longest wait that callers of each route have announced.
	longestWait map[string]time.Duration
}

// repeatedJob is used in place of the route of a repeated batch job whose route was removed. It accepts no new job.
var repeatedJob = &sardinerock.Route{Kind: sardinerock.RouteBatch, Removed: true}

// ServeHTTP implements http.Handler.
func (a *Access) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	a.waitForStartup(r)
	// The age is read before the table: read after it, the age could belong to a newer
	// table, applied in between, that no longer holds the caller's key.
	age := a.ConfigurationAge()
	table := a.Table()
	if table == nil {
		a.reject(w, r, http.StatusServiceUnavailable, "no configuration is known yet", a.startupRetryAfter(a.Dialect.ReadCall(r).Timeout))
		return
	}
	route := table.Match(r.Host, r.URL.EscapedPath())
	if call, ok := a.BatchDialect.ReadBatchCall(r); ok && (route == nil || table.HasBatch(r.Host) || a.JobKnown(call.Job)) {
		a.batchCall(w, r, table, age, call)
		return
	}
	call := a.Dialect.ReadCall(r)
	switch {
	case route == nil && a.JobKnown(call.ID):
		route = repeatedJob
	case route == nil:
		a.reject(w, r, http.StatusNotFound, "no route for this host and path", 0)
		return
	}
	identity := a.identify(table, age, route.Anonymous, call.Key)
	call.Team, call.Unverified, call.Config = identity.TeamName(), identity.Verdict == caller.Unverified, table.Version
	// Batch requests of unverified callers are passed on, since a peer may know the caller.
	// Online requests are rejected: a retry by the caller is faster.
	if identity.Verdict == caller.Denied || call.Unverified && route.Kind != sardinerock.RouteBatch {
		a.rejectCaller(w, r, table, age, identity.Verdict)
		return
	}
	if !a.readBody(w, r, table, route, &call, received) {
		return
	}
	request := &sardinerock.OnlineRequest{Table: table, Route: route, Call: &call, Team: identity.Team, Received: received}
	if route.Kind == sardinerock.RouteBatch {
		request.WaitedBefore = a.waitedBefore(route.Name, call.Timeout)
		a.submit(w, r, request)
		return
	}
	if !a.withinQuota(w, table, route, identity.Team, &call, clock.BootClock()) {
		return
	}
	request.WaitedBefore = a.waitedBefore(route.Name, call.Timeout)
	if identity.Team != nil {
		request.KeyValid = func() bool { return a.holdsKey(call.Key, identity.Team) }
	}
	if ran := a.Online.Serve(w, r, request); !ran {
		a.Quota.Refund(identity.Team, clock.BootClock())
	}
}

// withinQuota reports whether the team's quota admits a request; if not, it rejects the
// request at once. Holding the request here until the quota admits it would gain nothing: the
// quota is the same at all entries, so a retry is served neither earlier nor later elsewhere.
func (a *Access) withinQuota(w http.ResponseWriter, table *sardinerock.RouteTable, route *sardinerock.Route, team *sardinerock.TeamInfo, call *sardinerock.Call, now time.Time) bool {
	if !team.Limited() {
		return true
	}
	ok, retryAfter := a.Quota.Admit(team, now)
	if ok {
		return true
	}
	a.count("relay.refused." + strconv.Itoa(http.StatusTooManyRequests))
	a.count("route." + route.Name + ".failed")
	a.Events.Info(event.OverQuota).Str("request", call.ID).Str("route", route.Name).Str("team", team.Name).Int64("config", table.Version).
		Float64("perSecond", team.PerSecond).Float64("burst", team.Burst).Float64("level", a.Quota.Level(team, now)).Float64("asked", a.Quota.RequestRate(team, now)).
		Int("entries", a.Entries()).Dur("retryAfter", retryAfter).Msg("team quota exhausted; request rejected")
	sardinerock.WriteRefusal(a.Dialect, w, http.StatusTooManyRequests, "the team's quota is used up", retryAfter)
	return false
}

// holdsKey reports whether a key still belongs to a team. A configuration without teams
// revokes no key.
func (a *Access) holdsKey(key string, team *sardinerock.TeamInfo) bool {
	teams := a.Table().Teams
	if teams == nil {
		return true
	}
	current := teams.Find(key)
	return current != nil && current.Name == team.Name
}

// identify returns the identity of a caller. Where the configuration has no teams, every
// caller is allowed, without a team.
func (a *Access) identify(table *sardinerock.RouteTable, age time.Duration, open bool, key string) caller.Identity {
	if table.Teams == nil {
		return caller.Identity{}
	}
	return caller.Identify(table.Teams, open, key, age, a.Lease())
}

// batchCall answers a call on a batch job. A call of an unverified caller is passed on, since
// a peer may know the caller.
func (a *Access) batchCall(w http.ResponseWriter, r *http.Request, table *sardinerock.RouteTable, age time.Duration, call sardinerock.BatchCall) {
	identity := a.identify(table, age, false, a.Dialect.ReadCall(r).Key)
	if identity.Verdict == caller.Denied {
		a.rejectCaller(w, r, table, age, identity.Verdict)
		return
	}
	call.Team, call.Unverified = identity.TeamName(), identity.Verdict == caller.Unverified
	if end, leaving := a.Shutdown.End(); leaving {
		call.Wait = max(min(call.Wait, time.Until(end)-batchMargin), 0)
	}
	ctx, cancel := a.Shutdown.Bind(r.Context())
	defer cancel()
	a.Batch.Call(w, r.WithContext(ctx), call)
}

// submit accepts a batch job, unless too little time is left until this entry has left.
func (a *Access) submit(w http.ResponseWriter, r *http.Request, request *sardinerock.OnlineRequest) {
	wait := cmp.Or(request.Call.Timeout, intake.BodyTimeout)
	if !a.Shutdown.CanEnd(time.Now(), request.Received.Add(wait), acceptTime) {
		a.reject(w, r, http.StatusServiceUnavailable, leavingReason, leavingRetryAfter)
		return
	}
	ctx, cancel := a.Shutdown.Bind(r.Context())
	defer cancel()
	a.Batch.Submit(w, r.WithContext(ctx), request.Route, request.Call, request.Received, request.WaitedBefore)
}

// rejectCaller answers a caller whose verdict is Denied or Unverified.
func (a *Access) rejectCaller(w http.ResponseWriter, r *http.Request, table *sardinerock.RouteTable, age time.Duration, verdict caller.Verdict) {
	a.Events.Info(event.CallerUnknown).Str("request", a.Dialect.ReadCall(r).ID).Int64("config", table.Version).Dur("age", age).
		Dur("lease", a.Lease()).Bool("unproven", verdict == caller.Unverified).Msg("caller not identified; request rejected")
	if verdict == caller.Unverified {
		a.reject(w, r, http.StatusServiceUnavailable, "whether the key holds isn't known here", a.unverifiedRetryAfter(a.Dialect.ReadCall(r).Timeout))
		return
	}
	a.reject(w, r, http.StatusUnauthorized, "no key, or none that a team holds", 0)
}

// unverifiedRetryAfter returns the retry delay of a caller that this entry can neither admit
// nor deny. Another entry probably can; if no entry reaches the store, the caller should
// retry as late as it can.
func (a *Access) unverifiedRetryAfter(wait time.Duration) time.Duration {
	if !a.StoreLostByAll() {
		return unverifiedRetryAfter
	}
	return max(unverifiedRetryAfter, time.Duration(outageWaitShare*float64(wait)))
}

// waitForStartup holds a request while the process is starting: callers retry at most
// once, and if all entries failed, the retry would reach another entry that is starting.
// It returns once the process has started, the store can't be read, the caller has
// disconnected, the caller's remaining time is needed for the run, or the process is stopped.
func (a *Access) waitForStartup(r *http.Request) {
	select {
	case <-a.Started:
		return
	default:
	}
	begin := time.Now()
	timeout := time.NewTimer(startupWait(a.Dialect.ReadCall(r).Timeout))
	defer timeout.Stop()
	poll := time.NewTicker(startupPoll)
	defer poll.Stop()
	for !a.StoreLost() && !a.leaving() {
		select {
		case <-poll.C:
			continue
		case <-a.Started:
		case <-r.Context().Done():
		case <-timeout.C:
		}
		break
	}
	a.Events.Info(event.StartAwaited).Str("request", a.Dialect.ReadCall(r).ID).Dur("held", time.Since(begin)).
		Bool("storeLost", a.StoreLost()).Bool("known", a.Table() != nil).Msg("request held during startup; processing it now")
}

// leaving reports whether this entry shuts down.
func (a *Access) leaving() bool {
	_, leaving := a.Shutdown.End()
	return leaving
}

// startupWait returns how long a request is held during startup, given its caller's wait.
func startupWait(wait time.Duration) time.Duration {
	if wait <= 0 {
		wait = defaultWait
	}
	return time.Duration(startupShare * float64(wait))
}

// startupRetryAfter returns the retry delay of a caller that was rejected because no
// configuration is known. If the store isn't read here, another entry may know the
// configuration, unless the store is unreachable from all.
func (a *Access) startupRetryAfter(wait time.Duration) time.Duration {
	if !a.StoreLost() {
		return startupRetryAfter
	}
	return a.unverifiedRetryAfter(wait)
}

// reject answers a request of which nothing was sent to a backend server.
func (a *Access) reject(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	intake.Abandon(r)
	a.count("relay.refused." + strconv.Itoa(status))
	a.Events.Info(event.RequestRefused).Str("request", a.Dialect.ReadCall(r).ID).Str("host", r.Host).Str("path", r.URL.Path).
		Int("status", status).Str("reason", reason).Dur("retryAfter", retryAfter).Msg("request rejected")
	sardinerock.WriteRefusal(a.Dialect, w, status, reason, retryAfter)
}

func (a *Access) count(name string) {
	metrics.GetOrRegisterCounter(name, a.Metrics).Inc(1)
}

// waitedBefore estimates how long a caller waited before this attempt. All first attempts on
// a route announce the same wait and retries a shorter one, so the difference to the
// longest wait seen on the route has already passed.
func (a *Access) waitedBefore(route string, wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.longestWait == nil {
		a.longestWait = map[string]time.Duration{}
	}
	if wait > a.longestWait[route] {
		a.longestWait[route] = wait
	}
	return a.longestWait[route] - wait
}

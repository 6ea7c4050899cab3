package node

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/access"
	"github.com/sardinerock/sardinerock/adopt"
	"github.com/sardinerock/sardinerock/blame"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/budget"
	"github.com/sardinerock/sardinerock/caller"
	"github.com/sardinerock/sardinerock/clock"
	"github.com/sardinerock/sardinerock/commit"
	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/crash"
	"github.com/sardinerock/sardinerock/digest"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/gossip"
	"github.com/sardinerock/sardinerock/idle"
	"github.com/sardinerock/sardinerock/intake"
	"github.com/sardinerock/sardinerock/items"
	"github.com/sardinerock/sardinerock/lease"
	"github.com/sardinerock/sardinerock/leave"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/origin"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/proxy"
	"github.com/sardinerock/sardinerock/purge"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/relay"
	"github.com/sardinerock/sardinerock/reload"
	"github.com/sardinerock/sardinerock/roster"
	"github.com/sardinerock/sardinerock/runner"
	"github.com/sardinerock/sardinerock/saved"
	"github.com/sardinerock/sardinerock/share"
	"github.com/sardinerock/sardinerock/submit"
	"github.com/sardinerock/sardinerock/tally"
	"github.com/sardinerock/sardinerock/watch"
)

// Topics holds the names of the store's topics.
type Topics struct {
	Configuration string
	// ConfigurationKey is the key of the configuration within its topic.
	ConfigurationKey string
	Servers          string
	Members          string
	// Jobs is the topic of accepted and ended jobs, Work that of the claims, failures and
	// results of their items.
	Jobs string
	Work string
	// Versions is the topic of the software versions of services and the services of routes, Streams that of the streams
	// whose origin doesn't follow from these.
	Versions string
	Streams  string
	// Verdicts is the topic of the verdicts on what ends backend servers.
	Verdicts string
	// Blobs are the topics of the jobs' large values.
	Blobs blobs.Topics
}

// Node is one entry. Its exported fields must be set before Run.
type Node struct {
	Settings *conf.Node
	// ReadSettings reads the settings again; nil if they never change.
	ReadSettings func() (*conf.Node, error)
	// SetStoreAddress, if set, is called when the settings name another address of the store.
	SetStoreAddress func(address string)
	Store           sardinerock.Store
	Topics          Topics
	Dialect         sardinerock.Dialect
	Batch           sardinerock.BatchDialect
	// ParseTable and ParseServer parse the records of the operator and of backend servers.
	ParseTable  func(raw []byte) (*sardinerock.RouteTable, error)
	ParseServer func(id string, raw []byte) (sardinerock.BackendServer, error)
	Events      *event.Logger
	// Metrics receives all metrics of the process.
	Metrics metrics.Registry
	// Held counts what responses in progress hold.
	Held *budget.Held

	table    *watch.Table
	servers  *watch.Servers
	pool     *pool.Pool
	conns    *conns.Conns
	quota    *quota.Teams
	lease    *lease.Lease
	gossip   *gossip.Gossip
	ledger   *ledger.Ledger
	appender *commit.Appender
	recorder *commit.Appender
	runner   *runner.Runner
	adopter  *adopt.Adopter
	purger   *purge.Purger
	relay    *relay.Relay
	crashes  *crash.Counter
	blame    *blame.Tracker
	verdicts *saved.Verdicts
	access   *access.Access
	origins  *origin.Locator
	tally    *tally.Tally
	roster   *roster.Roster
	// shutdown follows the requests of callers while this entry leaves.
	shutdown leave.Shutdown

	configuration *watch.Follower
	registrations *watch.Follower
	members       *watch.Follower
	jobs          *watch.Follower
	work          *watch.Follower

	// settings holds the settings in force. The addresses to listen on stay those of the start.
	settings *reload.Settings
	leaving  atomic.Bool
	// started is closed once callers can be served for the first time.
	started chan struct{}
	// deactivate ends the frequent reads of the topics of jobs and items; nil while there are none.
	deactivate func()
	// shareServer serves peers for which this entry reads topics.
	shareServer *share.Server
	// startTime is when this process started. loadTime is how long it took to load the
	// ledger, in nanoseconds; 0 until then.
	startTime time.Time
	loadTime  atomic.Int64
	group     sync.WaitGroup
	// intakes accept the connections of clients.
	intakes []*intake.Listener
}

const (
	// membersWait is how long a read of the members waits for records. It is longer than for
	// other topics, since the members rarely change and nothing waits for their updates.
	membersWait = 20 * time.Second
	// membersInterval is the minimum time between two reads of the members. If all entries
	// join at once and each reads after every join, the number of calls is the square of
	// the number of entries.
	membersInterval = 500 * time.Millisecond
	// idleInterval is the time between two reads of the topics of jobs and of items while
	// this entry has no jobs and no caller queries any. The owner of a new job is notified
	// directly, so that only the failure of another entry is noticed this much later.
	idleInterval = 2500 * time.Millisecond
	// jobsInterval is the time between two reads of the topic of jobs. Only the items of an
	// ended job, which have to stop, wait for its updates: an entry that accepts a job reads
	// all earlier records at once.
	jobsInterval = 400 * time.Millisecond
	// workInterval is the time between two reads of the topic of items. Callers wait for results.
	workInterval = 300 * time.Millisecond
	// workWait is how long a read of the topic of items waits for records. Together with
	// workInterval it is the age of the view while there are no records. That age must not
	// exceed the one up to which an entry may report that a job has no further results.
	workWait = 300 * time.Millisecond
	// staleAfter is how long a read of the topic of items may be overdue before peers answer
	// for this entry. A read takes up to workWait, and longer on a slow store.
	staleAfter = 700 * time.Millisecond
	// waitFraction is how long a read waits for records, as a fraction of the time within
	// which an update must be in force. If the connection of a read stops responding, the
	// next read is still in time.
	waitFraction = 0.4
	// maxConfigurationWait bounds the wait of reads of the configuration if the admission of
	// callers with keys depends on its age.
	maxConfigurationWait = time.Second
	// intervalFraction is the time between two reads of the registrations, as a fraction of
	// the time within which they must be in force. When many backend servers change,
	// without an interval each entry would make a call for every change.
	intervalFraction = 0.2
	// retentionMargin is added to the time for which results are promised, since the clocks
	// of entries differ.
	retentionMargin = time.Minute
	// cleanupInterval is the time between two checks for idle connections and expired registrations.
	cleanupInterval = 250 * time.Millisecond
	// reportRounds is for how many view ages an admitted request or an abort is reported to
	// the other entries: two consecutive datagrams may be lost.
	reportRounds = 2
	// defaultQuotaWindow is the time over which quotas are counted if the settings have none.
	defaultQuotaWindow = time.Second
	// startPollInterval is the time between two checks whether a step of the start is complete.
	startPollInterval = 5 * time.Millisecond
	// originsTimeout is how long the start waits for the records of versions, and for the verdicts.
	originsTimeout = time.Second
	// membersTimeout is how long the start waits for the members before it loads the ledger
	// without them.
	membersTimeout = time.Second
)

// Run serves until ctx ends, and then until the requests in progress are complete or the
// shutdown timeout expires. It returns an error if it can't listen on an address.
func (n *Node) Run(ctx context.Context) error {
	n.settings = &reload.Settings{Read: n.ReadSettings, OnChange: n.settingsChanged, Events: n.Events}
	n.settings.Prepare(n.Settings)
	callerListener, err := intake.Listen(n.Settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readyListener, err := intake.Listen(n.Settings.ReadyAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	metricsListener, err := intake.Listen(n.Settings.MetricsAddress)
	if err != nil {
		return fmt.Errorf("listen for metrics requests: %w", err)
	}
	address, err := net.ResolveUDPAddr("udp", n.Settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("resolve the peer address: %w", err)
	}
	datagrams, err := net.ListenUDP("udp", address)
	if err != nil {
		return fmt.Errorf("listen for peers' datagrams: %w", err)
	}
	peerListener, err := intake.Listen(n.Settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for peers' requests: %w", err)
	}
	n.build(datagrams)
	n.Events.Info(event.Started).Str("callers", n.Settings.CallerAddress).Str("zone", n.Settings.Zone).
		Str("store", n.Settings.StoreAddress).Msg("started")

	// workCtx outlives ctx, so that the requests in progress can be completed.
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	n.start(workCtx)
	idleConns := &idle.Conns{Limit: n.idleLimit}
	servers := n.serveClients(callerListener, peerListener, readyListener, metricsListener, idleConns)
	n.goRun(workCtx, func(ctx context.Context) { n.cleanUp(ctx, idleConns) })
	n.goRun(workCtx, n.settings.Run)
	n.goRun(workCtx, n.roster.Purge)

	<-ctx.Done()
	n.stop(servers[0])
	cancelWork()
	for _, s := range servers[1:] {
		s.Close()
	}
	n.group.Wait()
	n.Events.Info(event.Stopped).Msg("stopped")
	return nil
}

func (n *Node) build(datagrams *net.UDPConn) {
	start := time.Now()
	n.startTime = start
	n.table = &watch.Table{Key: n.Topics.ConfigurationKey, Parse: n.ParseTable, Events: n.Events}
	n.table.Changed = func(t *sardinerock.RouteTable) {
		n.quota.SetTeams(t.Teams.Teams(), clock.BootClock())
		n.origins.SetTable(t)
	}
	n.started = make(chan struct{})
	newRandom := func(salt uint64) *rand.Rand {
		return rand.New(rand.NewPCG(uint64(start.UnixNano()), xxhash.Sum64String(n.Settings.ID)+salt))
	}
	n.pool = &pool.Pool{Name: n.Settings.ID, Zone: n.Settings.Zone, Random: newRandom(0)}
	n.servers = &watch.Servers{Parse: n.ParseServer, Changed: n.setServers, Events: n.Events, Metrics: n.Metrics}
	shares := budget.Divide(n.Settings.MemoryBytes, n.Settings.Descriptors)
	n.conns = &conns.Conns{Dialect: n.Dialect, Held: n.Held, Memory: conns.NewMemory(shares.Responses)}
	n.ledger = &ledger.Ledger{JobsTopic: n.Topics.Jobs, WorkTopic: n.Topics.Work, Events: n.Events}
	n.ledger.Prepare()
	peerClient := proxy.NewClient()
	n.shareServer = &share.Server{Feeds: map[string]*share.Feed{}, Events: n.Events}
	n.configuration = n.newFollower(n.Topics.Configuration, n.table.Apply)
	n.registrations = n.newFollower(n.Topics.Servers, n.servers.Apply)
	n.registrations.OnRecovery = n.servers.StoreRecovered
	n.configuration.Wait = n.configurationWait()
	n.registrations.Wait = readWait(n.Settings.DrainTimeout)
	n.registrations.Interval = time.Duration(intervalFraction * float64(n.Settings.DrainTimeout))
	n.shareReads(n.registrations, peerClient)
	if !n.needsCurrentConfiguration() {
		n.shareReads(n.configuration, peerClient)
	}
	// The list of thousands of backend servers has several pages, which all entries of a
	// starting fleet read at the same time. The first page is enough to serve callers.
	n.registrations.ApplyPartial = func(records []sardinerock.StoreRecord) { n.servers.Apply(records, false) }
	n.jobs = n.newFollower(n.Topics.Jobs, n.applyJobs)
	n.jobs.Interval, n.jobs.IdleInterval, n.jobs.WriteOnce = jobsInterval, idleInterval, true
	n.work = n.newFollower(n.Topics.Work, n.ledger.ApplyWork)
	n.work.Interval, n.work.IdleInterval, n.work.Wait, n.work.WriteOnce = workInterval, idleInterval, workWait, true
	n.shareFirstLoad(n.jobs, peerClient)
	n.shareFirstLoad(n.work, peerClient)
	n.gossip = &gossip.Gossip{
		Name: n.Settings.ID, Start: start.UnixMilli(), Conn: datagrams, Events: n.Events,
		Fill: n.fillMessage, OnMessages: n.handleMessages, OnPeerDown: n.pool.DropPeer, Answer: n.answerPeer,
	}
	n.gossip.Prepare()
	n.origins = n.newLocator()
	n.tally = &tally.Tally{
		Peers: n.tallyPeers, Notify: n.gossip.Notify, Events: n.Events,
		Query: func(ctx context.Context, peer string, raw []byte) ([]byte, error) {
			return n.gossip.Query(ctx, peer, raw)
		},
	}
	n.tally.Prepare()
	n.lease = &lease.Lease{
		Table: n.table, OwnAge: n.configuration.Age, Length: n.leaseLength, Peers: func() []string { return n.gossip.StoreReaders(time.Now()) },
		Client: peerClient, Events: n.Events, Metrics: n.Metrics,
	}
	n.lease.Prepare()
	n.quota = &quota.Teams{
		Bounds: n.quotaBounds, ViewAge: n.gossip.ViewAge, Random: newRandom(2), DiscoveryTime: n.gossip.Timeout,
		Entries: func() (reachable, total int) { return n.gossip.Entries(time.Now()) },
		Home:    n.homeQuery,
	}
	n.roster = &roster.Roster{
		Name: n.Settings.ID, Self: n.self(), Store: n.Store, Topic: n.Topics.Members,
		SetPeers: n.gossip.SetPeers, Live: n.gossip.Live, Silent: n.gossip.Silent, StoreLost: n.storeLost, Events: n.Events,
	}
	n.roster.Prepare()
	n.members = n.newFollower(n.Topics.Members, (&watch.Members{Changed: n.roster.SetMembers}).Apply)
	n.members.Wait, n.members.Interval = membersWait, membersInterval
	n.appender = n.newAppender(n.Topics.Jobs, n.jobs)
	n.recorder = n.newAppender(n.Topics.Work, n.work)
	n.recorder.Writer = strconv.FormatUint(xxhash.Sum64String(n.Settings.ID+start.String()), 36)
	blobClient := &blobs.Client{
		Store: n.Store, Topics: n.Topics.Blobs, Partitions: n.Settings.Partitions, RecordBytes: n.Settings.RecordBytes,
		AppendBytes: n.Settings.AppendBytes, Events: n.Events, Metrics: n.Metrics,
	}
	n.runner = &runner.Runner{
		Blobs: blobClient,
		Name:  n.Settings.ID, ProcessStart: n.gossip.Start, Batch: n.Batch, Table: n.table.Current, Ledger: n.ledger, Recorder: n.recorder,
		Pool: n.pool, Conns: n.conns, Memory: conns.NewMemory(shares.Texts), Events: n.Events, Metrics: n.Metrics,
		Pace:             &items.Pacer{ViewAge: n.gossip.ViewAge, Random: newRandom(1)},
		SlotFreed:        func(service, server string) { n.relay.OfferSlot(service, server) },
		WaitingElsewhere: func() int { return n.gossip.Waiting(time.Now()) },
		SumWaiting:       func(weight func(waiting int) int) int { return n.gossip.SumWaiting(time.Now(), weight) },
		Owners:           n.owners,
		OwnerView:        n.ownerView,
		OwnershipCurrent: n.ownershipCurrent,
		ConfigurationAge: n.lease.Age,
		WorkingFor:       func() time.Duration { return n.recorder.WorkingFor(time.Now()) },
		SteadyFor:        n.steadyFor,
		SetActive:        n.setActive,
		ViewAge:          n.gossip.ViewAge,
		RunningElsewhere: func() map[uint32]bool { return n.gossip.RunningElsewhere(time.Now()) },
	}
	n.runner.Prepare()
	n.runner.Tally = n.tally
	n.adopter = &adopt.Adopter{
		Name: n.Settings.ID, Ledger: n.ledger, Recorder: n.recorder, View: n.ownerView, Members: n.gossip.Members,
		Probe:   func(ctx context.Context, name string) { n.gossip.Probe(ctx, name, time.Now()) },
		Claimed: n.runner.Wake, Events: n.Events,
	}
	n.purger = &purge.Purger{
		Name: n.Settings.ID, Ledger: n.ledger, Jobs: n.appender, Recorder: n.recorder, Blobs: blobClient, WaitForJobs: n.jobs.AwaitCurrent,
		Owners: n.runner.Owners, Retention: n.Settings.KeepResults + retentionMargin, Events: n.Events,
	}
	n.verdicts = &saved.Verdicts{
		Store: n.Store, Topic: n.Topics.Verdicts, Restore: n.restoreVerdict, Owns: n.ownsVerdict, Events: n.Events, Metrics: n.Metrics,
	}
	n.verdicts.Prepare()
	n.crashes = &crash.Counter{MaySendTrial: n.maySendTrial, Verdicts: n.verdicts}
	n.crashes.Prepare()
	n.blame = &blame.Tracker{Rank: n.trialRank, ViewAge: n.gossip.ViewAge, Changed: n.logBlame, Verdicts: n.verdicts}
	n.blame.Prepare()
	n.runner.Blame = n.blame
	n.relay = &relay.Relay{
		Dialect: n.Dialect,
		Pool:    n.pool,
		Conns:   n.conns,
		Preempt: n.preempt,
		Entries: func() int { return len(n.gossip.Live(time.Now())) },
		ViewAge: n.gossip.ViewAge,
		RecentlyAdmitted: func(team string) (here, elsewhere float64) {
			return n.quota.RecentlyAdmitted(team, clock.BootClock())
		},
		Random:   newRandom(5),
		Crashes:  n.crashes,
		Blame:    n.blame,
		Origins:  n.origins,
		Shutdown: &n.shutdown,
		Events:   n.Events, Metrics: n.Metrics,
	}
	n.access = &access.Access{
		Dialect: n.Dialect, BatchDialect: n.Batch, Table: n.table.Current, Online: n.relay,
		Batch: &proxy.Proxy{
			Local: &submit.Handler{
				Dialect: n.Dialect, Batch: n.Batch, Ledger: n.ledger, JobFollower: n.jobs, WorkFollower: n.work, Appender: n.appender, Blobs: blobClient,
				Owner:          n.newJobOwner,
				NotifyOwner:    n.notifyOwner,
				SettleTime:     n.Settings.SettleTime,
				StoreLostByAll: func() bool { return n.gossip.StoreLostByAll(time.Now()) },
				Shutdown:       &n.shutdown,
				Events:         n.Events, Metrics: n.Metrics,
			},
			Stale:  func() bool { return n.viewStale(time.Now()) },
			Peers:  func() []string { return n.gossip.StoreReaders(time.Now()) },
			Client: peerClient, Dialect: n.Dialect, Events: n.Events, Metrics: n.Metrics,
		},
		JobKnown: n.ledger.Known, JobsLoaded: n.jobs.Loaded, Quota: n.quota, ConfigurationAge: n.lease.Age, Lease: n.lease.Length,
		StoreLost:      func() bool { return n.configuration.Lost() || n.registrations.Lost() },
		StoreLostByAll: func() bool { return n.gossip.StoreLostByAll(time.Now()) },
		Started:        n.started,
		Entries:        n.relay.Entries,
		Shutdown:       &n.shutdown,
		Events:         n.Events, Metrics: n.Metrics,
	}
}

func (n *Node) newFollower(topic string, apply func([]sardinerock.StoreRecord, bool)) *watch.Follower {
	f := &watch.Follower{Store: n.Store, Topic: topic, Apply: apply, Events: n.Events}
	f.Prepare()
	return f
}

func (n *Node) newAppender(topic string, f *watch.Follower) *commit.Appender {
	a := &commit.Appender{
		Store: n.Store, Topic: topic, Follower: f, Ledger: n.ledger, RecordBytes: n.Settings.RecordBytes,
		AppendBytes: n.Settings.AppendBytes, Events: n.Events, Metrics: n.Metrics,
	}
	a.Prepare()
	return a
}

// settingsChanged switches to another address of the store if the settings name one.
func (n *Node) settingsChanged(old, updated *conf.Node) {
	if old.StoreAddress != updated.StoreAddress && n.SetStoreAddress != nil {
		n.SetStoreAddress(updated.StoreAddress)
	}
}

// leaseLength returns the age of the configuration up to which callers with keys are admitted; 0
// means at any age.
func (n *Node) leaseLength() time.Duration {
	s := n.settings.Current()
	return caller.Lease(s.StrictRevoke, s.RevokeTimeout)
}

// quotaBounds returns by how much teams may exceed their quotas.
func (n *Node) quotaBounds() quota.Bounds {
	s := n.settings.Current()
	return quota.Bounds{Window: cmp.Or(s.QuotaWindow, defaultQuotaWindow), Overage: s.QuotaOverage, Slack: s.QuotaSlack}
}

// storeLost reports whether reads of the topic of jobs or of items have failed for a while.
func (n *Node) storeLost() bool { return n.jobs.Lost() || n.work.Lost() }

// viewStale reports whether this entry's view of the store is too old, so that a peer should
// answer calls on jobs. When the connection to the store is cut, the age of the view shows it
// a second before the reads have failed for long enough for storeLost.
func (n *Node) viewStale(now time.Time) bool {
	return n.storeLost() || !n.ledger.Loaded() || n.work.Overdue(now) > staleAfter
}

// applyJobs applies records of jobs to the ledger and wakes the runner, so that an accepted job
// starts, and an ended job stops, at once.
func (n *Node) applyJobs(records []sardinerock.StoreRecord, reset bool) {
	n.ledger.ApplyJobs(records, reset)
	n.runner.Wake()
}

// preempt preempts one batch item on a backend server for online work. If this entry runs none
// there, it requests the preemption from another entry that does.
func (n *Node) preempt(server string) {
	if holder, ok := n.pool.PreemptHolder(server, time.Now()); ok && holder != n.Settings.ID {
		n.gossip.RequestPreemption(holder, pool.Hash(server))
		return
	}
	if n.runner.PreemptOne(server) {
		return
	}
	if holder, ok := n.pool.BatchPeer(server); ok {
		n.gossip.RequestPreemption(holder, pool.Hash(server))
	}
}

// fillMessage fills a message to the other entries with this entry's state.
func (n *Node) fillMessage(m *digest.Message) {
	m.Loads = n.pool.OwnLoads()
	m.Items = n.runner.Running()
	m.Waiting = n.runner.Waiting()
	m.Starting = !n.ledger.Loaded()
	m.StoreLost = n.storeLost() || m.Starting
	m.Crashes = n.crashes.Reports(time.Now())
	m.Blame = n.blame.Reports(time.Now())
	span := reportRounds * n.gossip.ViewAge()
	m.Quota = n.quota.Reports(clock.BootClock(), span)
	m.Aborts = n.pool.Aborts(time.Now(), span)
	m.Speeds = n.pool.SpeedReports(time.Now())
	n.logSpeedChanges()
}

// logSpeedChanges logs notable changes of what is known of the speeds of backend servers.
func (n *Node) logSpeedChanges() {
	for _, c := range n.pool.SpeedChanges() {
		n.Events.Info(event.SpeedChanged).Str("server", c.ID).Bool("known", c.Known).Dur("eventTime", c.Estimate.EventTime).
			Float64("factor", c.Estimate.Factor).Float64("before", c.Before).Msg("estimate of a backend server's speed changed")
	}
}

// handleMessages applies the messages of other entries. preempt holds the hashes of the
// backend servers on which they request preemptions.
func (n *Node) handleMessages(messages []*digest.Message, preempt []uint32) {
	for _, server := range preempt {
		if id, ok := n.pool.ServerID(server); ok {
			n.runner.PreemptOne(id)
		}
	}
	for _, m := range messages {
		if m.Leaving && len(m.Loads) == 0 {
			n.pool.DropPeer(m.From)
			continue
		}
		n.pool.SetPeer(m.From, m.Loads, time.Now())
		n.pool.ReceiveSpeeds(m.From, m.Speeds, time.Now())
		n.pool.ReceiveAborts(m.Aborts, time.Now())
		n.crashes.Receive(m.From, m.Start, m.Crashes, time.Now())
		n.blame.Receive(m.From, m.Start, m.Blame, time.Now())
		n.quota.Receive(m.From, m.Start, m.Quota, clock.BootClock())
	}
	n.runner.PreemptAllExcess()
}

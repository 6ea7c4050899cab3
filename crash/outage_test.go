package crash

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	tick = 10 * time.Millisecond
	// contactTime is the time without interruption after which an entry must know what the others know.
	contactTime = 3 * time.Second
	// allowedRetries is how often a request may be sent later than contactTime after it has ended limit
	// backend servers.
	allowedRetries = 3
	// crashing is a request that ends each backend server that runs it. The others are numbered from 0.
	crashing = 1 << 40
	servers  = 18
	// heartbeats is after how many views unchanged reports are sent again.
	heartbeats = 8
	slots      = 8
)

// outage is a simulation of entries that send requests to backend servers, which end.
type outage struct {
	// entries is the number of entries, view the age of what they know of each other.
	entries int
	view    time.Duration
	// contents is the number of different requests that work, and perSecond their rate.
	contents  int
	perSecond float64
	// crashingPerSecond is the rate of the request that ends backend servers.
	crashingPerSecond float64
	// lost holds the times at which a share of all backend servers is lost.
	lost map[time.Duration]float64
	// flapping is the share of the backend servers that are lost every second.
	flapping float64
	// cutFrom and cutUntil bound the time in which a third of the entries is cut off from the others.
	cutFrom, cutUntil time.Duration
	length            time.Duration
	// restart is when all entries are replaced; zero for never.
	restart time.Duration
}

// run is a request in progress.
type run struct {
	request, entry, attempts int
	server, known            int
	ends                     time.Duration
}

// reports is what an entry reports of all requests.
type reports = map[uint64]Report

// report is a message between two entries on its way.
type report struct {
	from    int
	start   int64
	arrives time.Time
	reports reports
}

type simulation struct {
	outage
	random   *rand.Rand
	origin   time.Time
	now      time.Duration
	counters []*Counter
	starts   []int64
	names    []string
	// sent holds the latest reports of each entry, sentAt when they were sent.
	sent   []reports
	sentAt []time.Duration
	// backAt is when each backend server is up again, and load the number of its runs.
	backAt  []time.Duration
	load    []int
	runs    []run
	reports []report

	crashes int
	// thirdCrash is when the crashing request had ended limit backend servers.
	thirdCrash time.Duration
	// retries counts how often it was sent too late, requests and rejected those that work.
	retries, requests, rejected int
	// rejectedAtEnd counts the rejected ones in the last ten seconds.
	rejectedAtEnd int
}

// defaultLength is the length of a simulation.
const defaultLength = 90 * time.Second

func (o outage) play(seed uint64) *simulation {
	s := &simulation{
		outage: o, random: rand.New(rand.NewPCG(seed, 1)), origin: time.Now(),
		starts: make([]int64, o.entries), sent: make([]reports, o.entries), sentAt: make([]time.Duration, o.entries), backAt: make([]time.Duration, servers), load: make([]int, servers),
	}
	for n := range o.entries {
		s.counters = append(s.counters, s.newCounter(n))
		s.names = append(s.names, fmt.Sprint("entry", n))
	}
	for ; s.now < s.length; s.now += tick {
		s.loseServers()
		if o.restart > 0 && s.now == o.restart {
			s.runs, s.load = nil, make([]int, servers)
			for n := range s.counters {
				s.counters[n] = s.newCounter(n)
				s.starts[n]++
			}
		}
		s.exchange()
		s.endRuns()
		s.arrive(o.perSecond, func() int { return int(float64(o.contents) * s.random.Float64() * s.random.Float64()) })
		s.arrive(o.crashingPerSecond, func() int { return crashing })
	}
	return s
}

// newCounter returns the counter of an entry. Trials are sent by the first entry that is reachable from it.
func (s *simulation) newCounter(entry int) *Counter {
	c := newCounter()
	c.MaySendTrial = func(uint64) bool {
		first := 0
		for s.cut(first) != s.cut(entry) {
			first++
		}
		return first == entry
	}
	return c
}

func (s *simulation) time() time.Time { return s.origin.Add(s.now) }

func (s *simulation) loseServers() {
	share := s.lost[s.now]
	if s.now%time.Second == 0 {
		share += s.flapping
	}
	var lost []int
	for n := range int(share * servers) {
		lost = append(lost, (n+int(s.now/time.Second))%servers)
	}
	s.endServers(lost)
}

// endServers ends backend servers and all of their runs, which are then sent again.
func (s *simulation) endServers(ended []int) {
	for _, server := range ended {
		s.backAt[server] = s.now + 2*time.Second
		s.load[server] = 0
	}
	var others, broken []run
	for _, r := range s.runs {
		if slices.Contains(ended, r.server) {
			broken = append(broken, r)
		} else {
			others = append(others, r)
		}
	}
	s.runs = others
	for _, r := range broken {
		s.counters[r.entry].RecordFailure(uint64(r.request), r.known, s.time())
	}
	for _, r := range broken {
		if r.attempts < 2 {
			s.send(r.request, r.entry, r.attempts+1)
		}
	}
}

func (s *simulation) cut(entry int) bool {
	return s.cutFrom <= s.now && s.now < s.cutUntil && entry%3 == 0
}

// inContact reports whether an entry has had contact with the others for contactTime.
func (s *simulation) inContact(entry int) bool {
	wasCut := entry%3 == 0 && s.cutUntil > 0 && s.cutFrom <= s.now && s.now < s.cutUntil+contactTime
	started := s.restart > 0 && s.restart <= s.now && s.now < s.restart+contactTime
	return !wasCut && !started
}

// exchange sends the reports of all entries and delivers those that arrive.
func (s *simulation) exchange() {
	if s.now%s.view == 0 {
		for n, c := range s.counters {
			reports := c.Reports(s.time())
			if len(reports) > 0 && (!maps.Equal(reports, s.sent[n]) || s.now >= s.sentAt[n]+heartbeats*s.view) {
				s.reports = append(s.reports, report{n, s.starts[n], s.time().Add(s.view), reports})
				s.sentAt[n] = s.now
			}
			s.sent[n] = reports
		}
	}
	for len(s.reports) > 0 && !s.time().Before(s.reports[0].arrives) {
		r := s.reports[0]
		s.reports = s.reports[1:]
		for n, c := range s.counters {
			if n != r.from && s.cut(n) == s.cut(r.from) {
				c.Receive(s.names[r.from], r.start, r.reports, s.time())
			}
		}
	}
}

func (s *simulation) endRuns() {
	var running []run
	var crashed []int
	for _, r := range s.runs {
		switch {
		case r.ends > s.now:
			running = append(running, r)
		case r.request == crashing:
			running = append(running, r)
			crashed = append(crashed, r.server)
		default:
			s.load[r.server]--
			s.counters[r.entry].RecordResponse(uint64(r.request), s.time())
		}
	}
	s.runs = running
	for _, server := range crashed {
		if s.now < s.backAt[server] {
			continue
		}
		if s.crashes++; s.crashes == limit {
			s.thirdCrash = s.now
		}
		s.endServers([]int{server})
	}
}

func (s *simulation) arrive(perSecond float64, request func() int) {
	if s.random.Float64() < perSecond*tick.Seconds() {
		s.send(request(), s.random.IntN(s.entries), 1)
	}
}

// send sends a request to a backend server that is up and has a free slot, if there is one.
func (s *simulation) send(request, entry, attempt int) {
	server, first := -1, s.random.IntN(servers)
	for n := range servers {
		if i := (first + n) % servers; s.now >= s.backAt[i] && s.load[i] < slots {
			server = i
			break
		}
	}
	if request != crashing && attempt == 1 {
		s.requests++
	}
	known, blocked := s.counters[entry].Send(uint64(request), s.time())
	if blocked > 0 {
		if request != crashing {
			s.rejected++
			if s.now > s.length-10*time.Second {
				s.rejectedAtEnd++
			}
		}
		return
	}
	if server < 0 {
		return
	}
	took := time.Duration(300+s.random.IntN(600)) * time.Millisecond
	if request == crashing {
		took = 100 * time.Millisecond
		if s.crashes >= limit && s.now > s.thirdCrash+contactTime && s.inContact(entry) {
			s.retries++
		}
	}
	s.load[server]++
	s.runs = append(s.runs, run{request, entry, attempt, server, known, s.now + took})
}

// TestCrashingRequestIsContainedAndOthersAreServed guards against both errors at once: a request that ends
// backend servers that is sent on, and requests that work that are rejected because backend
// servers were lost.
func TestCrashingRequestIsContainedAndOthersAreServed(t *testing.T) {
	t.Parallel()
	all := map[time.Duration]float64{5 * time.Second: 1, 9 * time.Second: 1, 13 * time.Second: 1}
	rack := map[time.Duration]float64{5 * time.Second: 0.34, 6 * time.Second: 0.34, 7 * time.Second: 0.34}
	for name, tt := range map[string]outage{
		"calm, a crashing request":                     {entries: 8, view: 30 * time.Millisecond, contents: 1200, crashingPerSecond: 3},
		"it comes often":                               {entries: 8, view: 30 * time.Millisecond, contents: 1200, crashingPerSecond: 20},
		"27 entries, recent views":                     {entries: 27, view: 100 * time.Millisecond, contents: 1200, crashingPerSecond: 3},
		"88 entries, old views":                        {entries: 88, view: 700 * time.Millisecond, contents: 1200, crashingPerSecond: 3},
		"501 entries, old views":                       {entries: 501, view: 700 * time.Millisecond, contents: 1200, crashingPerSecond: 3},
		"entries cut off":                              {entries: 27, view: 100 * time.Millisecond, contents: 1200, crashingPerSecond: 3, cutFrom: 2 * time.Second, cutUntil: 12 * time.Second},
		"all entries lost":                             {entries: 8, view: 30 * time.Millisecond, contents: 1200, crashingPerSecond: 3, restart: 15 * time.Second},
		"racks lost":                                   {entries: 8, view: 30 * time.Millisecond, contents: 1200, lost: rack},
		"racks lost, few contents":                     {entries: 8, view: 30 * time.Millisecond, contents: 4, lost: rack},
		"all lost three times":                         {entries: 8, view: 30 * time.Millisecond, contents: 1200, lost: all, length: 150 * time.Second},
		"all lost three times, few contents":           {entries: 8, view: 30 * time.Millisecond, contents: 4, lost: all},
		"the same, 88 entries, old views":              {entries: 88, view: 700 * time.Millisecond, contents: 4, lost: all},
		"all lost just after all entries":              {entries: 8, view: 30 * time.Millisecond, contents: 4, lost: all, restart: 8990 * time.Millisecond},
		"all lost half a second after all entries":     {entries: 8, view: 30 * time.Millisecond, contents: 150, lost: all, restart: 8500 * time.Millisecond},
		"backend servers flap":                         {entries: 8, view: 30 * time.Millisecond, contents: 1200, flapping: 0.17},
		"a crashing request, racks lost, few contents": {entries: 27, view: 100 * time.Millisecond, contents: 20, crashingPerSecond: 5, lost: rack},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkOutage(t, tt)
		})
	}
}

// TestOthersAreServedWhileEverythingFails guards against requests that work being rejected since they were
// sent beside one that ends backend servers, before any had got a response, while others are lost all the time.
func TestOthersAreServedWhileEverythingFails(t *testing.T) {
	checkOutage(t, outage{
		entries: 27, view: 100 * time.Millisecond, contents: 150, crashingPerSecond: 5, flapping: 0.17,
		lost: map[time.Duration]float64{5 * time.Second: 1, 9 * time.Second: 1, 13 * time.Second: 1},
	})
}

// checkOutage plays a simulation with several seeds and checks what the callers of all requests may expect.
func checkOutage(t *testing.T, o outage) {
	o.perSecond = 90
	if o.length == 0 {
		o.length = defaultLength
	}
	for seed := range uint64(max(1, min(5, 200/o.entries))) {
		g := NewWithT(t)
		s := o.play(seed)
		t.Logf("seed %d: %d crashes, %d retries, %d of %d requests rejected", seed, s.crashes, s.retries, s.rejected, s.requests)
		g.Expect(s.retries).To(BeNumerically("<=", allowedRetries), "seed %d: sent on after %d crashes", seed, s.crashes)
		g.Expect(s.rejected).To(BeNumerically("<=", 5+s.requests/500), "seed %d: of %d requests that work, rejected", seed, s.requests)
		g.Expect(s.rejectedAtEnd).To(BeZero(), "seed %d: rejected long after the last loss", seed)
	}
}

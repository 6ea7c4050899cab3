package crash

import (
	"fmt"
	"math/rand/v2"
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
	slots    = 8
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
	// restart is when all entries are replaced; zero for never.
	restart time.Duration
}

// run is a request in progress.
type run struct {
	request, entry, attempts int
	server                   int
	ends                     time.Duration
}

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

const length = 40 * time.Second

func (o outage) play(seed uint64) *simulation {
	s := &simulation{
		outage: o, random: rand.New(rand.NewPCG(seed, 1)), origin: time.Now(),
		starts: make([]int64, o.entries), backAt: make([]time.Duration, servers), load: make([]int, servers),
	}
	for range o.entries {
		s.counters = append(s.counters, newCounter())
	}
	for ; s.now < length; s.now += tick {
		s.loseServers()
		if o.restart > 0 && s.now == o.restart {
			s.runs, s.load = nil, make([]int, servers)
			for n := range s.counters {
				s.counters[n] = newCounter()
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

func (s *simulation) time() time.Time { return s.origin.Add(s.now) }

func (s *simulation) loseServers() {
	share := s.lost[s.now]
	if s.now%time.Second == 0 {
		share += s.flapping
	}
	for n := range int(share * servers) {
		s.endServer((n + int(s.now/time.Second)) % servers)
	}
}

// endServer ends a backend server and all of its runs.
func (s *simulation) endServer(server int) {
	s.backAt[server] = s.now + 2*time.Second
	s.load[server] = 0
	var others, broken []run
	for _, r := range s.runs {
		if r.server == server {
			broken = append(broken, r)
		} else {
			others = append(others, r)
		}
	}
	s.runs = others
	for _, r := range broken {
		s.counters[r.entry].RecordFailure(uint64(r.request), s.time())
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
	return !(entry%3 == 0 && s.cutUntil > 0 && s.cutFrom <= s.now && s.now < s.cutUntil+contactTime) &&
		!(s.restart > 0 && s.restart <= s.now && s.now < s.restart+contactTime)
}

// exchange sends the reports of all entries and delivers those that arrive.
func (s *simulation) exchange() {
	if s.now%s.view == 0 {
		for n, c := range s.counters {
			if reports := c.Reports(s.time()); len(reports) > 0 {
				s.reports = append(s.reports, report{n, s.starts[n], s.time().Add(s.view), reports})
			}
		}
	}
	for len(s.reports) > 0 && !s.time().Before(s.reports[0].arrives) {
		r := s.reports[0]
		s.reports = s.reports[1:]
		for n, c := range s.counters {
			if n != r.from && s.cut(n) == s.cut(r.from) {
				c.receive(fmt.Sprint("entry", r.from), r.start, r.reports, s.time())
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
			s.counters[r.entry].respond(uint64(r.request), s.time())
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
		s.endServer(server)
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
	if s.counters[entry].blocked(uint64(request), s.time()) {
		if request != crashing {
			s.rejected++
			if s.now > length-10*time.Second {
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
	s.runs = append(s.runs, run{request, entry, attempt, server, s.now + took})
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
		"all lost three times":                         {entries: 8, view: 30 * time.Millisecond, contents: 1200, lost: all},
		"all lost three times, few contents":           {entries: 8, view: 30 * time.Millisecond, contents: 4, lost: all},
		"the same, 88 entries, old views":              {entries: 88, view: 700 * time.Millisecond, contents: 4, lost: all},
		"all lost just after all entries":              {entries: 8, view: 30 * time.Millisecond, contents: 4, lost: all, restart: 8990 * time.Millisecond},
		"backend servers flap":                         {entries: 8, view: 30 * time.Millisecond, contents: 1200, flapping: 0.17},
		"a crashing request, racks lost, few contents": {entries: 27, view: 100 * time.Millisecond, contents: 20, crashingPerSecond: 5, lost: rack},
		"a crashing request, all lost, servers flap":   {entries: 27, view: 100 * time.Millisecond, contents: 150, crashingPerSecond: 5, lost: all, flapping: 0.17},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt.perSecond = 90
			for seed := range uint64(5) {
				g := NewWithT(t)
				s := tt.play(seed)
				t.Logf("seed %d: %d crashes, %d retries, %d of %d requests rejected", seed, s.crashes, s.retries, s.rejected, s.requests)
				g.Expect(s.retries).To(BeNumerically("<=", allowedRetries), "seed %d: sent on after %d crashes", seed, s.crashes)
				g.Expect(s.rejected).To(BeNumerically("<=", 5+s.requests/500), "seed %d: of %d requests that work, rejected", seed, s.requests)
				g.Expect(s.rejectedAtEnd).To(BeZero(), "seed %d: rejected long after the last loss", seed)
			}
		})
	}
}

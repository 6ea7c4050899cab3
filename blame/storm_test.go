package blame

import (
	"flag"
	"fmt"
	"maps"
	"math"
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
	// crashesKnown is how many backend servers may end before the part must be known, and allowedSends how often it may
	// be sent later than contactTime after that.
	crashesKnown = 5
	allowedSends = 3
	servers      = 18
	slots        = 8
	// downTime is how long it takes until a backend server that ended is back.
	downTime = 2 * time.Second
	// heartbeats is after how many views unchanged reports are sent again.
	heartbeats = 8
	// lossSteps is the number of ticks in which a share of the backend servers is lost.
	lossSteps = 5
	// patience is how long a request waits for another one with a suspect part.
	patience = 500 * time.Millisecond
	// soundPerSecond is the rate of the requests that work.
	soundPerSecond = 90
	defaultLength  = 40 * time.Second
)

// seeds is the number of simulations of each storm with few entries. Those with many are played less often.
var seeds = flag.Int("seeds", 2, "number of seeds of each simulation")

// storm is a simulation of entries that send requests with prompts to backend servers, which end.
type storm struct {
	entries int
	view    time.Duration
	// firsts and seconds are the numbers of parts that sound requests have in the first and the second place. Most of
	// the second parts come rarely.
	firsts, seconds int
	// guilty returns the parts of a request that ends its backend server; nil for a request that works. n counts them.
	guilty func(s *simulation, n int) []string
	// guiltyPerSecond is the rate of these requests, from guiltyFrom until guiltyUntil (zero for ever).
	guiltyPerSecond         float64
	guiltyFrom, guiltyUntil time.Duration
	// writes is how long such a request writes before it ends its backend server.
	writes time.Duration
	// sameContent is set if they are all alike.
	sameContent bool
	// turns is a part that works until guiltyFrom.
	turns string
	// companion is a part that sound requests have from companionFrom on.
	companion     string
	companionFrom time.Duration
	// lost holds the times at which a share of all backend servers is lost, flapping is the share lost every second.
	lost     map[time.Duration]float64
	flapping float64
	// cutFrom and cutUntil bound the time in which a third of the entries is cut off from the others.
	cutFrom, cutUntil time.Duration
	// restart is when all entries are replaced, restartOne when one of them is; zero for never.
	restart, restartOne time.Duration
	length              time.Duration
}

// request is a request with a prompt.
type request struct {
	parts   []string
	guilty  bool
	content uint64
	entry   int
	arrived time.Duration
	// attempts counts its runs.
	attempts int
	phase    int
}

type running struct {
	*request
	run    *Run
	server int
	// begins and ends are when it begins to write, and when it is complete or ends its backend server.
	begins, ends time.Duration
	settled      bool
}

type message struct {
	from    int
	start   int64
	arrives time.Duration
	reports []Report
}

type simulation struct {
	storm
	random   *rand.Rand
	origin   time.Time
	now      time.Duration
	trackers []*Tracker
	starts   []int64
	sent     [][]Report
	sentAt   []time.Duration
	messages []message
	backAt   []time.Duration
	// incarnations counts the starts of each backend server.
	incarnations []uint32
	load         []int
	runs         []*running
	waiting      []*request

	guiltySent int
	crashes    []time.Duration
	// sends are the times of the requests with a guilty part that entries in contact sent.
	sends []time.Duration
	// sound, rejected and begun count the sound requests by phase, those that were rejected or waited too long, and
	// those whose first run began to write.
	sound, rejected, begun [3]int
}

// The phases of a simulation: before the first crash, until the part must be known, and later.
const (
	calm = iota
	unknown
	known
)

func (o storm) play(seed uint64) *simulation {
	s := &simulation{
		storm: o, random: rand.New(rand.NewPCG(seed, 2)), origin: time.Now(), starts: make([]int64, o.entries), sent: make([][]Report, o.entries),
		sentAt: make([]time.Duration, o.entries), backAt: make([]time.Duration, servers), incarnations: make([]uint32, servers), load: make([]int, servers),
	}
	for n := range o.entries {
		s.trackers = append(s.trackers, s.newTracker(n))
	}
	for ; s.now < s.length; s.now += tick {
		waiting := s.waiting
		s.waiting = nil
		for _, r := range waiting {
			s.send(r)
		}
		s.lose()
		s.restartEntries()
		s.exchange()
		s.advance()
		s.arrive()
	}
	return s
}

func (s *simulation) newTracker(entry int) *Tracker {
	t := &Tracker{ViewAge: func() time.Duration { return s.view }}
	t.Rank = func(c Cause) int {
		// The order is a rotation that depends on the cause, among the entries that are reachable.
		rank := 0
		for n := int(uint64(c) % uint64(s.entries)); n != entry; n = (n + 1) % s.entries {
			if s.cut(n) == s.cut(entry) {
				rank++
			}
		}
		return rank
	}
	t.Prepare()
	return t
}

func (s *simulation) restartEntries() {
	for n := range s.trackers {
		if s.restart > 0 && s.now == s.restart || s.restartOne > 0 && s.now == s.restartOne && n == 0 {
			s.trackers[n] = s.newTracker(n)
			s.starts[n]++
			s.runs = slices.DeleteFunc(s.runs, func(r *running) bool {
				if r.entry == n {
					s.load[r.server]--
				}
				return r.entry == n
			})
		}
	}
}

func (s *simulation) time() time.Time { return s.origin.Add(s.now) }

func (s *simulation) cut(entry int) bool {
	return s.cutFrom <= s.now && s.now < s.cutUntil && entry%3 == 0
}

// inContact reports whether an entry has had contact with the others for contactTime.
func (s *simulation) inContact(entry int) bool {
	since := func(at time.Duration) bool { return at > 0 && at <= s.now && s.now < at+contactTime }
	wasCut := entry%3 == 0 && s.cutUntil > 0 && s.cutFrom <= s.now && s.now < s.cutUntil+contactTime
	return !wasCut && !since(s.restart) && (entry != 0 || !since(s.restartOne))
}

func (s *simulation) lose() {
	// They are lost one shortly after the other.
	for n := range servers {
		at := s.now - time.Duration(n%lossSteps)*tick
		share := s.lost[at]
		if at%time.Second == 0 {
			share += s.flapping
		}
		if n < int(share*servers) {
			s.endServer((n + int(at/time.Second)) % servers)
		}
	}
}

// endServer ends a backend server and all of its runs, which are then sent again.
func (s *simulation) endServer(server int) {
	hash := uint32(server)<<16 | s.incarnations[server]
	s.incarnations[server]++
	s.backAt[server], s.load[server] = s.now+downTime, 0
	var others, broken []*running
	for _, r := range s.runs {
		if r.server == server {
			broken = append(broken, r)
		} else {
			others = append(others, r)
		}
	}
	s.runs = others
	for _, r := range broken {
		s.trackers[r.entry].Failed(r.run, hash, s.time())
	}
	for _, r := range broken {
		if r.attempts < 2 {
			r.arrived = s.now
			s.waiting = append(s.waiting, r.request)
		}
	}
}

func (s *simulation) exchange() {
	if s.now%s.view == 0 {
		for n, t := range s.trackers {
			reports := t.Reports(s.time())
			if len(reports) > 0 && (!slices.EqualFunc(reports, s.sent[n], Report.Equal) || s.now >= s.sentAt[n]+heartbeats*s.view) {
				s.messages = append(s.messages, message{n, s.starts[n], s.now + s.view, reports})
				s.sentAt[n] = s.now
			}
			s.sent[n] = reports
		}
	}
	for len(s.messages) > 0 && s.messages[0].arrives <= s.now {
		m := s.messages[0]
		s.messages = s.messages[1:]
		for n, t := range s.trackers {
			if n != m.from && s.cut(n) == s.cut(m.from) {
				t.Receive(fmt.Sprint("entry", m.from), m.start, m.reports, s.time())
			}
		}
	}
}

func (s *simulation) advance() {
	var left []*running
	ended := map[int]bool{}
	for _, r := range s.runs {
		t := s.trackers[r.entry]
		if !r.settled && (s.now >= r.begins+SettleTime || !r.guilty && s.now >= r.ends) {
			r.settled = true
			if !r.guilty && r.attempts == 1 {
				s.begun[r.phase]++
			}
			t.Began(r.run, s.origin.Add(r.begins), s.time())
		}
		switch {
		case s.now < r.ends:
			left = append(left, r)
		case r.guilty:
			left = append(left, r)
			ended[r.server] = true
		default:
			s.load[r.server]--
		}
	}
	s.runs = left
	for _, server := range slices.Sorted(maps.Keys(ended)) {
		if s.now >= s.backAt[server] {
			s.crashes = append(s.crashes, s.now)
			s.endServer(server)
		}
	}
}

func (s *simulation) arrive() {
	if s.random.Float64() < soundPerSecond*tick.Seconds() {
		second := int(float64(s.seconds) * math.Pow(s.random.Float64(), 3))
		r := &request{parts: []string{fmt.Sprint("first", s.random.IntN(s.firsts)), fmt.Sprint("second", second)}, content: s.random.Uint64()}
		if s.companion != "" && s.now >= s.companionFrom && s.random.IntN(4) == 0 {
			r.parts[0] = s.companion
		}
		if r.guilty = s.turns != "" && s.now >= s.guiltyFrom && slices.Contains(r.parts, s.turns); !r.guilty {
			s.sound[s.phase()]++
		}
		s.receive(r)
	}
	until := s.guiltyUntil
	if until == 0 {
		until = s.length
	}
	if s.guilty != nil && s.now >= s.guiltyFrom && s.now < until && s.random.Float64() < s.guiltyPerSecond*tick.Seconds() {
		r := &request{parts: s.guilty(s, s.guiltySent), guilty: true, content: s.random.Uint64()}
		if s.sameContent {
			r.content = 1
		}
		s.guiltySent++
		s.receive(r)
	}
}

func (s *simulation) receive(r *request) {
	r.entry, r.arrived, r.phase = s.random.IntN(s.entries), s.now, s.phase()
	s.send(r)
}

func (s *simulation) phase() int {
	switch {
	case len(s.crashes) == 0:
		return calm
	case s.now < s.crashes[min(len(s.crashes), crashesKnown)-1]+2*contactTime:
		return unknown
	}
	return known
}

// send sends a request to a backend server that is up and has a free slot, if there is one.
func (s *simulation) send(r *request) {
	server, first := -1, s.random.IntN(servers)
	for n := range servers {
		if i := (first + n) % servers; s.now >= s.backAt[i] && s.load[i] < slots {
			server = i
			break
		}
	}
	causes := Causes(r.parts, r.content)
	if server < 0 {
		return
	}
	run, d := s.trackers[r.entry].Send(causes, s.time())
	switch {
	case d.Action == Wait && s.now < r.arrived+patience:
		s.waiting = append(s.waiting, r)
		return
	case d.Action != Allow:
		if !r.guilty {
			s.rejected[s.phase()]++
		}
		return
	}
	r.attempts++
	begins := s.now + time.Duration(10+s.random.IntN(60))*time.Millisecond
	ends := begins + time.Duration(300+s.random.IntN(600))*time.Millisecond
	if r.guilty {
		ends = begins + s.writes + time.Duration(s.random.IntN(60))*time.Millisecond
		if s.inContact(r.entry) {
			s.sends = append(s.sends, s.now)
		}
	}
	s.load[server]++
	s.runs = append(s.runs, &running{request: r, run: run, server: server, begins: begins, ends: ends})
}

// late returns how many requests with a guilty part were sent too late.
func (s *simulation) late() int {
	if len(s.crashes) < crashesKnown {
		return 0
	}
	n := 0
	for _, at := range s.sends {
		if at > s.crashes[crashesKnown-1]+contactTime {
			n++
		}
	}
	return n
}

// prompt returns the parts of requests that have the given part among others that sound requests have.
func prompt(format ...string) func(*simulation, int) []string {
	return func(s *simulation, n int) []string {
		var parts []string
		for _, f := range format {
			switch f {
			case "first":
				f = fmt.Sprint("first", s.random.IntN(s.firsts))
			case "second":
				f = fmt.Sprint("second", s.random.IntN(s.seconds))
			case "one of two":
				f = fmt.Sprint("bad", n%2)
			}
			parts = append(parts, f)
		}
		return parts
	}
}

// TestGuiltyPartIsContainedAndOthersAreServed guards against both errors at once: requests with a part that ends backend
// servers that are sent on, and requests that work that are rejected because of them, or because backend
// servers were lost.
func TestGuiltyPartIsContainedAndOthersAreServed(t *testing.T) {
	t.Parallel()
	near, far := 30*time.Millisecond, 700*time.Millisecond
	all := map[time.Duration]float64{5 * time.Second: 1, 9 * time.Second: 1, 13 * time.Second: 1}
	rack := map[time.Duration]float64{5 * time.Second: 0.34, 6 * time.Second: 0.34, 7 * time.Second: 0.34}
	for name, tt := range map[string]storm{
		"second of two":                      {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 5},
		"first of two":                       {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("bad", "second"), guiltyPerSecond: 5},
		"last of three, one first part":      {entries: 8, view: near, firsts: 1, seconds: 1200, guilty: prompt("first", "second", "bad"), guiltyPerSecond: 5},
		"the only part":                      {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("bad"), guiltyPerSecond: 5},
		"often":                              {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 30},
		"rarely":                             {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 0.3, length: 2 * time.Minute},
		"few parts":                          {entries: 8, view: near, firsts: 2, seconds: 4, guilty: prompt("first", "second", "bad"), guiltyPerSecond: 5},
		"it writes first":                    {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 5, writes: 100 * time.Millisecond},
		"it worked at first":                 {entries: 8, view: near, firsts: 8, seconds: 1200, turns: "second0", guiltyFrom: 10 * time.Second},
		"two parts":                          {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("first", "one of two"), guiltyPerSecond: 8},
		"beside requests that are all alike": {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("first0", "second7"), sameContent: true, guiltyPerSecond: 5},
		"with a companion that is sound":     {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("companion", "bad"), guiltyPerSecond: 5, companion: "companion", companionFrom: 12 * time.Second},
		"28 entries":                         {entries: 28, view: 100 * time.Millisecond, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 10},
		"88 entries, old views":              {entries: 88, view: far, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 5},
		"501 entries, old views":             {entries: 501, view: far, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 10},
		"entries cut off":                    {entries: 9, view: near, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 5, cutFrom: 500 * time.Millisecond, cutUntil: 8 * time.Second},
		"all entries lost":                   {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 5, restart: 15 * time.Second},
		"an entry lost":                      {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 5, restartOne: 2 * time.Second},
		"racks lost besides":                 {entries: 8, view: near, firsts: 8, seconds: 1200, guilty: prompt("first", "bad"), guiltyPerSecond: 5, lost: rack},
		"racks lost":                         {entries: 8, view: near, firsts: 8, seconds: 1200, lost: rack},
		"racks lost, few parts":              {entries: 8, view: near, firsts: 1, seconds: 3, lost: rack},
		"all lost three times":               {entries: 8, view: near, firsts: 8, seconds: 1200, lost: all},
		"all lost three times, few parts":    {entries: 8, view: near, firsts: 1, seconds: 3, lost: all},
		"the same, 88 entries, old views":    {entries: 88, view: far, firsts: 1, seconds: 3, lost: all},
		"the same, just after all entries":   {entries: 8, view: near, firsts: 8, seconds: 30, lost: all, restart: 8990 * time.Millisecond},
		"backend servers flap":               {entries: 8, view: near, firsts: 8, seconds: 1200, flapping: 0.17},
		"backend servers flap, 88 entries":   {entries: 88, view: far, firsts: 8, seconds: 100, flapping: 0.17},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkStorm(t, tt)
		})
	}
}

// checkStorm plays a simulation with several seeds and checks what callers and operators may expect.
func checkStorm(t *testing.T, o storm) {
	if o.length == 0 {
		o.length = defaultLength
	}
	for seed := range uint64(max(1, min(*seeds, 20**seeds/o.entries))) {
		g := NewWithT(t)
		s := o.play(seed)
		sound, rejected := s.sound[calm]+s.sound[unknown]+s.sound[known], s.rejected[calm]+s.rejected[unknown]+s.rejected[known]
		t.Logf("seed %d: %d crashes, %d sends too late; of %d sound requests %d rejected, %d of %d once the part must be known", seed, len(s.crashes), s.late(), sound, rejected, s.rejected[known], s.sound[known])
		g.Expect(s.late()).To(BeNumerically("<=", allowedSends), "seed %d: sent on after %d crashes", seed, len(s.crashes))
		g.Expect(rejected).To(BeNumerically("<=", 5+sound/500), "seed %d: of %d requests that work, rejected", seed, sound)
		if before, later := s.sound[calm], s.sound[known]; before >= 20 && later >= 20 {
			g.Expect(float64(s.begun[known])/float64(later)).To(BeNumerically(">=", float64(s.begun[calm])/float64(before)/2), "seed %d: begun", seed)
		}
		if o.guilty == nil && o.turns == "" {
			g.Expect(rejected).To(BeZero(), "seed %d: nothing ends backend servers, yet of %d requests were rejected", seed, sound)
		}
	}
}

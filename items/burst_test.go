package items

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/rights"
)

// The simulation plays bursts of online requests with batch items between them: entries that own a part
// of the items each, with pools that know the others' loads of up to 0.1 s before, and backend servers
// that grant slots. The rule is the present one if the backend servers don't state their starts.
const (
	burstEntries, burstServers, burstSlots = 27, 38, 8
	burstStep                              = 25 * time.Millisecond
	burstPeriod, burstLull                 = 5200 * time.Millisecond, 3 * time.Second
	burstWarmUp, burstLength, burstDue     = 6 * time.Second, 36 * time.Second, 18 * time.Second
	// requestEvents is the length of an online request, itemEvents the mean length of an item.
	requestEvents, itemEvents = 25, 155
	requestsPerSecond         = 177
	jobsPerSecond             = 2.17
	queueTime                 = 250 * time.Millisecond
	requestTarget             = 300 * time.Millisecond
)

type burstItem struct {
	owner        *burstEntry
	created, due time.Time
	events, done int
	small        bool
	run          *burstRun
	stopped      time.Time
	stalled      time.Duration
}

type burstRun struct {
	item    *burstItem
	server  *burstServer
	started time.Time
	done    float64
}

func (r *burstRun) lastEvent() string { return strconv.Itoa(r.item.done + int(r.done)) }

type burstServer struct {
	id        string
	eventTime time.Duration
	online    int
	runs      []*burstRun
}

func (v *burstServer) free() bool { return v.online+len(v.runs) < burstSlots }

type burstEntry struct {
	name      string
	pool      *pool.Pool
	items     []*burstItem
	estimator Estimator
	pace      Pacer
	excess    Excess
	headroom  Headroom
	waiting   int
}

type burstRequest struct {
	entry *burstEntry
	since time.Time
}

// bursts is a load, and what was measured.
type bursts struct {
	// load multiplies the rate of items. fast makes a quarter of the backend servers twice as fast.
	load                   float64
	fast, starts, constant bool
	// rights is set if requests reserve slots by right.
	rights bool
	// large makes one job in thirty one of 200 items.
	large bool
	// restart is when all entries are lost and start again, viewAge how old their views are at most.
	restart, viewAge time.Duration

	random, choices *rand.Rand
	now             time.Time
	servers         map[string]*burstServer
	order           []*burstServer
	entries         []*burstEntry
	byName          map[string]*burstEntry
	ending          map[time.Time][]func()
	queue           []burstRequest
	jobsDue         float64

	// smallTime is how long the items of small jobs took in all.
	lost, useful, smallTime        time.Duration
	inTime, total                  int
	preempted, refused, late, sent int
}

func (b *bursts) measured() bool { return b.now.Sub(testStart) >= burstWarmUp }

func (b *bursts) end(r *burstRun, done bool) {
	i, e, took := r.item, r.item.owner, b.now.Sub(r.started)
	r.server.runs = slices.DeleteFunc(r.server.runs, func(o *burstRun) bool { return o == r })
	e.pool.Done(r.server.id, true, false, b.now)
	e.estimator.RecordRun(int(r.done), took)
	i.done += int(r.done)
	i.run, i.stopped = nil, b.now
	switch {
	case !b.measured():
	case done:
		b.useful += took
	default:
		b.lost += took
		b.preempted++
	}
	if !done {
		return
	}
	e.estimator.RecordItem(i.events, i.stalled)
	e.items = slices.DeleteFunc(e.items, func(o *burstItem) bool { return o == i })
	if b.counts(i) && i.small {
		b.smallTime += b.now.Sub(i.created)
	}
	if b.counts(i) && !b.now.After(i.due) {
		b.inTime++
	}
}

// counts reports whether an item is due within the measured time.
func (b *bursts) counts(i *burstItem) bool {
	return i.due.After(testStart.Add(burstWarmUp+burstDue/2)) && i.due.Before(testStart.Add(burstLength))
}

// preemptAt preempts an item of an entry at a backend server.
func (b *bursts) preemptAt(e *burstEntry, id string) {
	var own []*burstRun
	var runs []Run
	latest, latestLate := -1, false
	for _, r := range b.servers[id].runs {
		if r.item.owner != e {
			continue
		}
		late := !e.estimator.MeetsDeadline(r.lastEvent(), r.item.due, b.now)
		if latest < 0 || late && !latestLate || late == latestLate && r.item.due.After(own[latest].item.due) {
			latest, latestLate = len(own), late
		}
		own = append(own, r)
		runs = append(runs, Run{LastEvent: r.lastEvent(), Due: r.item.due, Started: r.started, Factor: 1})
	}
	if b.starts {
		latest = e.estimator.Preempted(runs, b.now)
	}
	if latest >= 0 {
		b.end(own[latest], false)
	}
}

func (b *bursts) choose(e *burstEntry, since time.Time) pool.Choice {
	if !b.rights {
		c, _ := e.pool.ChooseOnline("s", &pool.Request{}, b.now)
		return c
	}
	c, _ := e.pool.ChooseReserving("s", &pool.Request{
		Request: rights.Request{Waited: b.now.Sub(since), Target: requestTarget}, ViewAge: b.viewAge,
	}, b.now)
	return c
}

// serve sends a request, and returns false if no slot was found.
func (b *bursts) serve(e *burstEntry, since time.Time) bool {
	for range 5 {
		c := b.choose(e, since)
		if c.Right == pool.RightNone {
			e.pool.CancelOnline(c.ID)
			return false
		}
		v := b.servers[c.ID]
		if c.Full() && c.Batch > 0 {
			holder, ok := e.pool.PreemptHolder(c.ID, b.now)
			if !ok && !slices.ContainsFunc(v.runs, func(r *burstRun) bool { return r.item.owner == e }) {
				holder, ok = e.pool.BatchPeer(c.ID)
			}
			if !ok {
				holder = e.name
			}
			b.preemptAt(b.byName[holder], c.ID)
		}
		// A request is sent to a full backend server without items as it is.
		if (!c.Full() || c.Batch > 0) && !v.free() {
			b.refused++
			e.pool.CancelOnline(c.ID)
			e.pool.RecordFull(c.ID, b.now)
			continue
		}
		e.pool.RecordReserved(c.ID)
		v.online++
		took := requestEvents * v.eventTime
		at := b.now.Add(took).Truncate(burstStep)
		served := e.pool
		b.ending[at] = append(b.ending[at], func() {
			v.online--
			served.RecordServed(v.id, pool.Sample{Timing: pool.Timing{Run: took}})
			served.Done(v.id, false, false, b.now)
		})
		return true
	}
	return false
}

// round is what the runner of an entry does at each poll.
func (b *bursts) round(e *burstEntry, elsewhere int) {
	delay, keepFree := time.Duration(0), 0
	if b.starts {
		online, slots := e.pool.Online("s", b.now)
		e.headroom.Observe(online, b.now)
		delay, keepFree = ExcessDelay(b.viewAge), e.headroom.Slots(slots, b.rights)
	}
	for _, id := range e.pool.BatchServers() {
		if n := e.pool.Excess(id, b.now); e.excess.Confirm(id, n, delay, b.now) {
			for range n {
				b.preemptAt(e, id)
			}
		}
	}
	var atRisk, inTime, late []*burstItem
	for _, i := range e.items {
		switch last := strconv.Itoa(i.done); {
		case i.run != nil:
		case !e.estimator.MeetsDeadline(last, i.due, b.now):
			late = append(late, i)
		case (keepFree > 0 || e.pool.Scarce("s", b.now)) && e.estimator.AtRisk(last, i.due, b.now):
			atRisk = append(atRisk, i)
		default:
			inTime = append(inTime, i)
		}
	}
	e.waiting = len(atRisk) + len(inTime)
	own := b.part(e)
	started := b.start(e, atRisk, own, elsewhere, 0, true)
	if started == len(atRisk) {
		started += b.start(e, inTime, own, elsewhere, keepFree, false)
	}
	b.start(e, late, len(late), len(late)*(burstEntries-1), e.waiting-started+elsewhere, false)
}

// part returns how many waiting items count for an entry's share of the free slots.
func (b *bursts) part(e *burstEntry) int {
	if b.starts {
		return SharePart(e.waiting)
	}
	return e.waiting
}

func (b *bursts) start(e *burstEntry, waiting []*burstItem, own, elsewhere, keepFree int, atRisk bool) int {
	freeSlots := e.pool.FreeSlots
	if atRisk {
		freeSlots = e.pool.FreeSlotsAtRisk
	}
	free := freeSlots("s", 0, b.now)
	for n, i := range waiting {
		if e.pace.Allow(free-keepFree, own, elsewhere, true, b.now) <= 0 {
			return n
		}
		c, ok := e.pool.ChooseBatch("s", pool.BatchRequest{AtRisk: atRisk}, b.now)
		if !ok {
			return n
		}
		e.pace.RecordStart()
		free--
		v := b.servers[c.ID]
		if !v.free() {
			e.pool.Done(c.ID, true, false, b.now)
			e.pool.RecordFull(c.ID, b.now)
			continue
		}
		if !i.stopped.IsZero() {
			i.stalled += b.now.Sub(i.stopped)
		}
		i.run = &burstRun{item: i, server: v, started: b.now}
		v.runs = append(v.runs, i.run)
	}
	return len(waiting)
}

// startEntries starts all entries; those before them are lost.
func (b *bursts) startEntries(seed uint64) {
	var list []sardinerock.BackendServer
	for _, v := range b.order {
		for _, r := range slices.Clone(v.runs) {
			b.end(r, false)
		}
		s := sardinerock.BackendServer{ID: v.id, Service: "s", Slots: burstSlots}
		if b.starts {
			s.Started = 1
		}
		list = append(list, s)
	}
	old := b.entries
	b.entries, b.byName, b.queue = nil, map[string]*burstEntry{}, nil
	for n := range burstEntries {
		e := &burstEntry{name: fmt.Sprint("e", n)}
		e.pace = Pacer{ViewAge: func() time.Duration { return b.viewAge }, Random: rand.New(rand.NewPCG(seed, uint64(n)))}
		e.pool = &pool.Pool{Name: e.name, Random: rand.New(rand.NewPCG(seed, uint64(100+n)))}
		e.pool.SetServers(list)
		if old != nil {
			e.items = old[n].items
		}
		for _, i := range e.items {
			i.owner = e
		}
		b.entries, b.byName[e.name] = append(b.entries, e), e
	}
}

// arrive adds the requests and jobs of one step.
func (b *bursts) arrive(requests *float64, level float64) {
	queue := b.queue
	b.queue = nil
	for *requests += requestsPerSecond * level * burstStep.Seconds() * (0.7 + 0.6*b.random.Float64()); *requests >= 1; *requests-- {
		b.sent++
		queue = append(queue, burstRequest{b.entries[b.random.IntN(burstEntries)], b.now})
	}
	for _, q := range queue {
		switch {
		case b.serve(q.entry, q.since):
		case b.now.Sub(q.since) > queueTime:
			b.late++
		default:
			b.queue = append(b.queue, q)
		}
	}
	for b.jobsDue += b.load * jobsPerSecond * burstStep.Seconds() * 2 * b.random.Float64(); b.jobsDue >= 1; b.jobsDue-- {
		e := b.entries[b.random.IntN(burstEntries)]
		size := 10
		if b.large && b.random.IntN(30) == 0 {
			size = 200
		}
		for range size {
			i := &burstItem{small: size == 10, owner: e, created: b.now, due: b.now.Add(burstDue), events: int(itemEvents * (0.6 + 0.8*b.random.Float64()))}
			e.items = append(e.items, i)
			if b.counts(i) {
				b.total++
			}
		}
	}
}

func (b *bursts) play(seed uint64) {
	b.random, b.choices = rand.New(rand.NewPCG(seed, 5)), rand.New(rand.NewPCG(seed, 6))
	b.ending, b.now, b.servers, b.order, b.entries = map[time.Time][]func(){}, testStart, map[string]*burstServer{}, nil, nil
	for n := range burstServers {
		v := &burstServer{id: fmt.Sprint("b", n), eventTime: 30 * time.Millisecond}
		if b.fast {
			v.eventTime = []time.Duration{18 * time.Millisecond, 37 * time.Millisecond}[min(n%4, 1)]
		}
		b.servers[v.id], b.order = v, append(b.order, v)
	}
	b.startEntries(seed)
	requests, vary, burst := 0.0, 1.0, false
	for at := time.Duration(0); at < burstLength; at += burstStep {
		b.now = testStart.Add(at)
		if at == b.restart && at > 0 {
			b.startEntries(seed + 100)
		}
		if next := at%burstPeriod >= burstLull; next != burst {
			burst, vary = next, 0.78+0.44*b.random.Float64()
		}
		level := 0.38 * vary
		if burst {
			level = 1.85 * vary
		}
		if b.constant {
			level = 1
		}
		for _, end := range b.ending[b.now] {
			end()
		}
		delete(b.ending, b.now)
		b.arrive(&requests, level)
		b.exchange(int(at / burstStep))
		waiting := 0
		for _, e := range b.entries {
			waiting += b.part(e)
		}
		for _, n := range b.choices.Perm(burstEntries) {
			b.round(b.entries[n], waiting-b.part(b.entries[n]))
		}
		for _, v := range b.order {
			for _, r := range slices.Clone(v.runs) {
				if b.now.Sub(r.started) >= promptTime {
					r.done += burstStep.Seconds() / v.eventTime.Seconds()
				}
				if r.item.done+int(r.done) >= r.item.events {
					b.end(r, true)
				}
			}
		}
	}
}

// exchange sends the loads of the entries whose turn it is to the others.
func (b *bursts) exchange(step int) {
	for n, e := range b.entries {
		if (step+n)%int(b.viewAge/burstStep) != 0 {
			continue
		}
		loads := e.pool.OwnLoads()
		for _, o := range b.entries {
			if o != e {
				o.pool.SetPeer(e.name, loads, b.now)
			}
		}
	}
}

func (b *bursts) lostShare() float64 { return b.lost.Seconds() / max((b.lost+b.useful).Seconds(), 1) }

func (b *bursts) inTimeShare() float64 { return float64(b.inTime) / float64(b.total) }

// A third of all runs and more are interrupted by recurring bursts. The new rule must lose less slot
// time, and make no more items or requests late, also in overload, after a loss of all entries, and
// where there are no bursts.
func TestItemsBetweenBursts(t *testing.T) {
	for name, test := range map[string]struct {
		load bursts
		// saved is the least share by which the lost slot time must fall.
		saved float64
		// late is by how much the share of items in time may fall.
		late float64
	}{
		"usual load":                              {bursts{load: 1}, 0.2, 0},
		"a quarter of the servers fast":           {bursts{load: 1, fast: true}, 0.3, 0},
		"1.2 times the load":                      {bursts{load: 1.2}, 0.15, 0},
		"views of 0.7 s":                          {bursts{load: 1, viewAge: 700 * time.Millisecond}, 0.05, 0},
		"overload":                                {bursts{load: 1.5}, 0.1, 0.006},
		"overload, a quarter fast":                {bursts{load: 1.5, fast: true}, 0.15, 0.002},
		"all entries lost and back, peak unknown": {bursts{load: 1, restart: 14 * time.Second}, 0.15, 0},
		"a large job in thirty":                   {bursts{load: 0.9, large: true}, 0.1, 0.005},
		"constant online load":                    {bursts{load: 1, constant: true}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			test.load.viewAge = cmp.Or(test.load.viewAge, 100*time.Millisecond)
			present, changed, reserving := test.load, test.load, test.load
			changed.starts, reserving.starts, reserving.rights = true, true, true
			for seed := range uint64(2) {
				present.play(seed)
				changed.play(seed)
				reserving.play(seed)
			}
			for rule, b := range map[string]*bursts{"present": &present, "new": &changed, "new, by right": &reserving} {
				t.Logf("%s, %s rule: %.3f of slot time lost, %.4f of %d items in time, %d preemptions, %d requests: %d refusals, %d late, small jobs %s",
					name, rule, b.lostShare(), b.inTimeShare(), b.total, b.preempted, b.sent, b.refused, b.late, b.smallTime)
			}
			g.Expect(changed.sent).To(Equal(present.sent), "the same load")
			g.Expect(changed.lostShare()).To(BeNumerically("<=", (1-test.saved)*present.lostShare()))
			g.Expect(changed.inTimeShare()).To(BeNumerically(">=", present.inTimeShare()-test.late))
			if test.load.large {
				g.Expect(changed.smallTime).To(BeNumerically("<", present.smallTime))
			}
			g.Expect(reserving.lostShare()).To(BeNumerically("<=", present.lostShare()+0.03))
			g.Expect(reserving.inTimeShare()).To(BeNumerically(">=", present.inTimeShare()-max(test.late, 0.004)))
			refused := 0.5
			if test.load.constant {
				refused = 0.7 // Slots are ample most of the time.
			}
			g.Expect(float64(reserving.refused)).To(BeNumerically("<=", refused*float64(changed.refused)))
			g.Expect(reserving.late).To(BeNumerically("<=", present.late+present.sent/1000))
			g.Expect(changed.late).To(BeNumerically("<=", present.late+present.sent/1000))
		})
	}
}

// Guards against results of the simulation that can't be played again: two runs with the same seed must be equal.
func TestBurstSimulationIsRepeatable(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]bursts{
		"present rule":      {load: 1},
		"new rule":          {load: 1, starts: true},
		"new rule by right": {load: 1, starts: true, rights: true, fast: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load.viewAge = 700 * time.Millisecond
			first, second := load, load
			first.play(0)
			second.play(0)
			g := NewWithT(t)
			g.Expect([]any{first.lost, first.useful, first.inTime, first.preempted, first.refused, first.late, first.sent}).
				To(Equal([]any{second.lost, second.useful, second.inTime, second.preempted, second.refused, second.late, second.sent}))
		})
	}
}

package usage

import (
	"container/list"
	"math"
	"time"
)

const (
	// rateDecay is the decay time of request rates. A burst shows in them within this time.
	rateDecay = 500 * time.Millisecond
	// activeTime is how long after its last request a team counts for the fair share.
	activeTime = 2 * time.Second
	// retention is how long after its last request the record of a team is kept. Less than
	// a thousandth of its use is left by then.
	retention = 8 * Window
	// sweepLimit bounds how many records one call expires, so that its cost doesn't depend
	// on the number of teams.
	sweepLimit = 4
	// shareTolerance is the factor by which a team's use may exceed the fair share, and
	// shareDeviations by how many standard deviations of the number of its requests in
	// addition. Without these, equal teams with a few requests a second exceed it at random.
	shareTolerance  = 1.5
	shareDeviations = 1.5
	// maxRank is the highest rank of a team. Teams that use more than 16 times their fair
	// share aren't distinguished.
	maxRank = 4
	// defaultRun is the slot time of a request, in seconds, until one has started.
	defaultRun = 0.3
	// runWeight is the inverse weight of one request in the average slot time.
	runWeight = 32
	// priorRequests is how many requests with the average slot time are added to the
	// requests of a team to estimate the slot time of one of its requests elsewhere. With
	// fewer, one long request would count for all that other entries report.
	priorRequests = 4
)

// Table holds the use of one service's slots by team; its zero value is ready. It isn't safe for
// concurrent use. Memory is bounded by the teams with requests within retention.
//
// It is designed for this load: 2,000 teams, of which one sends half of all requests in a
// burst beyond all slots. The use of a team is what its requests hold here, and, for teams with a
// quota, what the other entries admit for it. All parts decay over the same Window, so the
// order of teams changes only with requests and reports. Each operation has a constant cost.
type Table struct {
	teams map[string]*team
	// recent holds all teams, the one with the oldest last request first. oldestActive is
	// the first active one, or nil, and active how many there are.
	recent       list.List
	oldestActive *list.Element
	active       int
	// total is the use of all teams in seconds, onTime the rate of all their on-time requests.
	total, onTime Sum
	// run is the average slot time of a request in seconds.
	run float64
}

// team is the use of one team.
type team struct {
	name string
	// here is what its requests at this entry have used in seconds, elsewhere an estimate of
	// what those at other entries have, use the sum of both.
	here, elsewhere, use Sum
	onTime               Sum
	lastRequest          time.Time
	// active is set while the last request is at most activeTime ago.
	active  bool
	element *list.Element
}

// Request counts a request of a team; onTime is set if it can still meet its target.
func (t *Table) Request(name string, onTime bool, now time.Time) {
	m := t.teams[name]
	if m == nil {
		if t.teams == nil {
			t.teams = map[string]*team{}
		}
		m = &team{name: name}
		m.element = t.recent.PushBack(m)
		t.teams[name] = m
	}
	if !m.active {
		m.active = true
		t.active++
	} else if m.element == t.oldestActive {
		t.oldestActive = m.element.Next()
	}
	m.lastRequest = now
	t.recent.MoveToBack(m.element)
	if t.oldestActive == nil {
		t.oldestActive = m.element
	}
	if onTime {
		m.onTime.Add(1, now, rateDecay)
		t.onTime.Add(1, now, rateDecay)
	}
	t.expire(now)
}

// expire updates the active teams and removes records after retention.
func (t *Table) expire(now time.Time) {
	for range sweepLimit {
		if t.oldestActive == nil {
			break
		}
		m := t.oldestActive.Value.(*team)
		if now.Sub(m.lastRequest) <= activeTime {
			break
		}
		m.active = false
		t.active--
		t.oldestActive = t.oldestActive.Next()
	}
	for range sweepLimit {
		first := t.recent.Front()
		if first == nil || first == t.oldestActive || now.Sub(first.Value.(*team).lastRequest) <= retention {
			return
		}
		delete(t.teams, t.recent.Remove(first).(*team).name)
	}
}

// Start counts the expected slot time of a request that starts now.
func (t *Table) Start(name string, expected time.Duration, now time.Time) {
	t.addHere(name, expected.Seconds(), now)
	if t.run == 0 {
		t.run = expected.Seconds()
	}
	t.run += (expected.Seconds() - t.run) / runWeight
}

// End corrects the expected slot time of a request that ends now to the actual one.
func (t *Table) End(name string, expected, actual time.Duration, now time.Time) {
	t.addHere(name, (actual - expected).Seconds(), now)
}

// addHere adds slot time to what a team has used here. A team without requests for the
// retention has no record any more, and what it still holds doesn't count.
func (t *Table) addHere(name string, seconds float64, now time.Time) {
	m := t.teams[name]
	if m == nil {
		return
	}
	m.here.Add(seconds, now, Window)
	t.update(m, now)
}

// SetElsewhere sets how many requests of a team this entry and all others have admitted
// recently, as sums that decay over Window. A request elsewhere counts with the slot
// time that one of the team takes here: a team may use other services more than this one.
func (t *Table) SetElsewhere(name string, here, elsewhere float64, now time.Time) {
	m := t.teams[name]
	if m == nil {
		return
	}
	seconds := (m.here.Value(now, Window) + priorRequests*t.averageRun()) / (here + priorRequests)
	m.elsewhere = Sum{value: elsewhere * seconds, at: now}
	t.update(m, now)
}

// update computes a team's use and the total after a change.
func (t *Table) update(m *team, now time.Time) {
	before, use := m.use.Value(now, Window), m.here.Value(now, Window)+m.elsewhere.Value(now, Window)
	m.use = Sum{value: use, at: now}
	t.total.Add(use-before, now, Window)
}

func (t *Table) averageRun() float64 {
	if t.run == 0 {
		return defaultRun
	}
	return t.run
}

// Rank returns the rank of a team: 0 up to its fair share, which is an equal share of what
// all teams use, and one more for each doubling above it. Differences below the fair share
// don't count, since they are mostly random where each entry sees a few requests a second.
func (t *Table) Rank(name string, now time.Time) int {
	t.expire(now)
	if t.active < 2 {
		return 0
	}
	m := t.teams[name]
	if m == nil {
		return 0
	}
	fair := t.total.Value(now, Window) / float64(t.active)
	limit := shareTolerance*fair + shareDeviations*math.Sqrt(fair*t.averageRun())
	rank := 0
	for use := m.use.Value(now, Window); use > limit && rank < maxRank; use /= 2 {
		rank++
	}
	return rank
}

// OthersPerSecond returns the rate of the on-time requests of all other teams.
func (t *Table) OthersPerSecond(name string, now time.Time) float64 {
	others := t.onTime.Value(now, rateDecay)
	if m := t.teams[name]; m != nil {
		others -= m.onTime.Value(now, rateDecay)
	}
	return max(others, 0) / rateDecay.Seconds()
}

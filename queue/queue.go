package queue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Share is whose work a job is, and how much of the fleet that may have beside others.
type Share struct {
	Team   string
	Caller string
	// TeamWeight and Weight are the shares of the team and of the caller within it; 0 counts as 1.
	TeamWeight float64
	Weight     float64
}

// Job is one job that has items to start.
type Job struct {
	ID string
	Share
	Due time.Time
	// Cost is what one item is expected to take, in tokens.
	Cost float64
}

// Queue holds the jobs that have items to start.
//
// Load pattern: month-end, when one caller hands in 200,000 items due in the
// morning while others hand in small jobs, some due sooner, some much later.
// Strictly by due time the caller that names the earliest time takes the whole
// fleet until it is done, and a caller that always names "now" starves the
// rest for good. Strictly by fair shares a job that is due in an hour gets no
// more than one that is due next week. So turns alternate: one goes to the
// earliest due time of all, the next to the team, and in it the caller, that
// had the least for its weight. That leaves a job with the earliest due time at
// least half of what there is, and each of n teams at least 1/2n, whatever due
// times others name. Half is the one share at which neither side can be pushed
// below the other.
//
// A team or caller that comes back gets no credit for the time when it had no
// work, or it would take all turns until it has caught up.
type Queue struct {
	teams map[string]*team
	jobs  map[string]*Job
	turns int
	floor float64
}

// account is what a team or caller had so far, in tokens over weight.
type account struct {
	name   string
	served float64
	// jobs counts those that have items to start.
	jobs int
}

type team struct {
	account
	callers map[string]*caller
	floor   float64
}

type caller struct {
	account
	queue []*Job
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{teams: map[string]*team{}, jobs: map[string]*Job{}}
}

// Put adds a job, or does nothing if it is there.
func (q *Queue) Put(j *Job) {
	if q.jobs[j.ID] != nil {
		return
	}
	q.jobs[j.ID] = j
	t := q.teams[j.Team]
	if t == nil {
		t = &team{account: account{name: j.Team}, callers: map[string]*caller{}}
		q.teams[j.Team] = t
	}
	c := t.callers[j.Caller]
	if c == nil {
		c = &caller{account: account{name: j.Caller}}
		t.callers[j.Caller] = c
	}
	t.add(q.floor)
	c.add(t.floor)
	at, _ := slices.BinarySearchFunc(c.queue, j, earlier)
	c.queue = slices.Insert(c.queue, at, j)
}

func (a *account) add(floor float64) {
	if a.jobs == 0 {
		a.served = max(a.served, floor)
	}
	a.jobs++
}

// Remove takes a job out.
func (q *Queue) Remove(id string) {
	j := q.jobs[id]
	if j == nil {
		return
	}
	delete(q.jobs, id)
	t := q.teams[j.Team]
	c := t.callers[j.Caller]
	c.queue = slices.DeleteFunc(c.queue, func(x *Job) bool { return x.ID == id })
	c.jobs--
	t.jobs--
	// Who is ahead of the others is remembered, or going and coming back would pay.
	if c.jobs == 0 && c.served <= t.floor {
		delete(t.callers, c.name)
	}
	if t.jobs == 0 && t.served <= q.floor {
		delete(q.teams, t.name)
	}
}

// Len returns how many jobs have items to start.
func (q *Queue) Len() int { return len(q.jobs) }

// Next returns the job whose item starts next and charges its caller and team, or nil.
func (q *Queue) Next() *Job {
	if len(q.jobs) == 0 {
		return nil
	}
	t := poorest(q.teams)
	c := poorest(t.callers)
	q.floor, t.floor = max(q.floor, t.served), max(t.floor, c.served)
	q.turns++
	if q.turns%2 == 0 {
		t, c = q.urgent()
	}
	j := c.queue[0]
	cost := max(j.Cost, 1)
	t.served += cost / weight(j.TeamWeight)
	c.served += cost / weight(j.Weight)
	return j
}

// urgent returns who has the job with the earliest due time.
func (q *Queue) urgent() (*team, *caller) {
	var first *Job
	for _, t := range q.teams {
		for _, c := range t.callers {
			if c.jobs > 0 && (first == nil || earlier(c.queue[0], first) < 0) {
				first = c.queue[0]
			}
		}
	}
	t := q.teams[first.Team]
	return t, t.callers[first.Caller]
}

type holder interface{ holds() *account }

func (a *account) holds() *account { return a }

// poorest returns who had the least among those that have jobs.
func poorest[T holder](all map[string]T) T {
	var best T
	found := false
	for _, x := range all {
		if x.holds().jobs == 0 {
			continue
		}
		if !found || poorer(x.holds(), best.holds()) < 0 {
			best, found = x, true
		}
	}
	return best
}

func weight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

func earlier(a, b *Job) int {
	return cmp.Or(a.Due.Compare(b.Due), strings.Compare(a.ID, b.ID))
}

func poorer(a, b *account) int {
	return cmp.Or(cmp.Compare(a.served, b.served), strings.Compare(a.name, b.name))
}

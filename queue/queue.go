package queue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Share names the team and caller that own a job, with their weights.
type Share struct {
	Team   string
	Caller string
	// TeamWeight and Weight are the weights of the team and of the caller within it; 0 counts as 1.
	TeamWeight float64
	Weight     float64
}

// Job is a job that has items to start.
type Job struct {
	ID string
	Share
	Due time.Time
	// Cost is the expected cost of one item, in tokens; values below 1 count as 1.
	Cost float64
}

// Queue holds the jobs that have items to start. It alternates between earliest
// due time first and weighted fair sharing.
//
// Load pattern: at month-end one caller submits 200,000 items due in the morning
// while others submit small jobs, some due sooner and some much later. With
// earliest due time first alone, the caller with the earliest due time takes the
// whole fleet until its job is done, and a caller that always sets the due time
// to now starves all others. With fair shares alone, a job due in an hour gets
// no more than one due next week. Therefore one turn goes to the job with the
// earliest due time, and the next to the team, and within it the caller, that
// was served least for its weight. The job with the earliest due time gets at
// least half of the turns and each of n teams at least 1/2n, whatever due times
// others set. With halves neither rule gets less than the other.
//
// A team or caller without work collects no credit; it would otherwise take all
// turns afterwards until it had caught up.
type Queue struct {
	teams       map[string]*team
	jobs        map[string]*Job
	turns       int
	virtualTime float64
}

// account counts the service that a team or caller got.
type account struct {
	name string
	// served is in tokens divided by the weight.
	served float64
	// jobs is the number of jobs that have items to start.
	jobs int
}

type team struct {
	account
	callers     map[string]*caller
	virtualTime float64
}

type caller struct {
	account
	queue []*Job
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{teams: map[string]*team{}, jobs: map[string]*Job{}}
}

// Put adds a job unless it is in the queue already.
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
	t.addJob(q.virtualTime)
	c.addJob(t.virtualTime)
	at, _ := slices.BinarySearchFunc(c.queue, j, compareDue)
	c.queue = slices.Insert(c.queue, at, j)
}

func (a *account) addJob(virtualTime float64) {
	if a.jobs == 0 {
		a.served = max(a.served, virtualTime)
	}
	a.jobs++
}

// Remove takes a job out; an unknown id does nothing.
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
	// A caller or team that was served beyond the virtual time is kept, since leaving
	// and coming back would otherwise reset its account.
	if c.jobs == 0 && c.served <= t.virtualTime {
		delete(t.callers, c.name)
	}
	if t.jobs == 0 && t.served <= q.virtualTime {
		delete(q.teams, t.name)
	}
}

// Len returns the number of jobs that have items to start.
func (q *Queue) Len() int { return len(q.jobs) }

// Next returns the job whose item starts next and charges its caller and team;
// it returns nil if the queue is empty.
func (q *Queue) Next() *Job {
	if len(q.jobs) == 0 {
		return nil
	}
	t := leastServed(q.teams)
	c := leastServed(t.callers)
	q.virtualTime, t.virtualTime = max(q.virtualTime, t.served), max(t.virtualTime, c.served)
	q.turns++
	if q.turns%2 == 0 {
		t, c = q.earliestDue()
	}
	j := c.queue[0]
	cost := max(j.Cost, 1)
	t.served += cost / weight(j.TeamWeight)
	c.served += cost / weight(j.Weight)
	return j
}

// earliestDue returns the team and caller of the job with the earliest due time.
func (q *Queue) earliestDue() (*team, *caller) {
	var first *Job
	for _, t := range q.teams {
		for _, c := range t.callers {
			if c.jobs > 0 && (first == nil || compareDue(c.queue[0], first) < 0) {
				first = c.queue[0]
			}
		}
	}
	t := q.teams[first.Team]
	return t, t.callers[first.Caller]
}

type accountHolder interface{ asAccount() *account }

func (a *account) asAccount() *account { return a }

// leastServed returns the team or caller that was served least among those with jobs.
func leastServed[T accountHolder](all map[string]T) T {
	var best T
	found := false
	for _, x := range all {
		if x.asAccount().jobs == 0 {
			continue
		}
		if !found || compareServed(x.asAccount(), best.asAccount()) < 0 {
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

func compareDue(a, b *Job) int {
	return cmp.Or(a.Due.Compare(b.Due), strings.Compare(a.ID, b.ID))
}

func compareServed(a, b *account) int {
	return cmp.Or(cmp.Compare(a.served, b.served), strings.Compare(a.name, b.name))
}

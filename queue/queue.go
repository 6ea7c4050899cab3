package queue

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Job is one job that has items to start.
type Job struct {
	ID     string
	Caller string
	// Weight is the caller's share beside the others'; 0 counts as 1.
	Weight float64
	Due    time.Time
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
// earliest due time of all, the next to the caller that had the least for its
// weight. That leaves a job with the earliest due time at least half of what
// there is, and each of n callers at least 1/2n, whatever due times others name.
// Half is the one share at which neither side can be pushed below the other.
//
// A caller that comes back gets no credit for the time when it had no work,
// or it would take all turns until it has caught up.
type Queue struct {
	callers map[string]*caller
	jobs    map[string]*Job
	turns   int
	floor   float64
}

type caller struct {
	name   string
	served float64
	jobs   []*Job
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{callers: map[string]*caller{}, jobs: map[string]*Job{}}
}

// Put adds a job, or does nothing if it is there.
func (q *Queue) Put(j *Job) {
	if q.jobs[j.ID] != nil {
		return
	}
	q.jobs[j.ID] = j
	c := q.callers[j.Caller]
	if c == nil {
		c = &caller{name: j.Caller}
		q.callers[j.Caller] = c
	}
	if len(c.jobs) == 0 {
		c.served = max(c.served, q.floor)
	}
	at, _ := slices.BinarySearchFunc(c.jobs, j, earlier)
	c.jobs = slices.Insert(c.jobs, at, j)
}

// Remove takes a job out.
func (q *Queue) Remove(id string) {
	j := q.jobs[id]
	if j == nil {
		return
	}
	delete(q.jobs, id)
	c := q.callers[j.Caller]
	c.jobs = slices.DeleteFunc(c.jobs, func(x *Job) bool { return x.ID == id })
	if len(c.jobs) == 0 && c.served <= q.floor {
		delete(q.callers, j.Caller)
	}
}

// Len returns how many jobs have items to start.
func (q *Queue) Len() int { return len(q.jobs) }

// Next returns the job whose item starts next and charges its caller, or nil.
func (q *Queue) Next() *Job {
	var urgent, poorest *caller
	for _, c := range q.callers {
		if len(c.jobs) == 0 {
			continue
		}
		if urgent == nil || earlier(c.jobs[0], urgent.jobs[0]) < 0 {
			urgent = c
		}
		if poorest == nil || poorer(c, poorest) < 0 {
			poorest = c
		}
	}
	if urgent == nil {
		return nil
	}
	q.floor = max(q.floor, poorest.served)
	q.turns++
	pick := poorest
	if q.turns%2 == 0 {
		pick = urgent
	}
	j := pick.jobs[0]
	pick.served += max(j.Cost, 1) / weight(j)
	return j
}

func weight(j *Job) float64 {
	if j.Weight <= 0 {
		return 1
	}
	return j.Weight
}

func earlier(a, b *Job) int {
	return cmp.Or(a.Due.Compare(b.Due), strings.Compare(a.ID, b.ID))
}

func poorer(a, b *caller) int {
	return cmp.Or(cmp.Compare(a.served, b.served), strings.Compare(a.name, b.name))
}

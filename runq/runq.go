package runq

import (
	"sync"

	"github.com/sardinerock/sardinerock/queue"
)

// costSmoothing is the weight of the last item in the expected cost of the next.
const costSmoothing = 0.1

// Queue is a queue of jobs with a value of type V for each; it is safe for concurrent use.
type Queue[V comparable] struct {
	mu     sync.Mutex
	queue  *queue.Queue
	values map[string]V
}

// New returns an empty queue.
func New[V comparable]() *Queue[V] {
	return &Queue[V]{queue: queue.New(), values: map[string]V{}}
}

// Put adds the job with its value, or resumes it after Pause.
func (q *Queue[V]) Put(j *queue.Job, v V) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.values[j.ID] = v
	q.queue.Put(j)
}

// Pause takes the job out until the next Put and keeps its value.
func (q *Queue[V]) Pause(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Remove(id)
}

// Drop takes the job out and deletes its value if that is still v.
func (q *Queue[V]) Drop(id string, v V) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Remove(id)
	if q.values[id] == v {
		delete(q.values, id)
	}
}

// Next returns the value of the job whose turn it is, or false if there is none.
func (q *Queue[V]) Next() (V, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j := q.queue.Next()
	if j == nil {
		var none V
		return none, false
	}
	v, ok := q.values[j.ID]
	return v, ok
}

// UpdateCost updates the expected cost of the job's items with the tokens of the
// last one, as an exponential moving average.
func (q *Queue[V]) UpdateCost(j *queue.Job, tokens float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	j.Cost += costSmoothing * (tokens - j.Cost)
}

// Len returns the number of jobs in the queue, without paused ones.
func (q *Queue[V]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Len()
}

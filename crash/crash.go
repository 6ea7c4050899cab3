package crash

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// limit is how many backend servers may fail during one request before all entries reject it.
	limit = 3
	// ownRequests and peerRequests are the numbers of requests for which failures seen here and
	// reported by others are kept. A request that crashes backend servers is resent within seconds.
	ownRequests  = 256
	peerRequests = 4096
	// reportTime is how long a single failure is reported to the other entries. They remember it, so
	// that it has to last only until each of them has received a message.
	reportTime = 10 * time.Second
)

// Counter counts failures at this entry and at others. Requests are identified by a hash of their
// content. Its methods are safe for concurrent use.
type Counter struct {
	mu    sync.Mutex
	own   *lru.Cache[uint64, failures]
	peers *lru.Cache[uint64, map[source]reported]
}

// failures counts the failures of backend servers during a request. latest is the time of the last.
type failures struct {
	count  int
	latest time.Time
}

// source is a process of another entry. Its failures still count once it is lost.
type source struct {
	name  string
	start int64
}

// reported is the number of failures that a source has reported, and how many of them no longer count
// since the request got a response here later.
type reported struct{ count, cleared int }

// Prepare initializes the counter. It must be called once before any other method.
func (c *Counter) Prepare() {
	// The only possible error is a size that isn't positive.
	c.own, _ = lru.New[uint64, failures](ownRequests)
	c.peers, _ = lru.New[uint64, map[source]reported](peerRequests)
}

// RecordFailure records that a backend server failed during a request at this entry.
func (c *Counter) RecordFailure(request uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, _ := c.own.Get(request)
	c.own.Add(request, failures{count: f.count + 1, latest: now})
}

// RecordResponse records that a backend server gave a complete response to a request, which
// therefore isn't one that crashes all of them.
func (c *Counter) RecordResponse(request uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.Remove(request)
	sources, _ := c.peers.Peek(request)
	for s, r := range sources {
		sources[s] = reported{count: r.count, cleared: r.count}
	}
}

// Reports returns the failures to report to the other entries, by request: recent ones, and those of
// requests during which several backend servers failed.
func (c *Counter) Reports(now time.Time) map[uint64]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports map[uint64]int
	for _, request := range c.own.Keys() {
		f, _ := c.own.Peek(request)
		if f.count == 1 && now.Sub(f.latest) > reportTime {
			continue
		}
		if reports == nil {
			reports = map[uint64]int{}
		}
		reports[request] = f.count
	}
	return reports
}

// Receive records what a process of another entry has reported. start identifies the process.
func (c *Counter) Receive(name string, start int64, reports map[uint64]int) {
	if len(reports) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, count := range reports {
		sources, ok := c.peers.Get(request)
		if !ok {
			sources = map[source]reported{}
			c.peers.Add(request, sources)
		}
		r := sources[source{name, start}]
		if count < r.count {
			// The count started again, after a response there.
			r.cleared = 0
		}
		sources[source{name, start}] = reported{count: count, cleared: r.cleared}
	}
}

// Blocked reports whether so many backend servers failed during a request that it must not be sent
// again. This entry then reports that itself, to those that start later too.
func (c *Counter) Blocked(request uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, _ := c.own.Peek(request)
	count := f.count
	sources, _ := c.peers.Peek(request)
	for _, r := range sources {
		count += r.count - r.cleared
	}
	if count < limit {
		return false
	}
	c.own.Add(request, failures{count: max(f.count, limit), latest: now})
	return true
}

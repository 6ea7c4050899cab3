package crash

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sardinerock/sardinerock"
)

const (
	// limit is how many backend servers may fail one after the other during one request before all entries
	// reject it.
	limit = 3
	// concurrentLimit is the same for all failures that are older than confirmTime. Many backend servers may
	// be lost at the same moment, so that failures of runs that were in progress at the same time are
	// weaker evidence. Until confirmTime another entry may report a response.
	concurrentLimit = 5
	confirmTime     = 2 * time.Second
	// firstBlockTime is how long a request is rejected after limit failures. Then one entry sends it as a
	// trial. A request that works gets a response now that those which ended the backend servers are
	// rejected, too. If the trial fails as well, the request is rejected for blockTime, and twice as long
	// after each further one; after maxTrials for retention.
	firstBlockTime = 5 * time.Second
	blockTime      = time.Minute
	maxTrials      = 3
	// anyTrialTime is the time after the latest failure from which any entry may send a trial: a request
	// that comes so rarely that it hasn't reached the one entry by then doesn't come to two others at the
	// same time.
	anyTrialTime = 2 * time.Minute
	// concurrentBlockTime is how long a request is rejected only because of failures at the same time.
	concurrentBlockTime = 5 * time.Second
	// retention is how long failures count: longer than the first rejections, and short enough that
	// unrelated failures don't add up.
	retention = 30 * time.Minute
	// trialTime is how long no second trial is sent, and retryAfter how long callers are to wait for one.
	trialTime  = 10 * time.Second
	retryAfter = 5 * time.Second
	// chargeRetryTime is the time until the next try to have a trial on record.
	chargeRetryTime = time.Second
	// graceTime is the time after a response in which failures don't count. If many backend servers are
	// lost at once, or one after the other, requests that many callers send fail at several of them, but got
	// a response shortly before. A request that ends all backend servers never gets one.
	graceTime = 20 * time.Second
	// ageError is the greatest error of reported ages, by the time that a message takes.
	ageError = 2 * time.Second
	// maxRequests, maxServed and maxReported are the numbers of requests for which failures are kept,
	// for which the time of the latest response here is kept, and that are reported at a time.
	maxRequests = 4096
	maxServed   = 1024
	maxReported = 256
	// reportTime is how long a single failure is reported to the other entries. They remember it, so
	// that it has to last only until each of them has received a message.
	reportTime = 10 * time.Second
	// servedReportTime is the same for a response.
	servedReportTime = 3 * time.Second
	// exactAgeLimit is the age up to which the age of a failure is reported exactly, so that failures and
	// responses can be compared. Later it is rounded up to a multiple of ageStep, since each change
	// of a message is sent to all entries.
	exactAgeLimit = 5 * time.Second
	ageStep       = 10 * time.Second
)

// Counter counts failures at this entry and at others. Requests are identified by a hash of their
// content. Its methods are safe for concurrent use.
type Counter struct {
	// MaySendTrial reports whether this entry is the one that sends a request again once it is no
	// longer rejected; nil if there is one entry only.
	MaySendTrial func(request uint64) bool
	// Verdicts, if set, keeps the failures one after the other of requests that are rejected.
	Verdicts sardinerock.VerdictStore

	mu       sync.Mutex
	requests *lru.Cache[uint64, *record]
	// served holds the times of the latest responses here.
	served *lru.Cache[uint64, time.Time]
	// reported holds the requests of which this entry may have something to report.
	reported *lru.Cache[uint64, struct{}]
}

// Report is what an entry reports about a request.
type Report struct {
	// Failures is the number of failures at the entry.
	Failures int
	// Sequence is the number of failures one after the other, at any entries, that the entry knows of.
	// If it is 0, a backend server gave a complete response.
	Sequence int
	// Age is the time since the latest failure, or since the response.
	Age time.Duration
}

// Prepare initializes the counter. It must be called once before any other method.
func (c *Counter) Prepare() {
	// The only possible error is a size that isn't positive.
	c.requests, _ = lru.New[uint64, *record](maxRequests)
	c.served, _ = lru.New[uint64, time.Time](maxServed)
	c.reported, _ = lru.New[uint64, struct{}](maxReported)
}

// RecordFailure records that a backend server failed during a request at this entry. known is what Send
// returned before.
func (c *Counter) RecordFailure(request uint64, known int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.record(request)
	if now.Sub(r.served) <= graceTime {
		return
	}
	r.own = failures{count: r.counted(r.own, now) + 1, latest: now}
	r.sequence = failures{count: max(known+1, r.counted(r.sequence, now)), latest: now}
	c.reported.Add(request, struct{}{})
	c.save(request, r, now)
}

// RecordResponse records that a backend server gave a complete response to a request, which
// therefore isn't one that ends all of them.
func (c *Counter) RecordResponse(request uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served.Add(request, now)
	if r, ok := c.requests.Peek(request); ok {
		if known, _ := r.count(now); known >= limit || r.saved > 0 {
			c.discard(request, r)
		}
		r.clear(now)
		r.servedReportUntil = now.Add(servedReportTime)
		c.reported.Add(request, struct{}{})
	}
}

// Reports returns what is to be reported to the other entries, by request.
func (c *Counter) Reports(now time.Time) map[uint64]Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reported.Len() == 0 {
		return nil
	}
	var reports map[uint64]Report
	for _, request := range c.reported.Keys() {
		var report Report
		r, ok := c.requests.Peek(request)
		if ok {
			report, ok = r.report(now)
		}
		if !ok {
			c.reported.Remove(request)
			continue
		}
		if reports == nil {
			reports = map[uint64]Report{}
		}
		reports[request] = report
	}
	return reports
}

// Receive records what a process of another entry has reported. start identifies the process.
func (c *Counter) Receive(name string, start int64, reports map[uint64]Report, now time.Time) {
	if len(reports) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, report := range reports {
		if report.Sequence > 0 {
			c.receiveFailures(request, source{name, start}, report, now)
		} else if r, ok := c.requests.Peek(request); ok {
			r.clear(now.Add(-report.Age))
			if r.savedHere && r.counted(r.sequence, now) == 0 {
				c.discard(request, r)
			}
		}
	}
}

func (c *Counter) receiveFailures(request uint64, from source, report Report, now time.Time) {
	r, latest := c.record(request), now.Add(-report.Age)
	if report.Failures > 0 {
		c.receiveOwn(request, r, from, report.Failures, latest, now)
	}
	if n := r.counted(r.sequence, now); report.Sequence > n || report.Sequence == n && latest.Sub(r.sequence.latest) > ageError {
		r.sequence = failures{count: report.Sequence, latest: latest}
	}
}

// receiveOwn records the number of failures at another entry.
func (c *Counter) receiveOwn(request uint64, r *record, from source, count int, latest, now time.Time) {
	known, ok := r.peers[from]
	f := failures{count: count, cleared: known.cleared, latest: known.latest}
	if !ok || count > known.count || latest.Sub(known.latest) > ageError {
		f.latest = latest
		if c.servedHere(request, latest) {
			r.servedReportUntil = now.Add(servedReportTime)
			c.reported.Add(request, struct{}{})
		} else if count, _ := r.count(now); count >= limit {
			// The entry may have started after the others learned of the request.
			r.reportUntil = now.Add(reportTime)
			c.reported.Add(request, struct{}{})
		}
	}
	if count < known.count {
		// The count started again, after a response there.
		f.cleared = 0
	}
	if r.peers == nil {
		r.peers = map[source]failures{}
	}
	r.peers[from] = f
}

// servedHere reports whether a response here shows that a failure doesn't count.
func (c *Counter) servedHere(request uint64, failed time.Time) bool {
	served, ok := c.served.Peek(request)
	return ok && failed.Sub(served) <= graceTime
}

// Blocked returns how long a request must not be sent because of its failures; 0 if it may be sent. If it
// must not, this entry reports that to the others, also to those that start later.
func (c *Counter) Blocked(request uint64, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, blocked := c.check(request, now)
	return blocked
}

// Send is called right before a request is sent. It returns how many failures one after the other are known,
// and what Blocked returns. If the request is sent as a trial, no other one is for trialTime.
func (c *Counter) Send(request uint64, now time.Time) (known int, blocked time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, blocked := c.check(request, now)
	if r == nil {
		return 0, 0
	}
	known, _ = r.count(now)
	if blocked == 0 && r.counted(r.sequence, now) >= limit {
		r.trialUntil = now.Add(trialTime)
	}
	return known, blocked
}

// check returns the record of a request, or nil, and how long the request is blocked.
func (c *Counter) check(request uint64, now time.Time) (*record, time.Duration) {
	r, ok := c.requests.Get(request)
	if !ok {
		return nil, 0
	}
	blocked := c.blockedFor(request, r, now)
	if blocked <= 0 {
		return r, 0
	}
	r.rejected = true
	c.reported.Add(request, struct{}{})
	return r, blocked
}

func (c *Counter) blockedFor(request uint64, r *record, now time.Time) time.Duration {
	known, latest := r.count(now)
	if known < limit {
		return 0
	}
	age, sequence := now.Sub(latest), r.counted(r.sequence, now)
	if sequence < limit {
		return concurrentBlockTime - age
	}
	block := blockFor(sequence)
	if age < block {
		return block - age
	}
	elsewhere := age < anyTrialTime && c.MaySendTrial != nil && !c.MaySendTrial(request)
	if elsewhere || now.Before(r.trialUntil) {
		return retryAfter
	}
	return 0
}

// blockFor returns how long a request is rejected after the latest of failures one after the other.
func blockFor(sequence int) time.Duration {
	switch {
	case sequence == limit:
		return firstBlockTime
	case sequence < limit+maxTrials:
		return blockTime << (sequence - limit - 1)
	}
	return retention
}

// record returns the record of a request, which it creates if there is none.
func (c *Counter) record(request uint64) *record {
	if r, ok := c.requests.Get(request); ok {
		return r
	}
	r := &record{}
	r.served, _ = c.served.Peek(request)
	c.requests.Add(request, r)
	return r
}

package admit

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/sardinerock/sardinerock/usage"
)

// Waiter is a request that waits at this entry for a slot.
type Waiter struct {
	// LatestStart is when the request has to start for its response to start on time.
	LatestStart time.Time
	// Team is the name of the caller's team, Priority that of the request; 0 is the most
	// urgent. Neither may change while the request is queued.
	Team     string
	Priority int
	// Offer receives the id of a backend server that has a free slot. It holds one offer.
	Offer chan string

	// band is the list that holds the request, or nil.
	band *band
	// expected is the slot time that the run in progress was charged with.
	expected time.Duration
}

// NewWaiter returns a request for Queue.Add. Its caller has waited since the given
// time, over all its attempts. Its response has to start within target and takes
// firstByte to start in a free slot.
func NewWaiter(since time.Time, target, firstByte time.Duration) *Waiter {
	return &Waiter{LatestStart: since.Add(target - firstByte), Offer: make(chan string, 1)}
}

// late reports whether the response can no longer start on time.
func (w *Waiter) late(now time.Time) bool { return now.After(w.LatestStart) }

// Queue holds the requests that wait at this entry, by service; its zero value is ready.
//
// It is designed for bursts of two seconds with more requests than all slots can
// take. The entry whose response ends is the first to know that a slot is free,
// 100 ms before the other entries receive the update. It gives the slot to one of
// its own requests: the first in the order below among those that can still start on
// time. Requests that can't are late in any case; they poll for slots that are left. If
// requests were queued at backend servers instead, each entry would assume that the
// others have none queued there, and requests that can still start on time would wait
// behind late ones.
//
// The order is: requests on time before late ones, then by priority, then by what the
// team has used above its fair share, then by latest start. It is designed for bursts in
// which one team of 2,000 sends half of all requests, with 10,000 waiting at one entry: in
// order of latest start alone, that team would get half of the slots, and the others would be
// late. With one team and one priority the order is by latest start. The size of a request
// has no influence on its place.
type Queue struct {
	mu    sync.Mutex
	lines map[string]*line
}

// line holds the requests and the use of one service.
type line struct {
	// bands are ordered; all requests of one come before those of the next.
	bands []*band
	use   usage.Table
	// arrivals are the rates of on-time requests by priority.
	arrivals []*arrivals
	// now is the latest time that the line was updated to.
	now time.Time
}

// arrivals are the on-time requests of one priority by team.
type arrivals struct {
	priority int
	teams    usage.Table
}

// minOthers is the rate of other teams' on-time requests from which a team leaves headroom. Their
// last request has decayed to less after the time in which their team counts for the fair share.
const minOthers = 0.1

// bandKey says which requests are in a band.
type bandKey struct {
	late     bool
	priority int
	// rank is that of the team when the request was added. A request that waits is added
	// again after each poll.
	rank int
}

// before reports whether the requests of a band come before those of another.
func (k bandKey) before(other bandKey) bool {
	switch {
	case k.late != other.late:
		return other.late
	case k.priority != other.priority:
		return k.priority < other.priority
	}
	return k.rank < other.rank
}

// band holds the requests of a service with the same key, ordered by latest start.
type band struct {
	bandKey
	queued []*Waiter
}

// place returns how many requests of a band start no later than w.
func (b *band) place(w *Waiter) int {
	return sort.Search(len(b.queued), func(n int) bool { return b.queued[n].LatestStart.After(w.LatestStart) })
}

func (b *band) add(w *Waiter) {
	w.band = b
	b.queued = slices.Insert(b.queued, b.place(w), w)
}

func (b *band) remove(w *Waiter) {
	w.band = nil
	i := sort.Search(len(b.queued), func(n int) bool { return !b.queued[n].LatestStart.Before(w.LatestStart) })
	for b.queued[i] != w {
		i++
	}
	if i == 0 {
		b.removeFirst(1)
		return
	}
	b.queued = slices.Delete(b.queued, i, i+1)
}

// minAdvance is the number of requests from which the first ones are removed without moving
// the others. In shorter lists moving them is cheap, and the space is reused.
const minAdvance = 64

// removeFirst removes the first n requests.
func (b *band) removeFirst(n int) {
	if len(b.queued)-n < minAdvance {
		b.queued = slices.Delete(b.queued, 0, n)
		return
	}
	clear(b.queued[:n])
	b.queued = b.queued[n:]
}

// others returns how many requests of a band are others than w.
func (b *band) others(w *Waiter) int {
	if w.band == b {
		return len(b.queued) - 1
	}
	return len(b.queued)
}

// firstOnTime returns the index of the first request that is not late.
func (b *band) firstOnTime(now time.Time) int {
	return sort.Search(len(b.queued), func(n int) bool { return !b.queued[n].late(now) })
}

// line returns the line of a service, updated to the given time.
func (q *Queue) line(service string, now time.Time) *line {
	l := q.lines[service]
	if l == nil {
		if q.lines == nil {
			q.lines = map[string]*line{}
		}
		l = &line{}
		q.lines[service] = l
	}
	if now.After(l.now) {
		l.now = now
		l.moveLate()
	}
	return l
}

// moveLate moves the requests that have become late to the bands of late ones.
func (l *line) moveLate() {
	// Bands of late requests may be added behind those that are on time.
	for i := 0; i < len(l.bands) && !l.bands[i].late; i++ {
		b := l.bands[i]
		n := b.firstOnTime(l.now)
		if n == 0 {
			continue
		}
		to := l.band(bandKey{true, b.priority, b.rank})
		for _, w := range b.queued[:n] {
			to.add(w)
		}
		b.removeFirst(n)
	}
}

// key returns the key of the band for a request.
func (l *line) key(w *Waiter, now time.Time) bandKey {
	return bandKey{w.late(now), w.Priority, l.use.Rank(w.Team, now)}
}

// band returns the band with a key, which is created if needed.
func (l *line) band(k bandKey) *band {
	i := 0
	for i < len(l.bands) && l.bands[i].before(k) {
		i++
	}
	if i == len(l.bands) || l.bands[i].bandKey != k {
		l.bands = slices.Insert(l.bands, i, &band{bandKey: k})
	}
	return l.bands[i]
}

// first returns the first band with requests, or nil if all are empty.
func (l *line) first() *band {
	for _, b := range l.bands {
		if len(b.queued) > 0 {
			return b
		}
	}
	return nil
}

// Add queues a request, or gives a queued one the place that it has now. It stays queued while its caller checks whether it
// can be sent, since otherwise a slot that comes free meanwhile would be offered to a later one.
func (q *Queue) Add(service string, w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.line(service, time.Time{})
	if w.band != nil {
		w.band.remove(w)
	}
	l.band(l.key(w, l.now)).add(w)
}

// Waits reports whether requests for a service are queued.
func (q *Queue) Waits(service string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[service]
	return l != nil && l.first() != nil
}

// Remove removes a request if it is still queued.
func (q *Queue) Remove(_ string, w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.band != nil {
		w.band.remove(w)
	}
}

// OfferSlot offers a free slot of a backend server to the first request that is
// not late, and removes that request from the queue. It returns false if there is
// none, if it has to leave the headroom free, or if it has not yet read its previous offer.
func (q *Queue) OfferSlot(service, server string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.line(service, now)
	b := l.first()
	return b != nil && !b.late && l.offer(b, server)
}

// HandOver offers the slot that a request leaves to those before it to the first of
// these, late or not. Without it the slot would be idle until that request polls. It
// returns false as OfferSlot does.
func (q *Queue) HandOver(service, server string, w *Waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.line(service, now)
	if w.band != nil && w.band.bandKey != l.key(w, now) {
		// Its former place may be before those to whom it yields.
		w.band.remove(w)
	}
	return l.preceded(w, now) && l.offer(l.first(), server)
}

// offer offers a slot to the first request of a band and removes that request. Requests
// of a team above its share poll for slots beyond the headroom instead.
func (l *line) offer(b *band, server string) bool {
	w := b.queued[0]
	if b.rank > 0 && l.othersOf(w) > 0 {
		return false
	}
	b.remove(w)
	select {
	case w.Offer <- server:
		return true
	default:
		// The request has not yet read its previous offer.
		return false
	}
}

// Ahead returns how many other queued requests get a slot before a request.
func (q *Queue) Ahead(service string, w *Waiter, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.line(service, now)
	k, ahead := l.key(w, now), 0
	for _, b := range l.bands {
		switch {
		case b.before(k):
			ahead += b.others(w)
		case b.bandKey == k:
			if ahead += b.place(w); w.band == b {
				ahead--
			}
		}
	}
	return ahead
}

// CountOnTime returns how many queued requests can still start on time.
func (q *Queue) CountOnTime(service string, now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, b := range q.line(service, now).bands {
		if !b.late {
			n += len(b.queued)
		}
	}
	return n
}

// MustYield reports whether a request has to leave a free slot to others: one that comes
// before it by lateness, priority or use is queued. An earlier latest start alone is no
// reason, since each request would leave the slot to one that polls later.
func (q *Queue) MustYield(service string, w *Waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.line(service, now).preceded(w, now)
}

// preceded reports whether another queued request comes before a request.
func (l *line) preceded(w *Waiter, now time.Time) bool {
	k := l.key(w, now)
	for _, b := range l.bands {
		if !b.before(k) {
			return false
		}
		if b.others(w) > 0 {
			return true
		}
	}
	return false
}

// Arrive counts a request for the use of its team. Of what the team's requests have
// recently used, here and elsewhere are how many this entry and all others have admitted,
// as sums that decay over usage.Window; both are 0 if that is unknown.
func (q *Queue) Arrive(service string, w *Waiter, here, elsewhere float64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.line(service, now)
	use := &l.use
	use.Request(w.Team, !w.late(now), now)
	l.arrivalsOf(w.Priority).Request(w.Team, !w.late(now), now)
	use.SetElsewhere(w.Team, here, elsewhere, now)
}

// Start charges a request's team with the expected slot time when the request is sent.
func (q *Queue) Start(service string, w *Waiter, expected time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.expected = expected
	use := &q.line(service, now).use
	use.Start(w.Team, expected, now)
}

// End corrects the charge to the actual slot time when a run ends.
func (q *Queue) End(service string, w *Waiter, actual time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	use := &q.line(service, now).use
	use.End(w.Team, w.expected, actual, now)
}

// AboveShare reports whether the request's team uses more than its fair share while other
// teams have requests that are at least as urgent, and the rate of these that are on time. Such
// a request leaves Request.Headroom free. It returns false for a late request, which leaves the
// headroom for all requests on time.
func (q *Queue) AboveShare(service string, w *Waiter, now time.Time) (above bool, others float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.line(service, now)
	if w.late(now) {
		return false, 0
	}
	others = l.othersOf(w)
	return others > 0, others
}

// othersOf returns for how many on-time requests of other teams a second the request leaves
// headroom. Less urgent ones don't count: they leave free slots to this request, so that
// no request would use the headroom.
func (l *line) othersOf(w *Waiter) (perSecond float64) {
	if l.use.Rank(w.Team, l.now) == 0 {
		return 0
	}
	for _, a := range l.arrivals {
		if a.priority <= w.Priority {
			perSecond += a.teams.OthersPerSecond(w.Team, l.now)
		}
	}
	if perSecond < minOthers {
		return 0
	}
	return perSecond
}

// arrivalsOf returns the requests of a priority.
func (l *line) arrivalsOf(priority int) *usage.Table {
	for _, a := range l.arrivals {
		if a.priority == priority {
			return &a.teams
		}
	}
	a := &arrivals{priority: priority}
	l.arrivals = append(l.arrivals, a)
	return &a.teams
}

package member

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/looplab/fsm"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// Tracker is one process's view of the fleet. Its methods take the current time; only Run reads the clock.
type Tracker struct {
	// Self is the instance of this process.
	Self sardinerock.Instance
	// List is the platform's instance list. Run reads it.
	List   sardinerock.InstanceList
	Events *event.Logger
	// SuspectAfter is how long a watched instance may go without answering a heartbeat before it is suspected.
	SuspectAfter time.Duration
	// RestoreAfter is how long a suspected instance must answer before it is live again. Each further suspicion doubles it.
	RestoreAfter time.Duration
	// ListInterval is the shortest time between two readings of the list.
	ListInterval time.Duration
	// ListBytesPerSecond limits the traffic for reading the list: a longer list is read less often.
	ListBytesPerSecond int
	// TombstoneTTL is how long the tombstone of a departed instance is kept after the list no longer contains it.
	TombstoneTTL time.Duration

	mu     sync.Mutex
	listed map[string]sardinerock.Instance
	// shrunkSince is when the list shrank to less than half; zero if the last reading was plausible.
	shrunkSince time.Time
	peers       map[string]*peer
	// departed holds the tombstones: when each departed instance left.
	departed map[string]time.Time
	// evaluatedAt is when the watched instances were last evaluated.
	evaluatedAt time.Time
	changed     chan struct{}
	// subset caches the result of Subset for subsetSize until the view changes.
	subset           []sardinerock.Instance
	subsetSize       int
	subsetGeneration uint64
	// sorted caches the results of Instances until the view changes.
	sorted           map[sardinerock.Role][]sardinerock.Instance
	sortedGeneration uint64
	live             []string
	liveGeneration   uint64
	// generation counts the changes of the view.
	generation uint64
}

// Heartbeat interval and defaults for fields left zero. At one heartbeat every 400 ms, an
// instance is suspected after four missing answers. One lost packet costs a retransmission
// of about 200 ms and a garbage collection less, and a takeover must be complete within 3 s
// of the loss.
const (
	HeartbeatInterval         = 400 * time.Millisecond
	defaultSuspectAfter       = 1600 * time.Millisecond
	defaultRestoreAfter       = 2 * time.Second
	defaultListInterval       = 2 * time.Second
	defaultListBytesPerSecond = 1000
	defaultTombstoneTTL       = time.Hour
	maxRestoreAfter           = time.Minute
)

// States and events of a watched instance.
const (
	stateLive      = "live"
	stateSuspected = "suspected"
	eventSuspect   = "silence"
	eventRestore   = "return"
)

// peer is a watched instance: this process sends it heartbeats.
type peer struct {
	id         string
	role       sardinerock.Role
	state      *fsm.FSM
	lastAnswer time.Time
	// answeringSince is when the current run of answers without a gap began.
	answeringSince time.Time
	suspicions     int
	// failures counts broken connections and failed heartbeats since the last answer.
	failures int
	// suspectedAt is when the instance was last suspected.
	suspectedAt time.Time
}

func newPeer(id string, role sardinerock.Role, now time.Time) *peer {
	return &peer{
		id: id, role: role, lastAnswer: now, answeringSince: now,
		state: fsm.NewFSM(stateLive, fsm.Events{
			{Name: eventSuspect, Src: []string{stateLive}, Dst: stateSuspected},
			{Name: eventRestore, Src: []string{stateSuspected}, Dst: stateLive},
		}, nil),
	}
}

// transition applies an event that is valid in the current state.
func (p *peer) transition(name string) {
	if err := p.state.Event(context.Background(), name); err != nil {
		panic(err)
	}
}

func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

func (t *Tracker) init() {
	if t.peers == nil {
		t.peers = map[string]*peer{}
		t.departed = map[string]time.Time{}
		t.listed = map[string]sardinerock.Instance{}
	}
}

// SetList applies one reading of the platform's list.
//
// An instance that the list no longer contains has departed, even if it still answers:
// the earliest sign of departure decides. But a list that shrinks to less than half is
// more likely an error, such as an answer from a replica that has just started, and
// applying it would take the whole fleet out of service. While the list is that short, a
// missing instance that answers heartbeats is kept, and one that is not watched is kept
// for shrunkListGrace.
func (t *Tracker) SetList(now time.Time, list []sardinerock.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	implausible := len(list)*2 < len(t.listed)
	if !implausible {
		t.shrunkSince = time.Time{}
	} else if t.shrunkSince.IsZero() {
		t.shrunkSince = now
	}
	next := make(map[string]sardinerock.Instance, len(list))
	for _, x := range list {
		if x.Leaving {
			t.markLeavingLocked(now, x.ID, "list")
		}
		next[x.ID] = x
	}
	missing := 0
	for id, x := range t.listed {
		if _, ok := next[id]; ok {
			continue
		}
		missing++
		if implausible && t.keepDropped(now, id) {
			next[id] = x
			continue
		}
		t.markLeavingLocked(now, id, "dropped from the list")
	}
	changed := len(next) != len(t.listed) || missing > 0
	t.listed = next
	t.expireTombstones(now)
	if changed {
		t.Events.Info(event.ListChanged).Int("instances", len(next)).Int("dropped", missing).Bool("doubted", implausible).Msg("instance list changed")
		t.notify()
	}
}

// shrunkListGrace is longer than the platform needs to repair its list service or to remove that many instances.
const shrunkListGrace = 10 * time.Minute

func (t *Tracker) keepDropped(now time.Time, id string) bool {
	if id == t.Self.ID || t.answeredRecently(now, id) {
		return true
	}
	return t.peers[id] == nil && now.Sub(t.shrunkSince) < shrunkListGrace
}

func (t *Tracker) answeredRecently(now time.Time, id string) bool {
	p := t.peers[id]
	return p != nil && now.Sub(p.lastAnswer) <= t.suspectAfter()
}

func (t *Tracker) suspectAfter() time.Duration { return orDefault(t.SuspectAfter, defaultSuspectAfter) }

// expireTombstones drops the tombstones of instances that have been off the list for TombstoneTTL. Ids are never reused.
func (t *Tracker) expireTombstones(now time.Time) {
	for id, at := range t.departed {
		if _, ok := t.listed[id]; !ok && now.Sub(at) > orDefault(t.TombstoneTTL, defaultTombstoneTTL) {
			delete(t.departed, id)
			delete(t.peers, id)
		}
	}
}

// Watch starts watching an instance. The caller sends it heartbeats and reports the results by RecordAnswer and RecordFailure.
func (t *Tracker) Watch(now time.Time, id string, role sardinerock.Role) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if t.peers[id] == nil {
		t.peers[id] = newPeer(id, role, now)
	}
}

// Unwatch stops watching an instance. From then on only the list and its own announcement decide whether it is usable.
func (t *Tracker) Unwatch(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[id]; p != nil && p.state.Is(stateSuspected) {
		t.notify()
	}
	delete(t.peers, id)
}

// RecordAnswer records that an instance answered a heartbeat of this process.
//
// Only answers count, not heartbeats received from the instance. In a network partition
// that blocks one direction, an instance that still receives heartbeats but cannot send
// would otherwise take the connection for working.
func (t *Tracker) RecordAnswer(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	if p == nil {
		return
	}
	if now.Sub(p.lastAnswer) > t.suspectAfter() {
		p.answeringSince = now
	}
	p.lastAnswer = now
	p.failures = 0
}

// RecordFailure records that the connection to an instance broke or a heartbeat failed.
//
// Two failures in a row without an answer between them count as a timeout, so that a
// process that has exited, and whose address refuses connections, is detected within a
// second. A single failure does not count: after a pause of this process all heartbeats
// that were in flight fail, although the other instances are healthy.
func (t *Tracker) RecordFailure(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	if p == nil {
		return
	}
	if p.failures++; p.failures >= failuresToSuspect && now.Sub(p.lastAnswer) <= t.suspectAfter() {
		p.lastAnswer = now.Add(-t.suspectAfter() - 1)
	}
}

const failuresToSuspect = 2

// MarkLeaving records that an instance announced its own departure. A departed instance never returns.
func (t *Tracker) MarkLeaving(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.markLeavingLocked(now, id, "own announcement")
}

func (t *Tracker) markLeavingLocked(now time.Time, id, source string) {
	if _, ok := t.departed[id]; ok {
		return
	}
	t.departed[id] = now
	t.Events.Info(event.PeerDown).Str("instance", id).Str("reason", "leaving").Str("source", source).Msg("instance is leaving; it gets no new work")
	t.notify()
}

// Evaluate updates the states of the watched instances.
func (t *Tracker) Evaluate(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluateLocked(now)
}

// evaluateLocked suspects the instances that do not answer, the longest silent first, and
// restores those that answer steadily.
//
// If more than half of the watched instances of a role stop answering, this process is
// more likely to be partitioned from them than all of them to have failed. Ejecting them
// all would send all work to the few remaining ones, or make this process claim every
// shard. So at most half of them, rounded up, are suspected for silence; beyond that only
// the list or an instance's own announcement takes it out of use. The limit is rounded up
// so that in a fleet of two or three the loss of one peer is detected.
func (t *Tracker) evaluateLocked(now time.Time) {
	t.excludePause(now)
	count := map[sardinerock.Role]int{}
	suspected := map[sardinerock.Role]int{}
	var silent []*peer
	for _, p := range t.peers {
		if _, departed := t.departed[p.id]; departed {
			continue
		}
		count[p.role]++
		switch {
		case p.state.Is(stateSuspected):
			if !t.tryRestore(now, p) {
				suspected[p.role]++
			}
		case now.Sub(p.lastAnswer) > t.suspectAfter():
			silent = append(silent, p)
		}
	}
	slices.SortFunc(silent, func(x, y *peer) int {
		if c := x.lastAnswer.Compare(y.lastAnswer); c != 0 {
			return c
		}
		return strings.Compare(x.id, y.id)
	})
	for _, p := range silent {
		if suspected[p.role] >= (count[p.role]+1)/2 {
			continue
		}
		suspected[p.role]++
		p.suspicions++
		p.suspectedAt = now
		p.transition(eventSuspect)
		t.Events.Warn(event.PeerDown).Str("instance", p.id).Str("reason", "silent").Dur("silence", now.Sub(p.lastAnswer)).Msg("instance does not answer heartbeats; it gets no new work")
		t.notify()
	}
}

// excludePause excludes time in which this process did not run from the silence of its peers.
//
// Otherwise a process that was paused for a minute would find every peer silent for that
// long before it reads their answers from its sockets. It would suspect half of them and
// claim their shards.
func (t *Tracker) excludePause(now time.Time) {
	pause := now.Sub(t.evaluatedAt)
	first := t.evaluatedAt.IsZero()
	t.evaluatedAt = now
	if first || pause <= t.suspectAfter()/2 {
		return
	}
	for _, p := range t.peers {
		p.lastAnswer = p.lastAnswer.Add(pause)
		if p.lastAnswer.After(now) {
			p.lastAnswer = now
		}
	}
}

// tryRestore restores a suspected instance that has answered for long enough and reports whether it did.
func (t *Tracker) tryRestore(now time.Time, p *peer) bool {
	if now.Sub(p.lastAnswer) > t.suspectAfter() || p.answeringSince.Before(p.suspectedAt) {
		return false
	}
	// The hold doubles so that an instance with an unstable connection does not move shards each time it flaps.
	hold := orDefault(t.RestoreAfter, defaultRestoreAfter) << min(p.suspicions-1, 5)
	if now.Sub(p.answeringSince) < min(hold, maxRestoreAfter) {
		return false
	}
	p.transition(eventRestore)
	t.Events.Info(event.PeerUp).Str("instance", p.id).Int("relapses", p.suspicions).Msg("instance answers heartbeats again; it is used again")
	t.notify()
	return true
}

// Usable reports whether an instance may get new work. An instance that is not watched is usable unless it has departed.
func (t *Tracker) Usable(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evaluateLocked(now)
	return t.usableLocked(id)
}

func (t *Tracker) usableLocked(id string) bool {
	if _, departed := t.departed[id]; departed {
		return false
	}
	p := t.peers[id]
	return p == nil || p.state.Is(stateLive)
}

// Live returns the ids of the entries that may own shards, including this one, sorted.
func (t *Tracker) Live(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.evaluateLocked(now)
	if t.live == nil || t.liveGeneration != t.generation {
		t.live, t.liveGeneration = t.liveLocked(), t.generation
	}
	return slices.Clone(t.live)
}

func (t *Tracker) liveLocked() []string {
	ids := []string{}
	for id, x := range t.listed {
		if x.Role == sardinerock.RoleEntry && t.usableLocked(id) {
			ids = append(ids, id)
		}
	}
	// The list lags: this entry is live even if the list does not contain it yet.
	_, listed := t.listed[t.Self.ID]
	if _, departed := t.departed[t.Self.ID]; t.Self.Role == sardinerock.RoleEntry && !listed && !departed {
		ids = append(ids, t.Self.ID)
	}
	slices.Sort(ids)
	return ids
}

// Instances returns the listed instances of a role that have not departed, sorted by id. It
// includes suspected instances and, if the role is its own, the instance of this process.
// It is empty until the list has been read once.
func (t *Tracker) Instances(role sardinerock.Role) []sardinerock.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sortedGeneration != t.generation {
		t.sorted, t.sortedGeneration = nil, t.generation
	}
	if t.sorted == nil {
		t.sorted = map[sardinerock.Role][]sardinerock.Instance{}
	}
	out, ok := t.sorted[role]
	if !ok {
		out = t.sortLocked(role)
		t.sorted[role] = out
	}
	return slices.Clone(out)
}

func (t *Tracker) sortLocked(role sardinerock.Role) []sardinerock.Instance {
	if len(t.listed) == 0 {
		return nil
	}
	var out []sardinerock.Instance
	for id, x := range t.listed {
		if _, departed := t.departed[id]; x.Role == role && !departed {
			out = append(out, x)
		}
	}
	if _, departed := t.departed[t.Self.ID]; t.Self.Role == role && t.listed[t.Self.ID].ID == "" && !departed {
		out = append(out, t.Self)
	}
	slices.SortFunc(out, func(x, y sardinerock.Instance) int { return strings.Compare(x.ID, y.ID) })
	return out
}

// Changed returns a channel that is closed at the next change of the view.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// Subset returns the sides that this entry is linked to. It is recomputed only after a change of the view.
func (t *Tracker) Subset(size int) []sardinerock.Instance {
	t.mu.Lock()
	generation := t.generation
	if t.subset != nil && t.subsetGeneration == generation && t.subsetSize == size {
		defer t.mu.Unlock()
		return t.subset
	}
	t.mu.Unlock()
	subset := Subset(t.Self, t.Instances(sardinerock.RoleEntry), t.Instances(sardinerock.RoleSide), size)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subset, t.subsetGeneration, t.subsetSize = subset, generation, size
	return subset
}

// notify invalidates the cached results and closes the channel of Changed.
func (t *Tracker) notify() {
	t.generation++
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

package roster

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/await"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/owner"
	"github.com/sardinerock/sardinerock/watch"
)

const (
	// joinRetryInterval is the interval of the attempts to write this entry's address. The
	// address is read back within this time, except from a slow store.
	joinRetryInterval = time.Second
	// purgeInterval is the interval of the checks for silent members.
	purgeInterval = 10 * time.Second
	// memberTimeout is how long a member may be silent before it is removed. An instance that
	// is restarted or partitioned is nearly always back sooner; a later one joins again.
	memberTimeout = 2 * time.Minute
	// purgeOwnerKey selects by its hash the entry that removes members.
	purgeOwnerKey = "members"
)

// Roster maintains this entry's record in the member list and removes silent members.
type Roster struct {
	// Name is this entry's name, the key of its record, and Self the record's value.
	Name  string
	Self  watch.Member
	Store sardinerock.Store
	Topic string
	// SetPeers is called with the members of each new list.
	SetPeers func(members map[string]watch.Member)
	// Live returns the names of the live entries, and Silent the names of the other entries
	// from which no message was received for d.
	Live   func(now time.Time) []string
	Silent func(now time.Time, d time.Duration) []string
	// StoreLost reports whether the store can't be read; members aren't removed then.
	StoreLost func() bool
	Events    *event.Logger

	leaving atomic.Bool
	// listed is set if the member list holds this entry with the value of Self; missing is
	// signaled if it doesn't.
	listed  atomic.Bool
	missing chan struct{}
}

// Prepare must be called once before all other methods.
func (r *Roster) Prepare() { r.missing = make(chan struct{}, 1) }

// Leave removes this entry's address from the store; a stale address costs every other entry
// a datagram per second.
func (r *Roster) Leave(ctx context.Context) {
	if _, err := r.Store.Append(ctx, r.Topic, []sardinerock.StoreRecord{{Key: r.Name}}); err != nil {
		r.Events.Info(event.ListChanged).Err(err).Msg("removing this entry's address from the member list failed; it stays until other entries purge it")
	}
}

// SetLeaving stops Run from writing this entry's address again; it is called when the
// process starts to shut down.
func (r *Roster) SetLeaving() { r.leaving.Store(true) }

// Run writes this entry's address whenever it isn't listed, so that other entries find it: at
// the first start, and after it was removed while this entry was partitioned. A restarted
// entry is still listed and writes nothing. Otherwise, after a failure of all entries, each
// would write a record that all of them have to read.
func (r *Roster) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.missing:
		}
		for !r.listed.Load() && !r.leaving.Load() {
			r.writeSelf(ctx)
			// A member list read in the meantime may be older than the write.
			if !await.Sleep(ctx, joinRetryInterval) {
				return
			}
		}
		r.drainMissing()
	}
}

func (r *Roster) drainMissing() {
	select {
	case <-r.missing:
	default:
		// There was no signal.
	}
}

func (r *Roster) writeSelf(ctx context.Context) {
	record := sardinerock.StoreRecord{Key: r.Name, Value: r.Self.Value()}
	for ctx.Err() == nil {
		_, err := r.Store.Append(ctx, r.Topic, []sardinerock.StoreRecord{record})
		if err == nil {
			return
		}
		r.Events.Warn(event.ListChanged).Err(err).Msg("writing this entry's address to the member list failed; retrying")
		if !await.Sleep(ctx, joinRetryInterval) {
			return
		}
	}
}

// SetMembers applies a new member list, by entry name.
func (r *Roster) SetMembers(members map[string]watch.Member) {
	r.SetPeers(members)
	listed := members[r.Name] == r.Self
	r.listed.Store(listed)
	if listed || r.leaving.Load() {
		return
	}
	select {
	case r.missing <- struct{}{}:
	default:
		// Run has been signaled already.
	}
}

// Purge removes members that have been silent for memberTimeout, until ctx ends; only the
// owner of purgeOwnerKey does so. A fleet replaces some of its instances every day, and every
// stale name would leave a gap in the grid over which entries exchange messages.
func (r *Roster) Purge(ctx context.Context) {
	t := time.NewTicker(purgeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if silent := r.Silent(now, memberTimeout); len(silent) > 0 && !r.StoreLost() {
				r.removeMembers(ctx, silent)
			}
		}
	}
}

func (r *Roster) removeMembers(ctx context.Context, names []string) {
	if owner.Of(purgeOwnerKey, r.Live(time.Now())) != r.Name {
		return
	}
	records := make([]sardinerock.StoreRecord, len(names))
	for i, name := range names {
		records[i].Key = name
	}
	_, err := r.Store.Append(ctx, r.Topic, records)
	r.Events.Info(event.ListChanged).Strs("removed", names).Err(err).Msg("tried to remove silent members from the member list; retrying while they are listed")
}

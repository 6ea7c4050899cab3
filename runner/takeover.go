package runner

import (
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/items"
)

// abortTakenOver aborts items of jobs that another entry has taken over, if the new owner
// runs them too or cannot receive this entry's messages because of a network partition.
// Otherwise the run continues, and the new owner waits for it to end.
func (r *Runner) abortTakenOver() {
	taken := r.takenOver()
	if len(taken) == 0 {
		return
	}
	view, ok := r.OwnerView()
	if !ok {
		return
	}
	runningElsewhere := r.RunningElsewhere()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range taken {
		successor := r.Ledger.Owner(i.open.Job)
		partitioned := view.Minority() && view.Peer(successor).SinceContact > view.Timeout
		if !runningElsewhere[items.ShortKey(i.key)] && !partitioned {
			continue
		}
		i.preempted = true
		i.cancel()
		r.Events.Info(event.JobPassed).Str("job", i.open.Job).Int("index", i.open.Index).Str("owner", successor).
			Bool("cut", partitioned).Msg("item aborted; the entry that took over its job resumes it")
	}
}

// takenOver returns the items that run here although another entry owns their jobs.
func (r *Runner) takenOver() []*item {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return nil
	}
	var taken []*item
	for _, i := range r.items {
		if i.running && !i.complete && !i.preempted && r.Ledger.Owner(i.open.Job) != r.Name {
			taken = append(taken, i)
		}
	}
	return taken
}

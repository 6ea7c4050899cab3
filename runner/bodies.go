package runner

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/items"
	"github.com/sardinerock/sardinerock/ledger"
)

const (
	// jobReadTimeout bounds one read of a job's items and their saved progress.
	jobReadTimeout = 5 * time.Second
	// noProgressAge is the job age up to which no entry can have saved progress of its items.
	// The read of saved progress is skipped for younger jobs, which are nearly all.
	noProgressAge = progressInterval
)

// loadedJob is what this entry has read of a job whose items it runs.
type loadedJob struct {
	// items are nil until they are read.
	items []sardinerock.BatchItem
	// progress is the saved progress of the items at the time this entry read the job.
	progress map[int]blobs.Progress
	reading  bool
	// epoch is the job's epoch for which the other entries were asked for failed runs.
	epoch int
	// retryAt is the earliest time of the next read after a failed one.
	retryAt time.Time
	// hasProgress holds the indices of items with saved progress in the store. obsolete lists
	// those whose saved progress is to be removed.
	hasProgress map[int]bool
	obsolete    []int
	// writing is set while progress is being written to the store.
	writing bool
}

// loadJob returns a job once its items are read. Until then it returns nil and starts a read
// if none is in progress.
func (r *Runner) loadJob(ctx context.Context, open ledger.OpenItem, now time.Time) *loadedJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[open.Job]
	if j == nil {
		j = &loadedJob{hasProgress: map[int]bool{}}
		r.jobs[open.Job] = j
	}
	if j.items != nil && j.epoch == open.Epoch {
		return j
	}
	if !j.reading && now.After(j.retryAt) {
		j.reading = true
		skipProgress := !open.SeenAt.IsZero() && now.Sub(open.SeenAt) < noProgressAge
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.readJob(ctx, open, j, skipProgress)
		}()
	}
	return nil
}

// readJob reads a job's items and, unless skipProgress is set, their saved progress. If another process may have run
// the items, it asks the other entries what became of these runs.
func (r *Runner) readJob(ctx context.Context, open ledger.OpenItem, j *loadedJob, skipProgress bool) {
	ctx, cancel := context.WithTimeout(ctx, jobReadTimeout)
	defer cancel()
	job, bodies := open.Job, open.Bodies
	if !items.MayStartUnrecorded(&open, r.Name, r.ProcessStart) {
		r.Tally.Ask(ctx, job)
	}
	begin := time.Now()
	read, err := r.Blobs.ReadItems(ctx, job, &bodies)
	var progress map[int]blobs.Progress
	if err == nil && !skipProgress {
		progress, err = r.Blobs.ReadProgress(ctx, job)
	}
	r.Events.Info(event.BodiesRead).Str("job", job).Int("items", len(read)).Int("bytes", bodies.Size()).Bool("fresh", skipProgress).
		Int("begun", len(progress)).Dur("took", time.Since(begin)).Err(err).Msg("finished reading the items of a job")
	r.mu.Lock()
	j.reading = false
	if err != nil {
		j.retryAt = time.Now().Add(retryDelay)
	} else {
		j.items, j.progress, j.epoch = read, progress, open.Epoch
		for index := range progress {
			j.hasProgress[index] = true
		}
	}
	r.mu.Unlock()
	r.Wake()
}

// evictJobs drops the loaded items of jobs that are finished, once their obsolete progress is
// removed from the store.
func (r *Runner) evictJobs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, j := range r.jobs {
		if !j.reading && !j.writing && len(j.obsolete) == 0 && !r.Ledger.JobOpen(id) {
			delete(r.jobs, id)
		}
	}
}

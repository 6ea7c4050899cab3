package runner

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// progressInterval is the time between two writes of progress to the store. If an entry
	// fails, the next owner generates again what was not saved.
	progressInterval = 1200 * time.Millisecond
	// minProgressBytes is the text length below which saving is not worth a call to the
	// store.
	minProgressBytes = 512
	// progressGrowth is the factor by which a text must have grown since it was last saved.
	// Each record holds the whole text: all records of an item add up to at most three times
	// its text, and at most a third of the text is lost with its entry.
	progressGrowth = 1.5
)

// saveProgress writes the progress of long runs to the store, one append for each job, and
// removes the progress of items that are done. If this entry fails, the next owner resumes
// from there instead of starting over.
func (r *Runner) saveProgress(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// All items are saved in the same round, since each would otherwise be a separate append.
	now := time.Now()
	due := now.Sub(r.progressSavedAt) >= progressInterval
	if !due && !r.firstOutput {
		return
	}
	if due {
		r.progressSavedAt = now
	}
	r.firstOutput = false
	progress := r.unsavedProgress(due)
	for id, j := range r.jobs {
		if j.writing || len(progress[id]) == 0 && (!due || len(j.obsolete) == 0) {
			continue
		}
		j.writing = true
		obsolete := j.obsolete
		j.obsolete = nil
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.writeProgress(ctx, id, j, progress[id], obsolete)
		}()
	}
}

// unsavedProgress returns the progress to be saved, by job and item index: first outputs that have
// to be saved at once, and if all is set that of all long runs.
func (r *Runner) unsavedProgress(all bool) map[string]map[int]blobs.Progress {
	progress := map[string]map[int]blobs.Progress{}
	for _, i := range r.items {
		j := r.jobs[i.open.Job]
		if due := i.saveNow || all && i.hasGrown(); j == nil || i.complete || !due {
			continue
		}
		if j.writing {
			// The next round saves it.
			r.firstOutput = r.firstOutput || i.saveNow
			continue
		}
		i.saveNow = false
		if progress[i.open.Job] == nil {
			progress[i.open.Job] = map[int]blobs.Progress{}
		}
		progress[i.open.Job][i.open.Index] = blobs.Progress{Position: i.position, Text: string(i.text)}
		i.savedBytes = len(i.text)
		j.hasProgress[i.open.Index] = true
	}
	return progress
}

// hasGrown reports whether an item's text has grown enough since it was last saved.
func (i *item) hasGrown() bool {
	return len(i.text) >= minProgressBytes && float64(len(i.text)) >= progressGrowth*float64(i.savedBytes)
}

func (r *Runner) writeProgress(ctx context.Context, job string, j *loadedJob, progress map[int]blobs.Progress, obsolete []int) {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	err := r.Blobs.WriteProgress(ctx, job, progress, obsolete)
	if err != nil {
		r.Events.Info(event.ItemFailed).Str("job", job).Int("items", len(progress)).Int("done", len(obsolete)).Err(err).Msg("progress was not saved; each text is written again once it has grown by half")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j.writing = false
	if err != nil {
		// The next write holds the whole text again; only the removals have to be retried.
		j.obsolete = append(j.obsolete, obsolete...)
	}
}

// discardProgress marks an item's saved progress for removal.
func (r *Runner) discardProgress(i *item) {
	j := r.jobs[i.open.Job]
	if j == nil || !j.hasProgress[i.open.Index] {
		return
	}
	delete(j.hasProgress, i.open.Index)
	j.obsolete = append(j.obsolete, i.open.Index)
}

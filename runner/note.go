package runner

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/ledger"
)

const (
	// noteAfter is the age at which what an item has generated is brought into
	// the store: what a lost entry hadn't recorded is generated again.
	noteAfter = 1200 * time.Millisecond
	// leastNoted is the length of text below which a record isn't worth its call.
	leastNoted = 512
)

// noteProgress brings the progress of long runs into the store. If this entry
// is lost, the next owner goes on from there and not from the beginning.
func (r *Runner) noteProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	// All at once: each by itself would be an append of its own.
	now := time.Now()
	if now.Sub(r.notedAt) < noteAfter {
		return
	}
	r.notedAt = now
	for _, i := range r.items {
		if i.recording || len(i.text)-i.recorded < leastNoted {
			continue
		}
		i.recording = true
		progress, open := ledger.Progress{LastEvent: i.lastEvent, Text: string(i.text)}, i.open
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			r.note(i, &open, progress)
		}()
	}
}

func (r *Runner) note(i *item, open *ledger.OpenItem, progress ledger.Progress) {
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	verdict, err := r.Recorder.SubmitLazily(ctx, func(p *ledger.Plan) (ledger.Verdict, error) {
		return p.Proceed(open.Job, open.Index, progress)
	})
	if err != nil {
		r.Events.Info(event.ItemFailed).Str("job", open.Job).Str("item", open.Item.ID).Err(err).Msg("progress isn't recorded")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i.recording = false
	if err == nil && verdict == ledger.Made {
		i.recorded = len(progress.Text)
	}
}

package purge

import (
	"context"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/commit"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/owner"
)

const (
	// expiryInterval is the time between two removals of expired jobs: at 200 results a
	// second, 25 MB of the store's 400 MB accumulate in between.
	expiryInterval = 10 * time.Second
	// expiryKey is hashed to select the entry that removes expired jobs.
	expiryKey = "expiry"
	// maxExpiryRecords bounds the records of one removal to keep the append small; the next
	// removal takes the rest.
	maxExpiryRecords = 2000
	// expiryTimeout bounds each step of a removal, such as that of the values of expired jobs
	// and that of their records. These two end before the next removal is due.
	expiryTimeout = 4 * time.Second
	// sweepInterval is the time between two scans for values that belong to no job. An entry
	// that fails between writing a value and its record leaves about ten kilobytes, and a
	// scan reads a whole partition.
	sweepInterval = 10 * time.Minute
	// sweepTimeout bounds the scan of one partition, which holds some megabytes.
	sweepTimeout = 20 * time.Second
	// sweepKey and a partition's name are hashed to select the entry that scans the
	// partition.
	sweepKey = "sweep/"
	// maxExpiryJobs bounds the jobs of one removal: twice the number accepted in ten seconds
	// at ten jobs a second.
	maxExpiryJobs = 200
)

// Purger removes from the store what is no longer needed, since the store keeps the newest
// record of each key forever and has limited space.
type Purger struct {
	// Name is this entry's name, one of Owners.
	Name   string
	Ledger *ledger.Ledger
	// Jobs appends decisions on jobs to the store, Recorder the results and failures of
	// items.
	Jobs     *commit.Appender
	Recorder *commit.Appender
	Blobs    *blobs.Client
	// WaitForJobs returns once this entry has read all jobs accepted before a time.
	WaitForJobs func(ctx context.Context, at time.Time) error
	// Owners returns the names of the entries that share the work.
	Owners func() []string
	// Retention is how long jobs stay in the store after they were accepted; 0 means forever.
	Retention time.Duration
	Events    *event.Logger
}

// Run removes expired jobs and unreferenced values until ctx ends.
func (p *Purger) Run(ctx context.Context) {
	if p.Retention <= 0 {
		return
	}
	expiry, sweep := time.NewTicker(expiryInterval), time.NewTicker(sweepInterval)
	defer expiry.Stop()
	defer sweep.Stop()
	sweeper := &blobs.Sweeper{Blobs: p.Blobs}
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C:
			p.expire(ctx)
		case <-sweep.C:
			p.sweep(ctx, sweeper)
		}
	}
}

// expire removes expired jobs, on one entry of the fleet only.
func (p *Purger) expire(ctx context.Context) {
	if owner.Of(expiryKey, p.Owners()) != p.Name {
		return
	}
	p.clearOrphans(ctx)
	before := time.Now().Add(-p.Retention)
	removed, err := p.removeBlobs(ctx, before)
	if len(removed) > 0 {
		err = p.submit(ctx, p.Jobs, func(plan *ledger.Plan) (ledger.Verdict, error) { return plan.Expire(removed, before, maxExpiryRecords) })
	}
	if err != nil || len(removed) > 0 {
		p.Events.Info(event.JobsExpired).Time("before", before).Int("jobs", len(removed)).Err(err).Msg("removing expired jobs")
	}
}

func (p *Purger) submit(ctx context.Context, a *commit.Appender, change commit.Change) error {
	ctx, cancel := context.WithTimeout(ctx, expiryTimeout)
	defer cancel()
	_, err := a.SubmitLazily(ctx, change)
	return err
}

// removeBlobs removes the values of expired jobs and returns these jobs. Values are removed
// before records: a process that ends in between leaves small records, which the next removal
// finds, and not values that no record refers to.
func (p *Purger) removeBlobs(ctx context.Context, before time.Time) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, expiryTimeout)
	defer cancel()
	var removed []string
	for _, job := range p.Ledger.Expired(before, maxExpiryJobs) {
		results := make([]blobs.Result, len(job.Results))
		for n := range job.Results {
			results[n] = blobs.Result{Index: job.Results[n].Index, Content: job.Results[n].Text}
		}
		if err := p.Blobs.RemoveJob(ctx, job.ID, &job.Bodies, results); err != nil {
			return removed, err
		}
		removed = append(removed, job.ID)
	}
	return removed, nil
}

// clearOrphans removes the records of items whose jobs were removed. Such records may also be
// read before the acceptance of their job, which precedes them in the store. So it first
// reads all jobs accepted up to now; records that still have no job belong to a removed one.
func (p *Purger) clearOrphans(ctx context.Context) {
	orphans := p.Ledger.Orphans()
	if len(orphans) == 0 {
		return
	}
	err := p.syncJobs(ctx)
	if err == nil {
		err = p.submit(ctx, p.Recorder, func(plan *ledger.Plan) (ledger.Verdict, error) { return plan.RemoveOrphans(orphans, maxExpiryRecords) })
	}
	p.Events.Info(event.JobsExpired).Int("orphans", len(orphans)).Err(err).Msg("removing the item records of removed jobs")
}

// sweep scans the blob partitions assigned to this entry for values of unknown jobs.
func (p *Purger) sweep(ctx context.Context, sweeper *blobs.Sweeper) {
	owners := p.Owners()
	for _, topic := range []string{p.Blobs.Topics.Bodies, p.Blobs.Topics.Results, p.Blobs.Topics.Progress} {
		for number := range p.Blobs.Partitions {
			if owner.Of(sweepKey+sardinerock.PartitionName(topic, number), owners) != p.Name || ctx.Err() != nil {
				continue
			}
			if err := p.sweepPartition(ctx, sweeper, topic, number); err != nil {
				p.Events.Info(event.JobsExpired).Str("topic", sardinerock.PartitionName(topic, number)).Err(err).Msg("scan for values of unknown jobs failed; the next sweep repeats it")
			}
		}
	}
}

func (p *Purger) sweepPartition(ctx context.Context, sweeper *blobs.Sweeper, topic string, number int) error {
	if err := p.syncJobs(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	_, err := sweeper.Sweep(ctx, topic, number, func(job string) bool { _, known := p.Ledger.Bodies(job); return known })
	return err
}

// syncJobs returns once this entry has read all jobs accepted before now.
func (p *Purger) syncJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, expiryTimeout)
	defer cancel()
	return p.WaitForJobs(ctx, time.Now())
}

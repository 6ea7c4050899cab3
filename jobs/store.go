package jobs

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/assign"
	"github.com/sardinerock/sardinerock/limits"
	"github.com/sardinerock/sardinerock/reject"
	"github.com/sardinerock/sardinerock/shard"
	"github.com/sardinerock/sardinerock/upload"
)

const (
	// syncTimeout bounds the wait for the end of a stream. After it Create is rejected, and other calls use the
	// state as last read.
	syncTimeout = 3 * time.Second
	// resultBatch is the number of results that are located per lock of the shard.
	resultBatch     = 256
	defaultListSize = 20
)

// Get returns the status of a job. Only its caller and operators may see it; the error is a refusal.
func (m *Manager) Get(ctx context.Context, caller, id string) (*sardinerock.JobStatus, error) {
	m.setUp()
	number, ok := assign.ShardOf(id, m.Shards)
	if !ok {
		return nil, reject.NotFound(id)
	}
	p, release := m.use(number)
	defer release()
	if err := p.syncOrStale(ctx); err != nil {
		return nil, err
	}
	return p.status(caller, id)
}

// List returns at most limit of the caller's jobs, the newest first. An empty caller lists the jobs of all
// callers; a limit of 0 or less means 20.
func (m *Manager) List(ctx context.Context, caller string, limit int) ([]sardinerock.JobStatus, error) {
	m.setUp()
	if limit <= 0 {
		limit = defaultListSize
	}
	var all []sardinerock.JobStatus
	seen := map[int]bool{}
	for _, number := range m.shardsOf(caller) {
		if seen[number] {
			continue
		}
		seen[number] = true
		jobs, err := m.listShard(ctx, number, caller)
		if err != nil {
			return nil, err
		}
		all = append(all, jobs...)
	}
	slices.SortFunc(all, func(a, b sardinerock.JobStatus) int {
		return cmp.Or(b.CreatedAt.Compare(a.CreatedAt), cmp.Compare(a.ID, b.ID))
	})
	return all[:min(limit, len(all))], nil
}

// shardsOf returns the shards that may hold a caller's jobs.
func (m *Manager) shardsOf(caller string) []int {
	count := assign.CallerShards
	if caller == "" {
		count = m.Shards
	}
	numbers := make([]int, count)
	for i := range numbers {
		numbers[i] = assign.CallerShard(caller, i, m.Shards)
	}
	return numbers
}

func (m *Manager) listShard(ctx context.Context, number int, caller string) ([]sardinerock.JobStatus, error) {
	p, release := m.use(number)
	defer release()
	if err := p.syncOrStale(ctx); err != nil {
		return nil, err
	}
	p.Lock()
	defer p.Unlock()
	var all []sardinerock.JobStatus
	for _, j := range p.State.Jobs {
		if j.Caller == caller || caller == "" {
			all = append(all, *j.Status())
		}
	}
	return all, nil
}

// Cancel appends a cancellation of the job and returns after it is in the log. It does nothing if the job
// doesn't run.
func (m *Manager) Cancel(ctx context.Context, caller, id string) (*sardinerock.JobStatus, error) {
	m.setUp()
	number, ok := assign.ShardOf(id, m.Shards)
	if !ok {
		return nil, reject.NotFound(id)
	}
	p, release := m.use(number)
	defer release()
	if err := p.syncOrStale(ctx); err != nil {
		return nil, err
	}
	status, err := p.status(caller, id)
	if err != nil || status.State != sardinerock.JobRunning {
		return status, err
	}
	ctx, cancel := context.WithTimeout(ctx, upload.SealTimeout)
	defer cancel()
	offset, err := p.Append(ctx, &shard.Record{Kind: &shard.Record_Cancel{Cancel: &shard.Cancel{Job: id}}}, m.Now().Add(upload.SealAppendTimeout))
	if err == nil {
		err = p.WaitFolded(ctx, offset)
	}
	if err != nil {
		return nil, reject.FailedAppend(err, "the cancellation")
	}
	return p.status(caller, id)
}

// Results calls yield for each recorded result, in the order of the items.
func (m *Manager) Results(ctx context.Context, caller, id string, yield func(sardinerock.ItemResult) error) error {
	status, err := m.Get(ctx, caller, id)
	if err != nil {
		return err
	}
	if status.State == sardinerock.JobExpired {
		return &sardinerock.Refusal{Code: sardinerock.CodeNotFound, Outcome: sardinerock.OutcomeNotRun, Message: "the results of job " + id + " are no longer kept"}
	}
	number, _ := assign.ShardOf(id, m.Shards)
	p, release := m.use(number)
	defer release()
	for from := 0; from < status.Total; from += resultBatch {
		if err := p.yieldResults(ctx, id, from, min(from+resultBatch, status.Total), yield); err != nil {
			return err
		}
	}
	return nil
}

type resultLocation struct {
	at       shard.Location
	position int
}

func (p *processor) yieldResults(ctx context.Context, id string, from, to int, yield func(sardinerock.ItemResult) error) error {
	for _, a := range p.resultLocations(id, from, to) {
		d, err := p.m.shared.Reader.Result(ctx, p.Stream, a.at, a.position)
		if err != nil {
			return reject.LogUnavailable(sardinerock.OutcomeNotRun, "results can't be read from the log: "+err.Error())
		}
		r := sardinerock.ItemResult{CustomID: d.GetCustomId(), Status: int(d.GetStatus()), Body: d.GetBody()}
		if r.Status == 0 {
			r.Status = 200
		}
		if err := yield(r); err != nil {
			return err
		}
	}
	return nil
}

func (p *processor) resultLocations(id string, from, to int) []resultLocation {
	p.Lock()
	defer p.Unlock()
	j := p.State.Jobs[id]
	if j == nil {
		return nil
	}
	var all []resultLocation
	for i := from; i < to; i++ {
		if at, position, ok := j.Result(uint32(i)); ok {
			all = append(all, resultLocation{at: at, position: position})
		}
	}
	return all
}

// syncOrStale waits until the shard is folded up to the end of its stream. During an outage of the log a state
// that was current once is used: it may be stale, but is not wrong.
func (p *processor) syncOrStale(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	err := p.Sync(ctx)
	if err == nil {
		return nil
	}
	p.Lock()
	defer p.Unlock()
	if p.WasCurrent() {
		return nil
	}
	return reject.LogUnavailable(sardinerock.OutcomeNotRun, "the log can't be read: "+err.Error())
}

func (p *processor) status(caller, id string) (*sardinerock.JobStatus, error) {
	p.Lock()
	defer p.Unlock()
	j := p.State.Jobs[id]
	if j == nil || (j.Caller != caller && !limits.IsOperator(p.m.Config, caller)) {
		return nil, reject.NotFound(id)
	}
	return j.Status(), nil
}

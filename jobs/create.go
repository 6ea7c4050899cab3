package jobs

import (
	"context"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/assign"
	"github.com/sardinerock/sardinerock/limits"
	"github.com/sardinerock/sardinerock/reject"
	"github.com/sardinerock/sardinerock/shards"
	"github.com/sardinerock/sardinerock/upload"
)

// Create appends the job's items in chunks and then the seal record, which accepts the job. It returns the
// same job for a retry with the same idempotency key. All errors are refusals.
func (m *Manager) Create(ctx context.Context, spec sardinerock.JobSpec, items func(yield func(sardinerock.JobItem) error) error) (*sardinerock.JobStatus, error) {
	m.setUp()
	if spec.IdempotencyKey == "" {
		// The caller's second job without a key would be treated as a retry of the first.
		return nil, reject.Invalid("a job needs an idempotency key")
	}
	if refusal := m.logFailing(); refusal != nil {
		return nil, refusal
	}
	number, id := assign.Place(spec.Caller, spec.IdempotencyKey, m.Shards)
	p, release := m.use(number)
	defer release()
	if err := p.syncOrReject(ctx); err != nil {
		return nil, err
	}
	u := upload.New(ctx, shards.NewID(), spec.Path)
	u.Writer, u.WaitFolded, u.Now, u.MaxItems, u.ChunkBytes = p.Writer, p.WaitFolded, m.Now, limits.MaxItems(m.Config), m.ChunkBytes
	// If the job is in the log already this is a retry: only compare the content.
	_, err := p.status(spec.Caller, id)
	u.CompareOnly = err == nil
	if err := items(u.Add); err != nil {
		return nil, reject.FailedUpload(err)
	}
	if u.Total() == 0 {
		return nil, reject.Invalid("a job needs at least one item")
	}
	if !u.CompareOnly {
		if err := u.Seal(spec, id); err != nil {
			return nil, err
		}
	}
	return p.acceptedStatus(spec, id, u.Digest())
}

// syncOrReject waits until the shard is folded up to the end of its stream, or returns a refusal. If the log
// can't be read, an append would most likely end with an unknown outcome.
func (p *processor) syncOrReject(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := p.Sync(ctx); err != nil {
		return reject.LogUnavailable(sardinerock.OutcomeNotRun, "the log can't be read, nothing was accepted: "+err.Error())
	}
	return nil
}

// acceptedStatus returns the status of a job after its upload. It returns a refusal if the upload expired
// before the seal, or if the id belongs to a job with other content.
func (p *processor) acceptedStatus(spec sardinerock.JobSpec, id string, digest uint64) (*sardinerock.JobStatus, error) {
	p.Lock()
	defer p.Unlock()
	j := p.State.Jobs[id]
	if j == nil {
		return nil, reject.LogUnavailable(sardinerock.OutcomeNotRun, "the upload took too long and was dropped; nothing was accepted")
	}
	if j.Caller != spec.Caller || j.Key != spec.IdempotencyKey || j.Digest != digest {
		return nil, reject.Conflict()
	}
	return j.Status(), nil
}

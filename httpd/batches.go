package httpd

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/calls"
	"github.com/sardinerock/sardinerock/forms"
)

const (
	// maxCompletionWindow limits the time until the due date of a job.
	maxCompletionWindow = 7 * 24 * time.Hour
	// defaultListLimit and maxListLimit are the default and the maximum number of jobs in a list.
	defaultListLimit = 20
	maxListLimit     = 100
	// maxIdempotencyKey is the maximum length of an idempotency key, in bytes.
	maxIdempotencyKey = 256
)

// createBatch creates a job. It reads the file twice, first to validate it and compute its
// digest, then to pass the items to the job store. Without an Idempotency-Key header the
// digest is the idempotency key.
func (s *Server) createBatch(x *calls.Exchange) error {
	body, spec, err := s.readBatch(x)
	if err != nil {
		return err
	}
	inspection, err := s.inspectFile(x, body.InputFileID, spec.Path)
	if err != nil {
		return err
	}
	if spec.IdempotencyKey == "" {
		spec.IdempotencyKey = inspection.Digest
	}
	content, _, err := s.Files.Open(x.R.Context(), x.Caller.Name, body.InputFileID)
	if err != nil {
		return err
	}
	defer content.Close()
	job, err := s.Jobs.Create(x.R.Context(), spec, jobItems(content, spec.Path))
	if err != nil {
		return err
	}
	b := forms.NewBatch(job)
	b.InputFileID = body.InputFileID
	x.WriteJSON(http.StatusOK, b)
	return nil
}

func (s *Server) readBatch(x *calls.Exchange) (*forms.BatchBody, sardinerock.JobSpec, error) {
	var spec sardinerock.JobSpec
	raw, err := x.ReadBody()
	if err != nil {
		return nil, spec, err
	}
	var b forms.BatchBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, spec, forms.JSONFault(err)
	}
	if b.InputFileID == "" {
		return nil, spec, forms.Refuse(sardinerock.CodeInvalidRequest, "input_file_id", "the field input_file_id is missing")
	}
	if b.Endpoint != forms.PathChat && b.Endpoint != forms.PathCompletions {
		return nil, spec, forms.Refuse(sardinerock.CodeInvalidRequest, "endpoint", "the endpoint must be %s or %s", forms.PathChat, forms.PathCompletions)
	}
	window, err := time.ParseDuration(b.CompletionWindow)
	if err != nil || window <= 0 || window > maxCompletionWindow {
		return nil, spec, forms.Refuse(sardinerock.CodeInvalidRequest, "completion_window",
			"the completion_window must be a duration such as 24h, up to %s", maxCompletionWindow)
	}
	key := x.R.Header.Get("Idempotency-Key")
	if len(key) > maxIdempotencyKey {
		return nil, spec, forms.Refuse(sardinerock.CodeInvalidRequest, "Idempotency-Key", "the header Idempotency-Key is over %d bytes", maxIdempotencyKey)
	}
	spec = sardinerock.JobSpec{
		Caller: x.Caller.Name, IdempotencyKey: key, Path: b.Endpoint,
		Due: s.Clock().Add(window), Metadata: b.Metadata,
	}
	return &b, spec, nil
}

func (s *Server) inspectFile(x *calls.Exchange, id, path string) (forms.Inspection, error) {
	content, _, err := s.Files.Open(x.R.Context(), x.Caller.Name, id)
	if err != nil {
		return forms.Inspection{}, err
	}
	defer content.Close()
	return forms.Inspect(content, path, x.Directory.Snapshot.Bundle.Batch.MaxItems)
}

func jobItems(content io.Reader, path string) func(yield func(sardinerock.JobItem) error) error {
	return func(yield func(sardinerock.JobItem) error) error {
		return forms.EachLine(content, path, func(_ int, l *forms.Line) error {
			return yield(sardinerock.JobItem{CustomID: l.CustomID, Body: l.Body})
		})
	}
}

func (s *Server) getBatch(x *calls.Exchange) error {
	job, err := s.Jobs.Get(x.R.Context(), x.Caller.Name, x.R.PathValue("id"))
	return s.writeBatch(x, job, err)
}

func (s *Server) cancelBatch(x *calls.Exchange) error {
	job, err := s.Jobs.Cancel(x.R.Context(), x.Caller.Name, x.R.PathValue("id"))
	return s.writeBatch(x, job, err)
}

func (s *Server) writeBatch(x *calls.Exchange, job *sardinerock.JobStatus, err error) error {
	if err != nil {
		return err
	}
	x.WriteJSON(http.StatusOK, forms.NewBatch(job))
	return nil
}

// listBatches returns the caller's newest jobs. Pagination is not supported, so has_more is always false.
func (s *Server) listBatches(x *calls.Exchange) error {
	limit := defaultListLimit
	if q := x.R.URL.Query().Get("limit"); q != "" {
		n, err := strconv.Atoi(q)
		if err != nil || n < 1 || n > maxListLimit {
			return forms.Refuse(sardinerock.CodeInvalidRequest, "limit", "limit must be a number from 1 to %d", maxListLimit)
		}
		limit = n
	}
	if x.R.URL.Query().Has("after") {
		return forms.Refuse(sardinerock.CodeInvalidRequest, "after", "pages are not supported; ask for up to %d jobs by limit", maxListLimit)
	}
	jobs, err := s.Jobs.List(x.R.Context(), x.Caller.Name, limit)
	if err != nil {
		return err
	}
	batches := forms.List[forms.Batch]{Object: "list", Data: []forms.Batch{}}
	for i := range jobs {
		batches.Data = append(batches.Data, forms.NewBatch(&jobs[i]))
	}
	if n := len(jobs); n > 0 {
		batches.FirstID, batches.LastID = jobs[0].ID, jobs[n-1].ID
	}
	x.WriteJSON(http.StatusOK, batches)
	return nil
}

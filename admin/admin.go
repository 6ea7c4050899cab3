package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/forms"
	"github.com/sardinerock/sardinerock/httpd"
)

// maxResponseBytes is how much of a response is read.
const maxResponseBytes = 64 << 20

// call sends one request with the operator's token and decodes the JSON response.
func call[T any](ctx context.Context, s *conf.Operator, method, path string, body []byte) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, s.Entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+s.Token)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("no response from entry %s, so it is unknown whether the call took effect: %w", s.Entry, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, responseError(response, raw)
	}
	var t T
	if err := json.Unmarshal(raw, &t); err != nil {
		return nil, fmt.Errorf("cannot decode the response of %s: %w", s.Entry, err)
	}
	return &t, nil
}

func responseError(response *http.Response, raw []byte) error {
	var body forms.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Error.Code == "" {
		return fmt.Errorf("rejected with status %s", response.Status)
	}
	text := fmt.Sprintf("rejected (%s, %s): %s", body.Error.Code, body.Error.Outcome, body.Error.Message)
	if retryAfter := response.Header.Get("Retry-After"); retryAfter != "" {
		text += "; retry after " + retryAfter + " s"
	}
	return fmt.Errorf("%s", text)
}

// Publish publishes the bundle in a file and prints the version that is then in force.
func Publish(ctx context.Context, s *conf.Operator, file string, out io.Writer) error {
	raw, err := conf.ReadFile(file)
	if err != nil {
		return err
	}
	published, err := call[httpd.Published](ctx, s, http.MethodPost, "/operator/bundles", raw)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "version %d is in force, digest %s\n", published.Version, published.Digest)
	return nil
}

// Cancel cancels a batch job and prints how many of its items had completed and failed.
func Cancel(ctx context.Context, s *conf.Operator, id string, out io.Writer) error {
	job, err := call[sardinerock.JobStatus](ctx, s, http.MethodPost, "/operator/jobs/"+url.PathEscape(id)+"/cancel", nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "job %s is %s: %d of %d items had completed, %d had failed\n", job.ID, job.State, job.Completed, job.Total, job.Failed)
	return nil
}

// Status prints the fleet as an entry sees it.
func Status(ctx context.Context, s *conf.Operator, out io.Writer) error {
	st, err := call[httpd.Status](ctx, s, http.MethodGet, "/operator/status", nil)
	if err != nil {
		return err
	}
	return writeStatus(out, st)
}

// writeStatus prints a status as text tables.
func writeStatus(w io.Writer, st *httpd.Status) error {
	fmt.Fprintf(w, "As seen by %s: version %d is in force since %s, digest %s\n", st.Process, st.Version, st.Since.Format(time.RFC3339), st.Digest)
	if st.Blocked > 0 {
		fmt.Fprintf(w, "Version %d was accepted and is not run here: it lacks sign-offs that this entry's settings ask for\n", st.Blocked)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\nBACKEND SERVER\tZONE\tSTATE\tSLOTS\tONLINE\tWAITING\tBATCH\tHOLDS")
	for _, b := range st.Backends {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", b.ID, b.Zone, b.State, b.Slots, b.OnlineRunning, b.OnlineWaiting, b.BatchRunning, loadedNames(&b))
	}
	fmt.Fprintln(t, "\nPROCESS\tROLE\tZONE\tSTATE\tVERSION\tSINCE")
	for _, r := range st.Processes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", r.ID, r.Role, r.Zone, r.State, r.Version, r.Since.Format(time.RFC3339))
	}
	if st.JobsFault != "" {
		fmt.Fprintf(t, "\nThe jobs can't be shown now: %s\n", st.JobsFault)
		return t.Flush()
	}
	fmt.Fprintln(t, "\nJOB\tCALLER\tSTATE\tITEMS\tCOMPLETED\tFAILED\tDUE")
	for _, j := range st.Jobs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", j.ID, j.Caller, j.State, j.Total, j.Completed, j.Failed, j.Due.Format(time.RFC3339))
	}
	return t.Flush()
}

func loadedNames(b *httpd.BackendStatus) string {
	if b.Service != "" {
		return "service " + b.Service
	}
	var names []string
	for _, l := range b.Loaded {
		name := l.Model + "@" + l.Version
		if l.Adapter != "" {
			name += ":" + l.Adapter
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

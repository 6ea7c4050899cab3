package httpd

import (
	"context"
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/calls"
	"github.com/sardinerock/sardinerock/forms"
	"github.com/sardinerock/sardinerock/grants"
)

// Status is one process's view of the fleet.
type Status struct {
	// Process is the id of the entry that answers.
	Process string `json:"process"`
	// Version and Digest identify the bundle in force in this process, since Since.
	Version int64     `json:"version"`
	Digest  string    `json:"digest,omitempty"`
	Since   time.Time `json:"since,omitzero"`
	// Blocked is a version that the order of the log accepted but this process does not use,
	// because it lacks sign-offs that the settings of this process require; 0 if there is none.
	Blocked   int64           `json:"blocked,omitempty"`
	Backends  []BackendStatus `json:"backends"`
	Processes []ProcessStatus `json:"processes"`
	// Jobs are the newest jobs of all callers. If they could not be read, JobsFault says why.
	Jobs      []sardinerock.JobStatus `json:"jobs"`
	JobsFault string                  `json:"jobsFault,omitempty"`
}

// BackendStatus is the state of one backend server as an entry sees it.
type BackendStatus struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Service is empty for model engines.
	Service string `json:"service,omitempty"`
	// State is up, down, silent or leaving.
	State         string                    `json:"state"`
	Slots         int                       `json:"slots"`
	OnlineRunning int                       `json:"onlineRunning"`
	OnlineWaiting int                       `json:"onlineWaiting"`
	BatchRunning  int                       `json:"batchRunning"`
	Loaded        []sardinerock.LoadedModel `json:"loaded,omitempty"`
}

// ProcessStatus is the state of one entry or side and the bundle version that it uses.
type ProcessStatus struct {
	ID      string           `json:"id"`
	Role    sardinerock.Role `json:"role"`
	Zone    string           `json:"zone"`
	State   string           `json:"state"`
	Version int64            `json:"version"`
	Since   time.Time        `json:"since,omitzero"`
}

const (
	// maxStatusJobs is the maximum number of jobs in a status.
	maxStatusJobs = 100
	// statusJobsTimeout limits the time to read the jobs for a status.
	statusJobsTimeout = 2 * time.Second
)

func (s *Server) showStatus(x *calls.Exchange) error {
	if err := x.RequireOperator(); err != nil {
		return err
	}
	var st Status
	if s.Status != nil {
		st = s.Status()
	}
	c := x.Directory.Snapshot
	st.Version, st.Digest, st.Since = c.Version, c.Digest, c.Since
	s.addJobs(x, &st)
	x.WriteJSON(http.StatusOK, st)
	return nil
}

// addJobs adds the jobs to the status if the log can be read within statusJobsTimeout.
// Operators need the rest of the status most when the log is unavailable.
func (s *Server) addJobs(x *calls.Exchange, st *Status) {
	ctx, cancel := context.WithTimeout(x.R.Context(), statusJobsTimeout)
	defer cancel()
	jobs, err := s.Jobs.List(ctx, "", maxStatusJobs)
	if err != nil {
		st.JobsFault = err.Error()
		return
	}
	st.Jobs = jobs
}

func (s *Server) cancelJob(x *calls.Exchange) error {
	if err := x.RequireOperator(); err != nil {
		return err
	}
	job, err := s.Jobs.Cancel(x.R.Context(), x.Caller.Name, x.R.PathValue("id"))
	if err != nil {
		return err
	}
	x.WriteJSON(http.StatusOK, job)
	return nil
}

// Published is the response to an operator whose bundle is now in force.
type Published struct {
	Version int64     `json:"version"`
	Digest  string    `json:"digest"`
	Since   time.Time `json:"since"`
}

func (s *Server) publish(x *calls.Exchange) error {
	raw, err := x.ReadBody()
	if err != nil {
		return err
	}
	operator, err := s.operator(x, raw)
	if err != nil {
		return err
	}
	c, err := s.Publisher.Publish(raw, operator)
	if err != nil {
		return err
	}
	x.WriteJSON(http.StatusOK, Published{Version: c.Version, Digest: c.Digest, Since: c.Since})
	return nil
}

// operator authenticates the operator who publishes a bundle and returns the name.
//
// Before the first bundle no caller is known. The first bundle is then accepted with a token
// that the bundle itself gives to an operator; the settings can require sign-offs in
// addition. It must be based on version 0: an entry that has just started has no
// configuration either, and without that rule a stranger could publish over a bundle that
// the entry has not read yet.
func (s *Server) operator(x *calls.Exchange, raw []byte) (string, error) {
	if s.currentDirectory() == nil {
		first, faults := bundle.Parse(raw)
		if len(faults) > 0 {
			return "", forms.Refuse(sardinerock.CodeInvalidRequest, faults[0].Path, "%s", faults[0])
		}
		if first.BasedOn != 0 {
			return "", grants.NotReady()
		}
		x.Directory = grants.New(&sardinerock.ConfigSnapshot{Bundle: first})
		token, err := grants.BearerToken(x.R)
		if err != nil {
			return "", err
		}
		x.Caller = x.Directory.CallerByToken(token)
		if x.Caller == nil {
			return "", forms.Refuse(sardinerock.CodeUnauthorized, "", "the first bundle must name your bearer token as that of an operator")
		}
	} else if err := s.authenticate(x); err != nil {
		return "", err
	}
	return x.Caller.Name, x.RequireOperator()
}

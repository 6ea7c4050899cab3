package httpd

import (
	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/calls"
	"github.com/sardinerock/sardinerock/forms"
	"github.com/sardinerock/sardinerock/grants"
)

// NewRequest builds the request of one batch item under the configuration in force, by the
// same rules as for a caller's online request. The error is a *sardinerock.Refusal.
func (s *Server) NewRequest(caller, path string, body []byte) (*sardinerock.Request, error) {
	d := s.currentDirectory()
	if d == nil {
		return nil, grants.NotReady()
	}
	return d.ItemRequest(caller, path, body)
}

// currentDirectory returns the directory of the configuration in force, or nil if there is none.
func (s *Server) currentDirectory() *grants.Directory {
	c := s.Publisher.Current()
	if c == nil {
		return nil
	}
	d := s.directory.Load()
	if d == nil || d.Snapshot != c {
		d = grants.New(c)
		s.directory.Store(d)
	}
	return d
}

// authenticate identifies the caller by the bearer token. The configuration it uses applies to the whole call.
func (s *Server) authenticate(x *calls.Exchange) error {
	x.Directory = s.currentDirectory()
	if x.Directory == nil {
		return grants.NotReady()
	}
	token, err := grants.BearerToken(x.R)
	if err != nil {
		return err
	}
	x.Caller = x.Directory.CallerByToken(token)
	if x.Caller == nil {
		return forms.Refuse(sardinerock.CodeUnauthorized, "", "the bearer token belongs to no caller of the bundle in force")
	}
	return nil
}

package httpd

import (
	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/calls"
	"github.com/sardinerock/sardinerock/svcapi"
)

// callService forwards a call to a plain service.
func (s *Server) callService(x *calls.Exchange) error {
	service, err := x.Directory.Service(x.Caller, x.R.PathValue("service"))
	if err != nil {
		return err
	}
	deadline, err := x.Deadline()
	if err != nil {
		return err
	}
	innerPath, err := svcapi.InnerPath(x.R)
	if err != nil {
		return err
	}
	body, err := x.ReadBody()
	if err != nil {
		return err
	}
	r := svcapi.NewRequest(x, service, innerPath, body)
	r.Deadline = deadline
	x.Request = r.ID
	result, err := s.Online.Serve(x.R.Context(), r, func(sardinerock.Token) error { return nil })
	if err != nil {
		return err
	}
	svcapi.WriteReply(x, result.Reply)
	return nil
}

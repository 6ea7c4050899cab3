package remote

import (
	"context"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
)

// Service is a client of one backend server of a plain service.
type Service struct {
	Sender
}

// Call implements sardinerock.PlainService.
func (s *Service) Call(ctx context.Context, r *sardinerock.ServiceRequest) (*sardinerock.ServiceReply, error) {
	header := make(http.Header, len(r.Header))
	for name, value := range r.Header {
		header.Set(name, value)
	}
	response, err := s.Send(ctx, r.Method, r.Path, header, r.Body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBody+1))
	if err != nil {
		return nil, merry.Prepend(err, "plain service: answer broke off")
	}
	if len(body) > maxReplyBody {
		return nil, merry.Errorf("plain service: answer is longer than %d bytes", maxReplyBody)
	}
	reply := &sardinerock.ServiceReply{Status: response.StatusCode, Body: body, Header: map[string]string{}}
	reply.Unframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
	for name := range response.Header {
		reply.Header[name] = response.Header.Get(name)
	}
	return reply, nil
}

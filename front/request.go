package front

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
	"github.com/sardinerock/sardinerock/grants"
)

// TimeoutHeader carries how long the caller waits for the whole answer, in milliseconds.
const TimeoutHeader = "Sardinerock-Timeout-Ms"

// NewRequest makes the request of one batch item, under the configuration in
// force and by the same rules as a caller's own call. The error is a *sardinerock.Refusal.
func (s *Server) NewRequest(caller, path string, body []byte) (*sardinerock.Request, error) {
	d := s.current()
	if d == nil {
		return nil, grants.NotReady()
	}
	return d.ItemRequest(caller, path, body)
}

// current returns the index of the configuration in force, or nil.
func (s *Server) current() *grants.Directory {
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

// authenticate finds the caller by the bearer token, under the configuration that holds for the whole call.
func (s *Server) authenticate(x *exchange) error {
	x.directory = s.current()
	if x.directory == nil {
		return grants.NotReady()
	}
	token, err := grants.Bearer(x.r)
	if err != nil {
		return err
	}
	x.caller = x.directory.Holder(token)
	if x.caller == nil {
		return forms.Refuse(sardinerock.CodeUnauthorized, "", "the bearer token belongs to no caller of the bundle in force")
	}
	return nil
}

// deadline reads until when the caller waits.
func (s *Server) deadline(r *http.Request) (time.Time, error) {
	wait := s.limits.DefaultDeadline
	if h := r.Header.Get(TimeoutHeader); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms < 1 || ms > s.limits.MaxDeadline.Milliseconds() {
			return time.Time{}, forms.Refuse(sardinerock.CodeInvalidRequest, TimeoutHeader,
				"the header %s must be a number of milliseconds from 1 to %d", TimeoutHeader, s.limits.MaxDeadline.Milliseconds())
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	return s.Clock().Add(wait), nil
}

// readBody reads a whole body within the limits of online requests.
func (s *Server) readBody(x *exchange) ([]byte, error) {
	s.limitRead(x, s.limits.OnlineBody, s.limits.ReadTimeout)
	raw, err := readAll(x.r.Body)
	if err != nil {
		return nil, err
	}
	s.unlimitRead(x)
	return raw, nil
}

// limitRead bounds the body in bytes and time. Servers without deadlines of
// their own, as in tests, are left at the limit in bytes.
func (s *Server) limitRead(x *exchange, limit int64, timeout time.Duration) {
	_ = http.NewResponseController(x.w).SetReadDeadline(s.Clock().Add(timeout))
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
}

// unlimitRead takes the read deadline off once the body is in. It would
// otherwise run out during a long answer, look like a caller that hung up, and
// cancel the request.
func (s *Server) unlimitRead(x *exchange) {
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
}

// extendWrite gives the next write its time. A caller that does not read fills
// the connection's buffers; without a deadline the write would block for good
// and hold the request's slot at the engine.
func (s *Server) extendWrite(x *exchange) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(s.Clock().Add(s.limits.WriteTimeout))
}

// readAll reads a body that is bounded already.
func readAll(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, forms.ReadFault(err)
	}
	return raw, nil
}

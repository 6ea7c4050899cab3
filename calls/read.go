package calls

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
)

// TimeoutHeader is the request header with the caller's timeout for the whole answer, in milliseconds.
const TimeoutHeader = "Sardinerock-Timeout-Ms"

// Deadline returns the time until which the caller waits, from TimeoutHeader or
// DefaultDeadline. An invalid header gives a CodeInvalidRequest refusal.
func (x *Exchange) Deadline() (time.Time, error) {
	wait := x.Limits.DefaultDeadline
	if h := x.R.Header.Get(TimeoutHeader); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms < 1 || ms > x.Limits.MaxDeadline.Milliseconds() {
			return time.Time{}, forms.Refuse(sardinerock.CodeInvalidRequest, TimeoutHeader,
				"the header %s must be a number of milliseconds from 1 to %d", TimeoutHeader, x.Limits.MaxDeadline.Milliseconds())
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	return x.Clock().Add(wait), nil
}

// ReadBody reads the whole body within OnlineBody and ReadTimeout.
func (x *Exchange) ReadBody() ([]byte, error) {
	x.LimitRead(x.Limits.OnlineBody, x.Limits.ReadTimeout)
	raw, err := readAll(x.R.Body)
	if err != nil {
		return nil, err
	}
	x.ClearReadDeadline()
	return raw, nil
}

// LimitRead limits the body in bytes and time. If the connection has no read
// deadlines, as in tests, only the limit in bytes applies.
func (x *Exchange) LimitRead(limit int64, timeout time.Duration) {
	_ = http.NewResponseController(x.W).SetReadDeadline(x.Clock().Add(timeout))
	x.R.Body = http.MaxBytesReader(x.W, x.R.Body, limit)
}

// ClearReadDeadline removes the read deadline after the body has been read. It
// would otherwise expire during a long answer, be taken for a disconnect of the
// caller and cancel the request.
func (x *Exchange) ClearReadDeadline() {
	_ = http.NewResponseController(x.W).SetReadDeadline(time.Time{})
}

// ExtendWriteDeadline sets the deadline of the next write. A caller that does not
// read fills the connection's buffers; without a deadline the write would block
// forever and occupy the request's slot at the engine.
func (x *Exchange) ExtendWriteDeadline() {
	_ = http.NewResponseController(x.W).SetWriteDeadline(x.Clock().Add(x.Limits.WriteTimeout))
}

// readAll reads a body whose size is limited by LimitRead.
func readAll(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, forms.ReadFault(err)
	}
	return raw, nil
}

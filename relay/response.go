package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/budget"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/intake"
	"github.com/sardinerock/sardinerock/pool"
)

// handleResponse forwards a response to the caller. It returns the result of the
// attempt, and whether the backend server is at fault.
func (p *proxyRequest) handleResponse(resp *conns.Response, choice *pool.Choice) (result attemptResult, failed bool) {
	if resp.StatusCode >= http.StatusInternalServerError && !resp.NotRun {
		p.relay.Pool.RecordAbort(resp.Server(), time.Now())
	}
	switch {
	case resp.NotRun:
		// Status 421 means that another instance has the address; the intended one no longer exists.
		p.turnedAway = resp.StatusCode != http.StatusMisdirectedRequest
		return notRun, resp.StatusCode == http.StatusMisdirectedRequest
	case resp.StatusCode < 300 && !resp.Signed:
		p.runs++
		return incomplete, true
	case resp.StatusCode >= 500 && p.mayRunAgain() && !p.started:
		p.runs++
		return incomplete, false
	case p.started && resp.StatusCode >= 300:
		p.runs++
		return incomplete, false
	}
	p.runs++
	if resp.StatusCode < 300 && p.route.Kind == sardinerock.RouteStream && (isStream(resp) || p.started) {
		return p.forwardStream(resp, choice)
	}
	return p.forwardComplete(resp, choice)
}

// forwardComplete forwards a response once it is complete, so that the request can be
// repeated if the response is cut off. A large response is streamed, and one for which there is no memory.
func (p *proxyRequest) forwardComplete(resp *conns.Response, choice *pool.Choice) (attemptResult, bool) {
	buffer := bufferSize(resp)
	if taken := readGrowth * int64(buffer); intake.Take(p.request.Context(), taken) {
		defer intake.Give(p.request.Context(), taken)
		p.relay.Conns.Held.Add(budget.Bodies, taken)
		defer p.relay.Conns.Held.Add(budget.Bodies, -taken)
	} else {
		buffer = 0
	}
	body, err := io.ReadAll(io.LimitReader(resp, int64(buffer)+1))
	switch {
	case err == nil && len(body) <= buffer:
		size := len(body)
		if p.call.Method == http.MethodHead {
			size = int(resp.ContentLength)
		}
		p.writeHead(resp, size)
		p.write(body)
		return p.finish(resp, conns.EndProven)
	case err == nil && p.held != nil && resp.ContentLength < 0:
		return p.rejectUnbuffered()
	case err == nil:
		p.writeHead(resp, int(resp.ContentLength))
		p.write(body)
		body = nil
		if _, err = io.Copy(p.writer, resp.Bounded(maxUnstatedResponse)); err == nil {
			return p.finish(resp, conns.EndProven)
		}
	}
	if !errors.Is(err, conns.ErrUnproven) {
		if p.started {
			p.abort(err)
		}
		return incomplete, p.ctx.Err() == nil && !errors.Is(err, conns.ErrNoRoom)
	}
	end := p.checkInstance(resp, choice)
	p.logUnproven(resp, end)
	if end == conns.EndConfirmed {
		p.writeHead(resp, len(body))
		p.write(body)
	}
	result, failed := p.finish(resp, end)
	if result == incomplete && p.started {
		// A further run's body can't follow the part that was sent.
		p.abort(p.endError)
	}
	return result, failed
}

// bufferSize returns how much of a response is buffered at most, in bytes.
func bufferSize(resp *conns.Response) int {
	if resp.ContentLength >= 0 && resp.ContentLength < maxBufferedResponse {
		return int(resp.ContentLength)
	}
	return maxBufferedResponse
}

// writeHead sends the head of the response; a negative size means that the size is unknown. A caller that speaks HTTP/1.1
// gets chunks then, whose last one is sent once the response is known to be complete: an end without framing would look
// the same whether the response is complete, it is aborted, or this process dies.
func (p *proxyRequest) writeHead(resp *conns.Response, size int) {
	if p.started {
		return
	}
	p.started = true
	now := time.Now()
	p.firstByte = now.Sub(p.received)
	p.timings.headReceived(now)
	h := p.writer.Header()
	p.relay.Dialect.CopyResponse(h, resp.Response)
	if size >= 0 {
		h.Set("Content-Length", strconv.Itoa(size))
	}
	if size < 0 {
		p.hold()
	}
	p.writer.WriteHeader(resp.StatusCode)
}

// write sends bytes to the caller. An error means that the caller has disconnected,
// and cancels the request.
func (p *proxyRequest) write(b []byte) {
	if _, err := p.writer.Write(b); err != nil && !errors.Is(err, errUnbuffered) {
		p.cancel()
	}
}

// forwardStream forwards complete events as they arrive, so that after a failure another backend server's events
// can follow the last one. If the end of the stream proves nothing, the backend server is asked for more events
// where the route allows it, or for its health.
func (p *proxyRequest) forwardStream(resp *conns.Response, choice *pool.Choice) (attemptResult, bool) {
	asked := false
	for {
		before := p.events
		err := p.forwardEvents(resp, choice)
		end := conns.EndProven
		switch {
		case errors.Is(err, errUnbuffered):
			return p.rejectUnbuffered()
		case errors.Is(err, io.EOF):
		case !errors.Is(err, conns.ErrUnproven):
			if errors.Is(err, conns.ErrInsideEvent) {
				p.logUnproven(resp, conns.EndInsideEvent)
			}
			p.endError = err
			return incomplete, p.ctx.Err() == nil && !errors.Is(err, conns.ErrNoRoom) && !errors.Is(err, errNotBegun)
		case asked && p.events == before:
			end = p.checkInstance(resp, choice)
		default:
			var more *conns.Response
			more, end = p.askForMore(resp, choice)
			p.logUnproven(resp, end)
			if more != nil {
				defer more.Finish()
				resp, asked = more, true
				continue
			}
		}
		return p.finish(resp, end)
	}
}

// forwardEvents forwards the events of one response and returns the error that ended it.
func (p *proxyRequest) forwardEvents(resp *conns.Response, choice *pool.Choice) error {
	flush := http.NewResponseController(p.writer)
	reader := &conns.EventReader{Response: resp, ReadDeadline: p.eventDeadline}
	for {
		since := time.Now()
		e, err := reader.Next()
		if err == nil && !conns.IsNextEvent(p.position.LastEvent, e.ID) {
			return errUnexpectedEvent
		}
		now := time.Now()
		if len(e.Raw) > 0 {
			if begin := p.beginStream(choice); begin != nil {
				return begin
			}
			p.writeHead(resp, -1)
			p.write(e.Raw)
			if p.held != nil && p.held.full {
				return errUnbuffered
			}
		}
		if err != nil {
			return err
		}
		p.timings.eventReceived(now)
		p.meter.Event(since, now)
		if e.HasData() || e.ID != "" {
			p.unidentified = e.ID == ""
		}
		if e.ID != "" {
			p.position.LastEvent = e.ID
		}
		p.events++
		p.eventForwarded(now)
		// An error means that the caller has disconnected, which cancels the request's context.
		_ = flush.Flush()
	}
}

// eventDeadline returns when a stream without a further event counts as broken; zero
// means never.
func (p *proxyRequest) eventDeadline() time.Time {
	if p.mayResume() && p.events > 0 {
		return time.Now().Add(eventTimeout)
	}
	return time.Time{}
}

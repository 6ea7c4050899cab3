package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/event"
)

// handleResponse forwards a response to the caller. It returns the result of the
// attempt, and whether the backend server is at fault.
func (p *proxyRequest) handleResponse(resp *conns.Response) (result attemptResult, failed bool) {
	if resp.StatusCode >= http.StatusInternalServerError && !resp.NotRun {
		p.relay.Pool.RecordAbort(resp.Server(), time.Now())
	}
	switch {
	case resp.NotRun:
		// Status 421 means that another instance has the address; the intended one no longer exists.
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
	if resp.StatusCode < 300 && p.route.Kind == sardinerock.RouteStream && isStream(resp) {
		return p.forwardStream(resp)
	}
	return p.forwardComplete(resp)
}

// forwardComplete forwards a response once it is complete, so that the request can be
// repeated if the response is cut off. A large response is streamed.
func (p *proxyRequest) forwardComplete(resp *conns.Response) (attemptResult, bool) {
	body, err := io.ReadAll(io.LimitReader(resp, maxBufferedResponse+1))
	if err != nil {
		return incomplete, p.ctx.Err() == nil
	}
	if len(body) <= maxBufferedResponse {
		p.logUnproven(resp, 0)
		size := len(body)
		if resp.Framing() == conns.FramingNone {
			size = -1
		}
		p.writeHead(resp, size)
		p.write(body)
		p.served(resp)
		return answered, false
	}
	p.writeHead(resp, int(resp.ContentLength))
	p.write(body)
	if _, err := io.Copy(p.writer, resp); err != nil {
		p.abort(err)
	}
	p.logUnproven(resp, 0)
	p.served(resp)
	return answered, false
}

// logUnproven logs the end of a response if its framing doesn't prove that it is complete. partial is the
// number of bytes after the last complete event.
func (p *proxyRequest) logUnproven(resp *conns.Response, partial int) {
	if resp.Framing() != conns.FramingNone && partial == 0 {
		return
	}
	p.relay.count("relay.endUnproven")
	p.relay.Events.Warn(event.EndUnproven).Str("request", p.call.ID).Str("server", resp.Server()).Str("framing", string(resp.Framing())).
		Int("events", p.events).Int("partial", partial).Dur("took", time.Since(p.timings.sent)).Msg("the end of a response doesn't prove that it is complete")
}

// writeHead sends the head of the response; a negative size means that the size is unknown. A response without
// framing is forwarded without framing, so that its end proves no more to the caller than it did here.
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
	switch {
	case size >= 0:
		h.Set("Content-Length", strconv.Itoa(size))
	case resp.Framing() == conns.FramingNone:
		sardinerock.OmitFraming(h)
	}
	p.writer.WriteHeader(resp.StatusCode)
}

// write sends bytes to the caller. An error means that the caller has disconnected,
// and cancels the request.
func (p *proxyRequest) write(b []byte) {
	if _, err := p.writer.Write(b); err != nil {
		p.cancel()
	}
}

// forwardStream forwards complete events as they arrive, so that after a failure
// another backend server's events can follow the last one.
func (p *proxyRequest) forwardStream(resp *conns.Response) (attemptResult, bool) {
	flush := http.NewResponseController(p.writer)
	reader := &conns.EventReader{Response: resp, ReadDeadline: p.eventDeadline}
	for {
		since := time.Now()
		e, err := reader.Next()
		if len(e.Raw) > 0 && (err == nil || errors.Is(err, io.EOF)) {
			if !conns.IsNextEvent(p.resume, e.ID) {
				return incomplete, true
			}
			p.writeHead(resp, -1)
			now := time.Now()
			p.timings.eventReceived(now)
			p.meter.Event(since, now)
			p.write(e.Raw)
			if e.ID != "" {
				p.resume = e.ID
			}
			p.events++
			if err == nil {
				// An error means that the caller has disconnected, which cancels the request's context.
				_ = flush.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			p.logUnproven(resp, reader.Partial())
			p.writeHead(resp, -1)
			p.served(resp)
			return answered, false
		}
		if err != nil {
			if errors.Is(err, conns.ErrInsideEvent) {
				p.logUnproven(resp, reader.Partial())
			}
			return incomplete, p.ctx.Err() == nil
		}
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

package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/admit"
	"github.com/sardinerock/sardinerock/conns"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/intake"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/speed"
)

const (
	// headTimeout is how long a backend server with a free slot may take to start its
	// response before a repeatable request is retried elsewhere. Responses usually start
	// after some 30 ms; an unreachable backend server never starts one.
	headTimeout = 800 * time.Millisecond
	// eventTimeout is the same for the time between two events, which usually arrive
	// every 30 ms. It is longer than any pause of an engine, and shorter than the 2 s after
	// which callers disconnect.
	eventTimeout = 700 * time.Millisecond
	// minRemaining is the remaining time below which no attempt is started, since its
	// response would be too late.
	minRemaining = 20 * time.Millisecond
	// maxBufferedResponse is the size in bytes up to which a response is buffered until
	// it is complete.
	maxBufferedResponse = 256 << 10
	// readGrowth is how many times its size a buffered response takes while it is read.
	readGrowth = 2
	// maxUnstatedResponse bounds the size in bytes of a response that doesn't state it.
	maxUnstatedResponse = 256 << 20
)

// attemptResult says how an attempt ended.
type attemptResult int

const (
	// answered means that the caller has received its final response.
	answered attemptResult = iota
	// notRun means that the backend server did not run the request.
	notRun
	// incomplete means that the request may have run, but no complete response was received.
	incomplete
)

// proxyRequest is a caller's request while it is forwarded, over all attempts.
type proxyRequest struct {
	relay    *Relay
	writer   http.ResponseWriter
	request  *http.Request
	ctx      context.Context
	cancel   context.CancelFunc
	route    *sardinerock.Route
	call     *sardinerock.Call
	version  int64
	service  string
	received time.Time
	// keyValid reports whether the caller's key is still valid; nil if callers have no keys.
	keyValid func() bool
	// waitedBefore is how long the caller had waited in earlier requests when this one arrived.
	waitedBefore time.Duration
	deadline     time.Time
	// startDeadline is when the caller disconnects if its response has not started.
	startDeadline time.Time
	// fingerprint is the same for each resend of the request.
	fingerprint uint64
	part        partCheck
	// knownFailures is the number of failures during the request, at all entries, that were known when
	// the present attempt was sent.
	knownFailures int

	// tried holds the backend servers that must not be tried again.
	tried map[string]bool
	// runs counts the attempts that may have run, rejections those that did not.
	runs, rejections int
	// position is after the last event that was sent to the caller, or the one after which it asked to
	// resume. unidentified is set if an event without an id was sent after that one.
	position     sardinerock.Position
	unidentified bool
	// stream identifies the stream when its caller resumes it at any entry; 0 if the caller doesn't name the
	// request that began it.
	stream uint64
	// begun is set once the stream is bound to the version of its first event, cannotBegin if it can't be recorded in the store
	// that version and there is none that needs no record.
	begun, cannotBegin bool
	// cannotResume is why a stream can't go on anywhere, or empty.
	cannotResume string
	// turnedAway is set if the backend server had no room for the present attempt, full holds the backend servers
	// that had none for a stream that goes on.
	turnedAway bool
	full       map[string]bool
	// started is set once the head of the response was sent to the caller.
	started   bool
	events    int
	firstByte time.Duration
	// serviceInfo is the configuration of the service.
	serviceInfo sardinerock.ServiceInfo
	// waiter represents the request in the queue of this entry.
	waiter *admit.Waiter
	// offered is the backend server whose slot was offered to the request, or empty.
	offered string
	// ordered is set if the request has a team or a priority, yielded once it has left a
	// free slot to others.
	ordered, yielded bool
	// expectedRun is how long the request is expected to hold a slot.
	expectedRun time.Duration
	// reservation is the slot reserved for the next attempt, or nil.
	reservation *conns.Reservation
	timings     timings
	// meter measures the time between the events of the present attempt.
	meter speed.Meter
	// end is how the response of the present attempt ended, and endError shows that the backend server broke
	// it off if that isn't an error of the response itself.
	end      conns.End
	endError error
	// proof is what shows whether that response is complete, and framing its framing.
	proof   conns.Proof
	framing conns.Framing
	// held is the writer for a caller that speaks HTTP/1.0, or nil, and heldBytes the memory taken for it.
	held      *heldWriter
	heldBytes int64
}

func (p *proxyRequest) run() {
	defer p.cancel()
	defer func() { intake.Give(p.request.Context(), p.heldBytes) }()
	if p.cannotResume != "" {
		p.rejectResumption(p.cannotResume)
		return
	}
	for {
		if blocked := p.relay.Crashes.Blocked(p.fingerprint, time.Now()); blocked > 0 {
			p.rejectCrashing(blocked)
			return
		}
		if !p.awaitParts() {
			return
		}
		if !p.mayBegin() {
			return
		}
		p.preferBase()
		choice, ok := p.chooseServer()
		if !ok || !p.checkKey(&choice) {
			return
		}
		if !p.checkShutdown(&choice) {
			return
		}
		if !p.beginRun(&choice) {
			continue
		}
		if !p.checkCrashes(&choice) {
			p.relay.Blame.Done(p.part.run)
			return
		}
		result := p.attempt(&choice)
		if result == answered || !p.shouldRetry(result, &choice) {
			return
		}
	}
}

// checkKey ends the request if the caller's key was revoked while the request waited
// for a slot or for an attempt elsewhere. A response that has started continues.
func (p *proxyRequest) checkKey(choice *pool.Choice) bool {
	if p.keyValid == nil || p.started || p.keyValid() {
		return true
	}
	p.release(choice)
	if p.runs > 0 {
		p.giveUp("the caller's key was taken away", 0)
	} else {
		p.reject(http.StatusUnauthorized, "the caller's key was taken away", 0)
	}
	return false
}

// checkCrashes ends the request if it became known, while it waited for a slot, that backend servers fail
// during it.
func (p *proxyRequest) checkCrashes(choice *pool.Choice) bool {
	now := time.Now()
	known, blocked := p.relay.Crashes.Send(p.fingerprint, now)
	p.knownFailures = known
	if blocked <= 0 {
		blocked = p.relay.Crashes.ChargeTrial(p.ctx, p.fingerprint, now)
	}
	if blocked <= 0 {
		return true
	}
	p.release(choice)
	p.rejectCrashing(blocked)
	return false
}

// rejectCrashing sends the final response to a request that ends the backend servers that run it.
func (p *proxyRequest) rejectCrashing(blocked time.Duration) {
	const reason = "backend servers broke during this request before"
	p.relay.Events.Warn(event.Quarantined).Str("request", p.call.ID).Str("content", p.content()).Strs("parts", p.call.SharedParts).Int("runs", p.runs).Dur("blocked", blocked).Msg("request is assumed to end backend servers")
	if p.runs > 0 {
		p.giveUp(reason, 0)
		return
	}
	p.reject(http.StatusUnprocessableEntity, reason, blocked)
}

// release gives a chosen slot back.
func (p *proxyRequest) release(choice *pool.Choice) {
	p.relay.Pool.CancelOnline(choice.ID)
	if p.reservation != nil {
		p.reservation.Close()
	}
}

// chooseServer chooses the next backend server, or sends the final response if there is none.
func (p *proxyRequest) chooseServer() (pool.Choice, bool) {
	choice, ok := p.chooseReserved()
	if !ok {
		return choice, false
	}
	if choice.Full() && choice.Batch > 0 && p.reservation == nil {
		p.relay.Preempt(choice.ID)
	}
	p.relay.Events.Info(event.RouteChosen).Str("request", p.call.ID).Str("route", p.route.Name).Str("team", p.call.Team).Int64("config", p.version).
		Str("server", choice.ID).Str("version", choice.Version).Int("online", choice.Online).Int("batch", choice.Batch).Int("slots", choice.Slots).Float64("factor", choice.Factor).
		Bool("doubted", choice.Ejected).Bool("reserved", p.reservation != nil).Str("resume", p.position.LastEvent).Str("resumes", p.call.Resumes).Int("runs", p.runs).Msg("sent")
	return choice, true
}

func (p *proxyRequest) admissionRequest(choice *pool.Choice) admit.Request {
	now := time.Now()
	capacity := p.relay.Pool.Capacity(p.service, now)
	entries := float64(p.relay.Entries())
	headroom := admit.Headroom(p.relay.onTimeRates.PerSecond(p.service, now)*entries, p.relay.ViewAge(), capacity.Servers)
	aboveShare := false
	if p.ordered {
		var others float64
		if aboveShare, others = p.relay.queue.AboveShare(p.service, p.waiter, now); aboveShare {
			headroom = admit.ShareHeadroom(others*entries, p.relay.ViewAge(), capacity.Servers)
		}
	}
	return admit.Request{
		Online:       choice.Online,
		Slots:        choice.Slots,
		Run:          p.relay.Pool.RunOn(choice.ID, capacity.Run),
		AverageRun:   capacity.Run,
		FirstByte:    capacity.FirstByte,
		Waited:       p.waitedBefore + now.Sub(p.received),
		Remaining:    p.endBy().Sub(now),
		StartTimeout: p.startDeadline.Sub(now),
		Target:       p.route.LatencyTarget,
		Stream:       p.route.Kind == sardinerock.RouteStream,
		Reserves:     p.canReserve(),
		Started:      p.goesOn(),
		MustYield:    !choice.Full() && p.relay.queue.MustYield(p.service, p.waiter, now),
		AboveShare:   aboveShare,
		Headroom:     headroom,
		Ahead:        p.relay.queue.Ahead(p.service, p.waiter, now),
		Share:        admit.Share(capacity.OwnOnline, capacity.Slots, p.relay.Entries()),
	}
}

// attempt sends the request once.
func (p *proxyRequest) attempt(choice *pool.Choice) attemptResult {
	sent := time.Now()
	remaining := p.endBy().Sub(sent)
	p.timings.attemptSent(sent)
	p.meter, p.end, p.endError, p.turnedAway = speed.Meter{}, "", nil, false
	p.proof, p.framing = conns.ProofNone, ""
	p.startRun(sent)
	resp, err := p.relay.Conns.Send(p.ctx, &choice.BackendServer, p.call, sardinerock.Attempt{
		Instance: choice.Name, Remaining: remaining, Position: p.position, HeadTimeout: p.headTimeoutFor(choice),
	}, p.reservation)
	defer p.relay.Blame.Done(p.part.run)
	if err != nil {
		p.endRun(choice, sent, p.ctx.Err() == nil && !errors.Is(err, conns.ErrNoRoom))
		if errors.Is(err, conns.ErrTooLarge) {
			p.countEnd(incomplete, err)
			p.logTooLarge(choice, err)
		}
		p.timings.add(&p.timings.failed, sent)
		p.logFailure(choice, err)
		if errors.Is(err, conns.ErrNotSent) {
			return notRun
		}
		p.runs++
		if p.ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, conns.ErrNoRoom) {
			p.brokenOff(choice, sent, err, false)
		}
		return incomplete
	}
	defer resp.Finish()
	p.framing = resp.Framing()
	result, failed := p.handleAttempt(resp, choice, sent)
	switch {
	case result != answered && !p.started:
		p.timings.add(&p.timings.failed, sent)
	case result == answered && !failed:
		p.relay.Crashes.RecordResponse(p.fingerprint, time.Now())
		if resp.StatusCode < http.StatusMultipleChoices {
			p.completed()
			p.recordRun(time.Since(sent))
		}
		p.relay.Pool.RecordServed(choice.ID, pool.Sample{
			Timing: pool.Timing{Run: time.Since(sent), FirstByte: p.timings.firstByte}, Queued: choice.Full() || p.runs > 1,
			Speed: p.speedSample(choice), At: time.Now(),
		})
	}
	return result
}

// content identifies the request's content in log lines.
func (p *proxyRequest) content() string { return strconv.FormatUint(p.fingerprint, 16) }

// handleAttempt forwards the response of an attempt, and ends its run also if the caller's connection is
// aborted, which is a panic. Then it isn't known whether the caller or the backend server broke off, and the
// backend server isn't ejected.
func (p *proxyRequest) handleAttempt(resp *conns.Response, choice *pool.Choice, sent time.Time) (result attemptResult, failed bool) {
	result = incomplete
	defer func() {
		err := cmp.Or(resp.Err(), p.endError)
		if errors.Is(err, conns.ErrBrokenOff) && p.ctx.Err() == nil {
			p.brokenOff(choice, sent, err, true)
		}
		if result != notRun {
			p.countEnd(result, err)
		}
		p.logTooLarge(choice, err)
		p.endRun(choice, sent, failed)
	}()
	return p.handleResponse(resp, choice)
}

// brokenOff records that a backend server ended the connection during a run, or sent bytes that are no
// response. Silence, a complete response without a signature and a status of failure don't count: the
// backend server goes on. head is set if the head of the response had arrived.
func (p *proxyRequest) brokenOff(choice *pool.Choice, sent time.Time, err error, head bool) {
	p.relay.Crashes.RecordFailure(p.fingerprint, p.knownFailures, time.Now())
	p.relay.Blame.Failed(p.part.run, pool.Hash(choice.ID), time.Now())
	p.relay.count("relay.brokenOff")
	p.relay.Events.Warn(event.BackendBrokeOff).Str("request", p.call.ID).Str("server", choice.ID).Str("content", p.content()).Strs("parts", p.call.SharedParts).
		Bool("head", head).Int("events", p.events).Int("runs", p.runs).Int("known", p.knownFailures).Dur("took", time.Since(sent)).Err(err).Msg("backend server ended the connection during a request")
}

// speedSample returns what the response shows of the backend server's speed.
func (p *proxyRequest) speedSample(choice *pool.Choice) speed.Sample {
	s := p.meter.Sample(choice.Load())
	if !choice.Full() {
		s.FirstByte = p.timings.firstByte
	}
	return s
}

// headTimeoutFor returns how long the head of the response may take; 0 means until the deadline.
func (p *proxyRequest) headTimeoutFor(choice *pool.Choice) time.Duration {
	if !p.mayRunAgain() || choice.Full() {
		return 0
	}
	return headTimeout
}

// mayRunAgain reports whether the route allows another run after the one in progress.
func (p *proxyRequest) mayRunAgain() bool {
	return p.route.Repeatable() && p.runs+1 < p.route.MaxAttempts
}

// mayResume reports whether the route allows a retry of an incomplete run, which
// p.runs already counts. What follows an event without an id can't be asked for.
func (p *proxyRequest) mayResume() bool {
	return p.route.Repeatable() && p.runs < p.route.MaxAttempts && !p.unidentified
}

// shouldRetry decides whether to retry after an attempt without a final response.
func (p *proxyRequest) shouldRetry(result attemptResult, choice *pool.Choice) bool {
	p.tried[choice.ID] = true
	if p.turnedAway && p.goesOn() {
		p.full[choice.ID] = true
	}
	switch {
	case p.ctx.Err() != nil || time.Until(p.endBy()) < minRemaining:
		p.timedOut()
		return false
	case result == notRun:
		p.rejections++
		if p.rejections < maxRejections || p.turnedAway && p.goesOn() {
			return true
		}
		p.giveUp("backend servers turned it away", busyRetryAfter)
		return false
	case p.cannotBegin:
		p.giveUp(reasonNotRecorded, 0)
		return false
	case p.mayResume():
		p.relay.count("relay.retried")
		p.relay.Events.Info(event.Retried).Str("request", p.call.ID).Str("server", choice.ID).Int("runs", p.runs).
			Str("resume", p.position.LastEvent).Int("events", p.events).Msg("no complete response; retrying on another backend server")
		return true
	}
	p.giveUp("the backend server broke off", 0)
	return false
}

// callerDisconnected logs a caller that disconnected before its response was complete.
func (p *proxyRequest) callerDisconnected() {
	p.relay.count("relay.left")
	p.relay.count("route." + p.route.Name + ".left")
	p.countTeam(".left")
	p.timings.addFields(p.relay.Events.Info(event.CallerLeft)).Str("request", p.call.ID).Str("route", p.route.Name).
		Dur("before", p.waitedBefore).Dur("took", time.Since(p.received)).Int("events", p.events).Int("runs", p.runs).Msg("caller disconnected before its response was complete")
}

// giveUp sends the final response of a request that can't be served. Status 503 says
// that the request has not run, so it is only used if that is certain.
func (p *proxyRequest) giveUp(reason string, retryAfter time.Duration) {
	switch {
	case p.started && !p.isHeld():
		p.abort(errors.New(reason))
	case p.callerLeft():
		p.callerDisconnected()
	case p.runs == 0:
		p.reject(http.StatusServiceUnavailable, reason, retryAfter)
	case time.Until(p.endBy()) < minRemaining:
		p.reject(http.StatusGatewayTimeout, reason, 0)
	default:
		p.reject(http.StatusBadGateway, reason, 0)
	}
}

func (p *proxyRequest) reject(status int, reason string, retryAfter time.Duration) {
	if p.held != nil {
		p.held.discard()
		p.writer = p.held.ResponseWriter
	}
	p.relay.count("relay.failed." + strconv.Itoa(status))
	p.relay.count("route." + p.route.Name + ".failed")
	p.countTeam(".failed")
	p.timings.addFields(p.relay.Events.Warn(event.RequestRefused)).Str("request", p.call.ID).Str("route", p.route.Name).Str("team", p.call.Team).Int("priority", p.waiter.Priority).Int64("config", p.version).
		Int("status", status).Str("reason", reason).Int("runs", p.runs).Int("refusals", p.rejections).
		Dur("before", p.waitedBefore).Dur("took", time.Since(p.received)).Dur("retryAfter", retryAfter).Msg("request rejected")
	sardinerock.WriteRefusal(p.relay.Dialect, p.writer, status, reason, retryAfter)
}

// abort closes the caller's connection in the middle of a response, so that the part
// sent can't be mistaken for a complete response.
func (p *proxyRequest) abort(err error) {
	p.relay.count("relay.aborted")
	p.relay.count("route." + p.route.Name + ".failed")
	p.countTeam(".failed")
	p.countCallerFraming()
	p.timings.addFields(p.relay.Events.Warn(event.AnswerBroken)).Str("request", p.call.ID).Str("route", p.route.Name).Err(err).
		Str("framing", string(p.framing)).Str("end", string(p.end)).Str("proof", string(p.proof)).Str("toCaller", string(p.callerFraming())).
		Int("events", p.events).Int("runs", p.runs).Dur("took", time.Since(p.received)).Msg("response incomplete; aborting the caller's connection")
	sardinerock.AbortResponse(p.writer, p.request)
}

func (p *proxyRequest) served(resp *conns.Response) {
	p.relay.count("relay.served." + strconv.Itoa(resp.StatusCode/100) + "xx")
	p.relay.count("route." + p.route.Name + ".served")
	p.countTeam(".served")
	metrics.GetOrRegisterTimer("relay.first", p.relay.Metrics).Update(p.firstByte)
	metrics.GetOrRegisterTimer("relay.whole", p.relay.Metrics).UpdateSince(p.received)
	p.countCallerFraming()
	e := p.relay.Events.Info(event.RequestServed)
	if p.late() {
		p.relay.count("route." + p.route.Name + ".late")
		p.countTeam(".late")
		e = p.timings.addFields(e).Bool("late", true).Dur("before", p.waitedBefore).Dur("target", p.route.LatencyTarget).Dur("pause", p.route.GapTarget)
	}
	e.Str("request", p.call.ID).Str("route", p.route.Name).Int("status", resp.StatusCode).
		Dur("first", p.firstByte).Str("framing", string(resp.Framing())).Str("end", string(p.end)).Str("proof", string(p.proof)).Str("toCaller", string(p.callerFraming())).
		Dur("took", time.Since(p.received)).Int("events", p.events).Int("runs", p.runs).Msg("answered")
}

func (p *proxyRequest) logFailure(choice *pool.Choice, err error) {
	p.relay.Events.Warn(event.TryFailed).Str("request", p.call.ID).Str("server", choice.ID).Err(err).
		Dur("took", time.Since(p.received)).Msg("attempt failed")
}

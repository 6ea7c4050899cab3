package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/retry"
	"github.com/sardinerock/sardinerock/route"
	"github.com/sardinerock/sardinerock/wire"
)

// failure is an attempt that ended without the whole answer.
type failure struct {
	refusal *sardinerock.Refusal
}

func failed(code sardinerock.Code, outcome sardinerock.Outcome, message string) *failure {
	return &failure{refusal: &sardinerock.Refusal{Code: code, Outcome: outcome, Message: message}}
}

// attempt runs the request once, on one backend server.
func (c *course) attempt(ctx context.Context) (sardinerock.Result, *failure) {
	started := time.Now()
	l, query, f := c.choose(started)
	if f != nil {
		return sardinerock.Result{}, f
	}
	start := c.frame(query, started)
	sample := route.Sample{}
	var load *wire.Load
	defer func() { c.finished(l, start, query.Class, sample, load) }()
	a, err := l.client.Start(start)
	if err != nil {
		return sardinerock.Result{}, notSent(err)
	}
	t := &taker{course: c}
	result, f := t.takeAll(ctx, a)
	sample, load = t.sample(f), t.load
	if f == nil {
		c.entry.remember(c.request, c.version)
	}
	return result, f
}

// choose picks a backend server and counts the attempt there.
func (c *course) choose(now time.Time) (*sideLink, route.Query, *failure) {
	e, r := c.entry, c.request
	query := route.Query{
		Model: r.Model, Version: r.Version, Adapter: r.Adapter, Service: r.Service,
		Zone: e.Zone, Class: r.Class, Prefixes: r.Prefixes, Exclude: c.tried, Fingerprint: r.Fingerprint,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	query.Alone = c.alone || e.suspects.Check(now, r.Fingerprint) == retry.Suspect
	if query.Alone {
		// All trials of a suspect meet at one backend server, also those after a failure there.
		query.Exclude = nil
	}
	c.alone = query.Alone
	query.Version = c.pickVersion(query)
	choice, ok := e.table.Pick(now, query)
	if !ok {
		e.Events.Warn(event.RouteNone).Str("request", r.ID).Str("model", r.Model).Str("version", r.Version).Str("service", r.Service).Msg("no backend server")
		f := failed(sardinerock.CodeNoBackend, sardinerock.OutcomeNotRun, "no backend server can take the request now")
		f.refusal.RetryAfter = noBackendRetry
		return nil, query, f
	}
	l := e.links[choice.ID]
	c.version = query.Version
	e.table.Started(now, choice.ID, query)
	c.tried = append(c.tried, choice.ID)
	e.Events.Info(event.RouteChosen).Str("request", r.ID).Str("caller", r.Caller).Str("backend", choice.ID).
		Str("reason", string(choice.Reason)).Int("prefix", choice.Matched).Int("attempt", c.attempts).Msg("routed")
	return l, query, nil
}

// noBackendRetry is when to come back if nothing serves the model: a restarted backend server needs about that long.
const noBackendRetry = 2 * time.Second

// servedKey names a grant: a caller's use of a model.
type servedKey struct {
	caller string
	model  string
}

// pickVersion returns the version that answers, which is for a while the
// previous one after a change. The rest of an answer comes from the version that
// began it. Callers hold e.mu.
func (c *course) pickVersion(query route.Query) string {
	if c.delivered > 0 {
		return c.version
	}
	e := c.entry
	older := query
	older.Version = e.previousVersion(c.request)
	if older.Version == "" || older.Version == query.Version {
		return query.Version
	}
	shift, complete := e.table.Shift(query, older, c.request.ID)
	if complete {
		e.served[servedKey{caller: c.request.Caller, model: c.request.Model}] = query.Version
	}
	if !shift {
		return older.Version
	}
	return query.Version
}

// previousVersion returns the version that last answered the grant, if the
// bundle in force still lists it. Callers hold e.mu.
//
// A bundle moves a caller from version 1 to version 2, and the weight store
// needs two minutes until the first engine holds version 2. Refusing for two
// minutes would turn each change of version into an outage. A bundle that
// doesn't list version 1 any more has withdrawn it, though: then nothing may be
// answered by it, and refusing is right.
func (e *Entry) previousVersion(r *sardinerock.Request) string {
	current := e.keeper.Current()
	if r.Service != "" || current == nil {
		return ""
	}
	previous := e.served[servedKey{caller: r.Caller, model: r.Model}]
	for _, m := range current.Bundle.Models {
		for _, v := range m.Versions {
			if m.Name == r.Model && v.Name == previous {
				return previous
			}
		}
	}
	return ""
}

// remember notes the version that answered; during a change that is left to pickVersion.
func (e *Entry) remember(r *sardinerock.Request, version string) {
	if r.Service != "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.previousVersion(r) == "" {
		e.served[servedKey{caller: r.Caller, model: r.Model}] = version
	}
}

// frame builds the attempt's Start and notes it as in flight.
func (c *course) frame(query route.Query, now time.Time) *wire.Start {
	e, r := c.entry, c.request
	start := &wire.Start{
		RequestId:    r.ID,
		Caller:       r.Caller,
		Key:          r.Key,
		Batch:        r.Class == sardinerock.ClassBatch,
		Path:         r.Path,
		Model:        r.Model,
		Version:      query.Version,
		Adapter:      r.Adapter,
		Service:      r.Service,
		Method:       r.Method,
		Header:       r.Header,
		Body:         r.Body,
		Idempotent:   r.Idempotent,
		PromptTokens: uint32(r.PromptTokens),
		MaxTokens:    uint32(r.MaxTokens),
		Prefixes:     r.Prefixes,
		Fingerprint:  r.Fingerprint,
		LeftMs:       uint32(max(0, r.Deadline.Sub(now).Milliseconds())),
		ResumeTokens: uint32(c.delivered),
		ResumeText:   string(c.text),
		Alone:        c.alone,
	}
	if current := e.keeper.Current(); current != nil {
		start.ConfigVersion = current.Version
		e.callers.of(current).weigh(start)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counter++
	start.Attempt = strconv.FormatUint(e.counter, 36)
	if l := e.links[c.tried[len(c.tried)-1]]; l != nil {
		l.inFlight[start.Attempt] = flight{fingerprint: r.Fingerprint, alone: c.alone}
	}
	return start
}

func (c *course) finished(l *sideLink, start *wire.Start, class sardinerock.Class, sample route.Sample, load *wire.Load) {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(l.inFlight, start.Attempt)
	e.table.Finished(time.Now(), l.instance.ID, class, sample)
	if load == nil {
		return
	}
	e.table.UpdateLoad(l.instance.ID, route.Load{
		Slots:         int(load.Slots),
		OnlineRunning: int(load.OnlineRunning),
		OnlineWaiting: int(load.OnlineWaiting),
		BatchRunning:  int(load.BatchRunning),
		BatchCredit:   int(load.BatchCredit),
	})
}

// lossID names the loss of an instance, the same in every entry that had work there.
func lossID(instance string) uint64 { return xxhash.Sum64String(instance) }

// taker takes the frames of one attempt.
type taker struct {
	course *course
	first  time.Time
	last   time.Time
	tokens int
	// load is what the attempt's end told of the side.
	load *wire.Load
}

// notSent is an attempt that never left, as the link was down. It counts as
// finding no backend server: when something loses track of all connections at
// once, every link is down for some 50 ms, and five attempts that don't wait are
// over within one, for all callers at the same moment.
func notSent(err error) *failure {
	f := failed(sardinerock.CodeNoBackend, sardinerock.OutcomeNotRun, err.Error())
	f.refusal.RetryAfter = noBackendRetry
	return f
}

// takeAll passes tokens on until the attempt ends.
func (t *taker) takeAll(ctx context.Context, a *link.Attempt) (sardinerock.Result, *failure) {
	for {
		frame, err := a.Next(ctx)
		if err != nil {
			return sardinerock.Result{}, t.broken(ctx, a, err)
		}
		if end := frame.GetEnd(); end != nil {
			return t.ended(end)
		}
		for _, token := range frame.GetTokens().GetTokens() {
			if f := t.take(token); f != nil {
				a.Cancel()
				return sardinerock.Result{}, f
			}
		}
	}
}

// take passes one token on. An index seen before is left out and one too high
// ends the attempt: with either passed on, the caller would read a sentence with
// words doubled or missing and could not tell.
func (t *taker) take(token *wire.Token) *failure {
	c := t.course
	index := int(token.Index)
	if index < c.delivered {
		return nil
	}
	if index > c.delivered {
		return failed(sardinerock.CodeBackendLost, sardinerock.OutcomeUnknown, "the backend server left out tokens")
	}
	t.last = time.Now()
	if t.tokens == 0 {
		t.first = t.last
	}
	t.tokens++
	if err := c.emit(sardinerock.Token{Index: index, Text: token.Text}); err != nil {
		return failed(sardinerock.CodeCancelled, sardinerock.OutcomeRan, "the caller stopped reading")
	}
	c.delivered++
	c.text = append(c.text, token.Text...)
	return nil
}

func (t *taker) broken(ctx context.Context, a *link.Attempt, err error) *failure {
	switch {
	case errors.Is(err, link.ErrNotSent):
		return notSent(err)
	case errors.Is(err, link.ErrLost):
		return failed(sardinerock.CodeBackendLost, sardinerock.OutcomeUnknown, err.Error())
	}
	a.Cancel()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f := failed(sardinerock.CodeDeadline, sardinerock.OutcomeUnknown, "no whole answer within the request's time")
		f.refusal.RetryAfter = noBackendRetry
		return f
	}
	return failed(sardinerock.CodeCancelled, sardinerock.OutcomeUnknown, "the caller has gone")
}

func (t *taker) ended(end *wire.End) (sardinerock.Result, *failure) {
	t.load = end.Load
	if end.Code != "" {
		return sardinerock.Result{}, &failure{
			refusal: &sardinerock.Refusal{
				Code:       sardinerock.Code(end.Code),
				Message:    end.Message,
				Outcome:    sardinerock.Outcome(end.Outcome),
				RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
			},
		}
	}
	result := sardinerock.Result{EngineResult: sardinerock.EngineResult{
		FinishReason:     end.FinishReason,
		PromptTokens:     int(end.PromptTokens),
		CompletionTokens: int(end.CompletionTokens),
	}}
	if end.Reply != nil {
		result.Reply = &sardinerock.ServiceReply{Status: int(end.Reply.Status), Header: end.Reply.Header, Body: end.Reply.Body}
	}
	return result, nil
}

// sample is what the attempt showed of its backend server.
func (t *taker) sample(f *failure) route.Sample {
	var s route.Sample
	if t.tokens > 1 {
		s.TokenGap = t.last.Sub(t.first) / time.Duration(t.tokens-1)
	}
	s.Whole = f == nil
	s.Failed = f != nil && f.refusal.Code == sardinerock.CodeBackendLost
	return s
}

package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/route"
	"github.com/sardinerock/sardinerock/sides"
	"github.com/sardinerock/sardinerock/verify"
	"github.com/sardinerock/sardinerock/wire"
)

// errNoReply reports a call of a plain service that a side ended without a failure and without a reply.
var errNoReply = errors.New("entry: call of a service ended without a reply")

// failure describes an attempt that ended without a complete answer.
type failure struct {
	refusal *sardinerock.Refusal
}

func newFailure(code sardinerock.Code, outcome sardinerock.Outcome, message string) *failure {
	return &failure{refusal: &sardinerock.Refusal{Code: code, Outcome: outcome, Message: message}}
}

// attempt sends the request to one backend server and forwards the answer to the caller.
func (x *execution) attempt(ctx context.Context) (sardinerock.Result, *failure) {
	started := time.Now()
	spec := sides.Spec{Request: x.request, Attempt: x.attempts, Tried: x.tried, Alone: x.alone}
	if x.delivered > 0 {
		spec.Pinned = x.version
	}
	assignment, ok := x.entry.sides.Choose(started, spec)
	if !ok {
		f := newFailure(sardinerock.CodeNoBackend, sardinerock.OutcomeNotRun, "no backend server can take the request now")
		f.refusal.RetryAfter = noBackendRetryAfter
		return sardinerock.Result{}, f
	}
	x.tried = append(x.tried, assignment.Backend)
	x.version, x.alone = assignment.Version, assignment.Alone
	sample := route.Sample{}
	var load *wire.Load
	defer func() { x.entry.sides.Finished(assignment, sample, load) }()
	a, err := x.entry.sides.Start(assignment, x.frame(started))
	if err != nil {
		return sardinerock.Result{}, notSent(err)
	}
	r := &reader{execution: x}
	result, f := r.forward(ctx, a)
	sample, load = r.sample(f), r.load
	if f == nil {
		x.entry.sides.Answered(x.request, x.version)
	}
	return result, f
}

// noBackendRetryAfter is the retry delay sent to callers when no backend server could
// take or finish the request; the restart of a backend server takes about as long.
const noBackendRetryAfter = 2 * time.Second

// frame builds the Start message of the attempt.
func (x *execution) frame(now time.Time) *wire.Start {
	e, r := x.entry, x.request
	start := &wire.Start{
		RequestId:    r.ID,
		Caller:       r.Caller,
		Key:          r.Key,
		Batch:        r.Class == sardinerock.ClassBatch,
		Path:         r.Path,
		Model:        r.Model,
		Version:      x.version,
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
		ResumeTokens: uint32(x.delivered),
		ResumeText:   string(x.text),
		Alone:        x.alone,
	}
	if current := e.configManager.Current(); current != nil {
		start.ConfigVersion = current.Version
		e.callers.forSnapshot(current).setWeights(start)
	}
	return start
}

// reader receives the frames of one attempt and forwards its tokens.
type reader struct {
	execution *execution
	first     time.Time
	last      time.Time
	tokens    int
	// load is the side's load reported in the End frame; nil if there was none.
	load *wire.Load
}

// notSent returns the failure of an attempt that was not sent because the link
// was down. Its code is CodeNoBackend, for which a retry waits: if a network
// device drops the state of all connections at once, every link is down for about
// 50 ms, and five attempts without a delay would fail within 1 ms for all callers.
func notSent(err error) *failure {
	f := newFailure(sardinerock.CodeNoBackend, sardinerock.OutcomeNotRun, err.Error())
	f.refusal.RetryAfter = noBackendRetryAfter
	return f
}

// forward forwards tokens to the caller until the attempt ends.
func (r *reader) forward(ctx context.Context, a *link.Attempt) (sardinerock.Result, *failure) {
	for {
		frame, err := a.Next(ctx)
		if err != nil {
			return sardinerock.Result{}, r.linkFailure(ctx, a, err)
		}
		if end := frame.GetEnd(); end != nil {
			return r.handleEnd(end)
		}
		for _, token := range frame.GetTokens().GetTokens() {
			if f := r.forwardToken(token); f != nil {
				a.Cancel()
				return sardinerock.Result{}, f
			}
		}
	}
}

// forwardToken forwards one token. A token that was already delivered is skipped,
// and a gap in the indexes ends the attempt: otherwise the caller would get a text
// with repeated or missing words and could not detect it.
func (r *reader) forwardToken(token *wire.Token) *failure {
	x := r.execution
	index := int(token.Index)
	if index < x.delivered {
		return nil
	}
	if index > x.delivered {
		return newFailure(sardinerock.CodeBackendLost, sardinerock.OutcomeUnknown, "the backend server left out tokens")
	}
	r.last = time.Now()
	if r.tokens == 0 {
		r.first = r.last
	}
	r.tokens++
	if err := x.emit(sardinerock.Token{Index: index, Text: token.Text}); err != nil {
		return newFailure(sardinerock.CodeCancelled, sardinerock.OutcomeRan, "the caller stopped reading")
	}
	x.delivered++
	x.text = append(x.text, token.Text...)
	return nil
}

// linkFailure returns the failure for an error of link.Attempt.Next.
func (r *reader) linkFailure(ctx context.Context, a *link.Attempt, err error) *failure {
	switch {
	case errors.Is(err, link.ErrNotSent):
		return notSent(err)
	case errors.Is(err, link.ErrLost):
		return newFailure(sardinerock.CodeBackendLost, sardinerock.OutcomeUnknown, err.Error())
	}
	a.Cancel()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f := newFailure(sardinerock.CodeDeadline, sardinerock.OutcomeUnknown, "no whole answer within the request's time")
		f.refusal.RetryAfter = noBackendRetryAfter
		return f
	}
	return newFailure(sardinerock.CodeCancelled, sardinerock.OutcomeUnknown, "the caller has gone")
}

// handleEnd converts the End frame into a result or a failure.
func (r *reader) handleEnd(end *wire.End) (sardinerock.Result, *failure) {
	r.load = end.Load
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
	if r.execution.request.Service != "" {
		if err := checkReply(end.Reply); err != nil {
			return sardinerock.Result{}, newFailure(sardinerock.CodeBackendLost, sardinerock.OutcomeUnknown, err.Error())
		}

		result.Reply = &sardinerock.ServiceReply{Status: int(end.Reply.Status), Header: end.Reply.Header, Body: end.Reply.Body, Unframed: end.Reply.Unframed}
	}
	return result, nil
}

// checkReply returns an error for a reply that can't be one of a plain service. A side that doesn't check what it receives passes it
// on, and to write such a reply to a caller is a panic, or a success without its body.
func checkReply(reply *wire.ServiceReply) error {
	if reply == nil {
		return errNoReply
	}
	if reply.Status < http.StatusOK {
		return fmt.Errorf("entry: reply has status %d, want a final one", reply.Status)
	}
	head := &http.Response{ProtoMajor: 1, StatusCode: int(reply.Status), Status: strconv.Itoa(int(reply.Status)), Header: http.Header{}}
	for name, value := range reply.Header {
		head.Header[name] = []string{value}
	}
	return errors.Join(verify.Status(head), verify.Names(head.Header))
}

// sample returns what routing learns about the backend server from this attempt.
func (r *reader) sample(f *failure) route.Sample {
	var s route.Sample
	if r.tokens > 1 {
		s.TokenGap = r.last.Sub(r.first) / time.Duration(r.tokens-1)
	}
	s.Complete = f == nil
	s.Failed = f != nil && f.refusal.Code == sardinerock.CodeBackendLost
	return s
}

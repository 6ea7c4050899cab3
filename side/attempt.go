package side

import (
	"context"
	"errors"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/link"
	"github.com/sardinerock/sardinerock/wire"
)

// Reasons for which the side ends an attempt; their texts reach callers.
var (
	errPreempted  = errors.New("made room for online work")
	errCancelled  = errors.New("cancelled by the entry")
	errNoProgress = errors.New("backend server showed no progress")
	errLinkLost   = errors.New("link to the entry lost")
)

// attemptKey returns a key that is unique among the attempts of all entries; two entries may use the same id.
func attemptKey(session *link.Session, id string) string { return session.EntryID + "/" + id }

// attempt is one attempt at a request, queued in the gate or running.
type attempt struct {
	key     string
	session *link.Session
	start   *wire.Start
	// cancel is nil while the attempt is queued.
	cancel context.CancelCauseFunc
}

// apply carries out the decisions of the gate. The caller holds s.mu.
func (s *Side) apply(actions []sardinerock.GateAction) {
	for _, action := range actions {
		a := s.attempts[action.Attempt]
		if a == nil {
			continue
		}
		switch action.Kind {
		case sardinerock.GateStart:
			s.launch(a, action.Waited)
		case sardinerock.GateRefuse:
			s.Events.Info(event.GateRefused).Str("attempt", a.start.Attempt).Str("caller", a.start.Caller).
				Str("code", string(action.Refusal.Code)).Dur("retryAfter", action.Refusal.RetryAfter).Msg(action.Refusal.Message)
			delete(s.attempts, a.key)
			a.session.SendEnd(refusalEnd(a.start.Attempt, action.Refusal))
		case sardinerock.GatePreempt:
			s.Events.Info(event.GatePreempted).Str("attempt", a.start.Attempt).Str("caller", a.start.Caller).Msg(errPreempted.Error())
			if a.cancel != nil {
				a.cancel(errPreempted)
			}
		}
	}
}

// launch starts an admitted attempt. The caller holds s.mu.
func (s *Side) launch(a *attempt, waited time.Duration) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	a.cancel = cancel
	s.Events.Info(event.GateAdmitted).Str("attempt", a.start.Attempt).Str("caller", a.start.Caller).
		Bool("batch", a.start.Batch).Dur("waited", waited).Msg("admitted")
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer cancel(nil)
		s.run(ctx, a)
	}()
}

// run runs an attempt on the backend server and sends its End, exactly once.
func (s *Side) run(ctx context.Context, a *attempt) {
	sample := sardinerock.GateSample{PromptTokens: int(a.start.PromptTokens)}
	var end *wire.End
	if s.Plain != nil {
		end = s.callService(ctx, a)
	} else {
		end = s.generate(ctx, a, &sample)
	}
	end.Attempt = a.start.Attempt
	sample.Failed = end.Code != ""
	if end.Crashed {
		s.recordCrash(a)
	}
	s.mu.Lock()
	delete(s.attempts, a.key)
	if !sample.Failed {
		s.suspects.RecordSuccess(time.Now(), a.start.Fingerprint, a.start.Alone)
	}
	actions := s.gate.Done(time.Now(), a.key, sample)
	end.Load = s.load()
	a.session.SendEnd(end)
	s.apply(actions)
	s.mu.Unlock()
}

// generate runs an attempt on the model engine and forwards its tokens to the entry.
func (s *Side) generate(ctx context.Context, a *attempt, sample *sardinerock.GateSample) *wire.End {
	timer, cancel := newProgressTimer(ctx, s.FirstTokenTimeout, s.TokenTimeout)
	defer cancel()
	request := &sardinerock.EngineRequest{
		Attempt:      a.start.Attempt,
		Path:         a.start.Path,
		Model:        a.start.Model,
		Version:      a.start.Version,
		Adapter:      a.start.Adapter,
		Body:         a.start.Body,
		ResumeTokens: int(a.start.ResumeTokens),
		ResumeText:   a.start.ResumeText,
	}
	result, err := s.Engine.Generate(timer.ctx, request, func(t sardinerock.Token) error {
		sample.CompletionTokens++
		timer.reset()
		s.emit(a, t, sample.CompletionTokens == 1)
		return nil
	})
	if err != nil {
		return s.failedEnd(timer.ctx, err)
	}
	return &wire.End{
		Outcome:          uint32(sardinerock.OutcomeRan),
		FinishReason:     result.FinishReason,
		PromptTokens:     uint32(result.PromptTokens),
		CompletionTokens: uint32(result.CompletionTokens),
	}
}

// emit reports a token to the gate and sends it to the entry.
func (s *Side) emit(a *attempt, t sardinerock.Token, first bool) {
	now := time.Now()
	s.mu.Lock()
	s.gate.Token(now, a.key)
	if first {
		// The engine has processed the prompt, so the gate may start the next batch
		// prompt now. Until the next tick the engine would process none.
		s.apply(s.gate.Tick(now))
	}
	s.mu.Unlock()
	tokens := &wire.Tokens{Attempt: a.start.Attempt, Tokens: []*wire.Token{{Index: uint32(t.Index), Text: t.Text}}}
	a.session.Send(&wire.SideFrame{Body: &wire.SideFrame_Tokens{Tokens: tokens}})
}

// callService runs an attempt on a plain service.
func (s *Side) callService(ctx context.Context, a *attempt) *wire.End {
	limit := time.Duration(a.start.LeftMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := s.Plain.Call(ctx, &sardinerock.ServiceRequest{
		Method: a.start.Method,
		Path:   a.start.Path,
		Header: a.start.Header,
		Body:   a.start.Body,
	})
	if err != nil {
		return s.failedEnd(ctx, err)
	}
	return &wire.End{
		Outcome: uint32(sardinerock.OutcomeRan),
		Reply:   &wire.ServiceReply{Status: uint32(reply.Status), Header: reply.Header, Body: reply.Body, Unframed: reply.Unframed},
	}
}

// failedEnd returns the End of a failed attempt, with the outcome that is proved: not run or unknown.
func (s *Side) failedEnd(ctx context.Context, err error) *wire.End {
	end := &wire.End{Message: err.Error()}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(err, sardinerock.ErrModelNotLoaded):
		end.Code = string(sardinerock.CodeNoBackend)
		end.Outcome = uint32(sardinerock.OutcomeNotRun)
	case errors.Is(err, sardinerock.ErrNotSent):
		end.Code = string(sardinerock.CodeBackendLost)
		end.Outcome = uint32(sardinerock.OutcomeNotRun)
	case errors.Is(cause, errPreempted):
		end.Code = string(sardinerock.CodePreempted)
		end.Message = errPreempted.Error()
		end.Preempted = true
	case errors.Is(cause, errCancelled), errors.Is(cause, errLinkLost):
		end.Code = string(sardinerock.CodeCancelled)
		end.Message = cause.Error()
	case errors.Is(cause, errNoProgress):
		end.Code = string(sardinerock.CodeBackendLost)
		end.Message = errNoProgress.Error()
	case errors.Is(cause, context.DeadlineExceeded):
		end.Code = string(sardinerock.CodeDeadline)
	default:
		// The connection broke during the request. This counts as a crash of the
		// backend server until the request has completed while running alone.
		end.Code = string(sardinerock.CodeBackendLost)
		end.Crashed = true
	}
	return end
}

// progressTimer cancels an attempt if the backend server sends no token in time.
type progressTimer struct {
	ctx   context.Context
	timer *time.Timer
	next  time.Duration
}

func newProgressTimer(parent context.Context, first, next time.Duration) (*progressTimer, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(first, func() { cancel(errNoProgress) })
	stop := func() {
		timer.Stop()
		cancel(nil)
	}
	return &progressTimer{ctx: ctx, timer: timer, next: next}, stop
}

// reset restarts the timer after a token.
func (p *progressTimer) reset() { p.timer.Reset(p.next) }

func refusalEnd(id string, r *sardinerock.Refusal) *wire.End {
	return &wire.End{
		Attempt:      id,
		Code:         string(r.Code),
		Message:      r.Message,
		Outcome:      uint32(r.Outcome),
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
	}
}

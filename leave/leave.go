package leave

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// answerTime is reserved for what comes after a run: its last bytes have to be passed on and the response sent.
const answerTime = 50 * time.Millisecond

// Outcome is what became of a request.
type Outcome string

// The outcomes of requests.
const (
	// Answered requests have a complete response that isn't one of the others.
	Answered Outcome = "answered"
	// Refused requests have a response that says that they have not run.
	Refused Outcome = "refused"
	// Failed requests may have run, and their response says no more.
	Failed Outcome = "failed"
	// Cut requests have no complete response.
	Cut Outcome = "cut"
)

// Counts are the numbers of requests of a shutdown: those in progress when it began, those taken after that, and the
// outcomes of both.
type Counts struct {
	InProgress, Taken              int
	Answered, Refused, Failed, Cut int
}

// Shutdown follows the requests of an entry from its start on. Its zero value is ready; a nil Shutdown never begins.
type Shutdown struct {
	// Runs are the run times of requests.
	Runs Runs

	mu   sync.Mutex
	open int
	// begun is set once the shutdown has begun, end is when all requests have to be answered.
	begun  bool
	end    time.Time
	counts Counts
	// bodies are those that are being read.
	bodies map[*body]struct{}
	// ended is cancelled by Finish; nil until it is needed.
	ended  context.Context
	finish context.CancelFunc
}

// ErrEnded is the cause of the end of contexts that Bind returns, once the requests in progress have to be answered.
var ErrEnded = errors.New("leave: the time of the shutdown is up")

// Begin begins the shutdown. All requests have to be answered by end.
func (s *Shutdown) Begin(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun, s.end = true, end
	s.counts.InProgress = s.open
	for b := range s.bodies {
		b.begin(end)
	}
}

// End returns by when all requests have to be answered; ok is false if the shutdown hasn't begun.
func (s *Shutdown) End() (end time.Time, ok bool) {
	if s == nil {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end, s.begun
}

// CanEnd reports whether a request that is sent now and takes run ends in time. One whose own deadline comes before the end
// does.
func (s *Shutdown) CanEnd(now, deadline time.Time, run time.Duration) bool {
	end, leaving := s.End()
	return !leaving || !deadline.After(end) || !now.Add(run+answerTime).After(end)
}

// Finish ends what still is in progress.
func (s *Shutdown) Finish() {
	s.endContext()
	s.finish()
}

// endContext returns a context that Finish cancels.
func (s *Shutdown) endContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended, s.finish = context.WithCancel(context.Background())
	}
	return s.ended
}

// Bind returns a context that ends with ctx, or when Finish is called.
func (s *Shutdown) Bind(ctx context.Context) (context.Context, context.CancelFunc) {
	if s == nil {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(s.endContext(), func() { cancel(ErrEnded) })
	return ctx, func() {
		release()
		cancel(context.Canceled)
	}
}

// BindBody is like Bind for the time in which the body of a request is read that takes run after that: the context ends as
// soon as there is too little time left, unless the deadline of the request comes before the end of the shutdown.
func (s *Shutdown) BindBody(ctx context.Context, deadline time.Time, run time.Duration) (context.Context, context.CancelFunc) {
	if s == nil {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	b := &body{deadline: deadline, run: run, end: func() { cancel(ErrEnded) }}
	s.mu.Lock()
	if s.bodies == nil {
		s.bodies = map[*body]struct{}{}
	}
	s.bodies[b] = struct{}{}
	if s.begun {
		b.begin(s.end)
	}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.bodies, b)
		b.stop()
		s.mu.Unlock()
		cancel(context.Canceled)
	}
}

// body is a body that is being read.
type body struct {
	deadline time.Time
	run      time.Duration
	// end ends the read. timer calls it; nil before the shutdown.
	end   func()
	timer *time.Timer
}

// begin sets when the read has to end.
func (b *body) begin(end time.Time) {
	if b.deadline.After(end) {
		b.timer = time.AfterFunc(time.Until(end.Add(-b.run-answerTime)), b.end)
	}
}

func (b *body) stop() {
	if b.timer != nil {
		b.timer.Stop()
	}
}

// Before returns the earlier of t and the time by when all requests have to be answered.
func (s *Shutdown) Before(t time.Time) time.Time {
	if end, leaving := s.End(); leaving && end.Before(t) {
		return end
	}
	return t
}

// Enter records a request that was received.
func (s *Shutdown) Enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	if s.begun {
		s.counts.Taken++
	}
}

// Exit records the end of a request with the status of its response, or 0 if that isn't complete. It returns the
// outcome, and whether the shutdown has begun.
func (s *Shutdown) Exit(status int) (o Outcome, leaving bool) {
	o = outcome(status)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if s.begun {
		s.counts.add(o, 1)
	}
	return o, s.begun
}

// Close returns the counts at the end of the shutdown, where requests still in progress are cut.
func (s *Shutdown) Close() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.add(Cut, s.open)
	return counts
}

func (c *Counts) add(o Outcome, n int) {
	switch o {
	case Answered:
		c.Answered += n
	case Refused:
		c.Refused += n
	case Failed:
		c.Failed += n
	case Cut:
		c.Cut += n
	}
}

// outcome returns the outcome of a request by the status of its response.
func outcome(status int) Outcome {
	switch status {
	case 0:
		return Cut
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return Refused
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return Failed
	}
	return Answered
}

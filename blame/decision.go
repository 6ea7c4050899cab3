package blame

import "time"

// Action is what is to be done with a request.
type Action int

const (
	// Allow means that the request may be sent.
	Allow Action = iota
	// Wait means that the request has to wait until another one with a suspect cause has begun to write, or failed.
	Wait
	// Reject means that the request must not be sent.
	Reject
)

// Decision is what is to be done with a request, and why.
type Decision struct {
	Action Action
	// RetryAfter is how long the request must not be sent.
	RetryAfter time.Duration
	// Proven is set if a trial has failed since the causes were blamed.
	Proven bool
	// Causes are the blamed or suspect causes.
	Causes []Cause
}

// Run is a run that was sent.
type Run struct {
	causes []Cause
	sent   time.Time
	// trial holds the causes of the verdict if the run is a trial.
	trial []Cause
	ended bool
}

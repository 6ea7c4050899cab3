package access

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/intake"
	"github.com/sardinerock/sardinerock/leave"
)

const (
	// jobBytesPerByte and jobBytesPerColon estimate the memory of a decoded job from its body: its strings and decoded bodies,
	// and its items and their headers, which have a colon each.
	jobBytesPerByte  = 4
	jobBytesPerColon = 128
	// memoryRetryAfter is the retry delay sent to callers for whose requests there is no memory. It is short, as the retry
	// reaches another entry.
	memoryRetryAfter = 200 * time.Millisecond
	// leavingRetryAfter is the retry delay sent by an entry that leaves. It is short, as retries reach other entries.
	leavingRetryAfter = 100 * time.Millisecond
	// acceptTime is how long the store usually takes at most to accept a batch job.
	acceptTime = 500 * time.Millisecond
)

// readBody reads the body of a request into its call. If it can't, it rejects the request and returns false.
func (a *Access) readBody(w http.ResponseWriter, r *http.Request, table *sardinerock.RouteTable, route *sardinerock.Route, call *sardinerock.Call, received time.Time) bool {
	wait := intake.BodyTimeout
	for _, limit := range []time.Duration{call.Timeout, route.Timeout} {
		if limit > 0 {
			wait = min(wait, limit)
		}
	}
	deadline := received.Add(wait)
	ctx, cancel := a.Shutdown.BindBody(r.Context(), deadline, a.expectedRun(route))
	defer cancel()
	var err error
	call.Body, err = intake.ReadBody(ctx, r, table.Limits.MaxBodyBytes, deadline)
	if errors.Is(err, intake.ErrTooSlow) && errors.Is(context.Cause(ctx), leave.ErrEnded) {
		err = leave.ErrEnded
	}
	if err == nil && route.Kind == sardinerock.RouteBatch && !intake.TakeEstimate(r.Context(), jobBytes(call.Body)) {
		err = intake.ErrNoMemory
	}
	if err == nil {
		return true
	}
	// The response is sent at once, and the rest of the body isn't waited for.
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		a.reject(w, r, http.StatusRequestEntityTooLarge, err.Error(), 0)
	case errors.Is(err, intake.ErrNoMemory):
		a.reject(w, r, http.StatusServiceUnavailable, err.Error(), memoryRetryAfter)
	case errors.Is(err, leave.ErrEnded):
		a.reject(w, r, http.StatusServiceUnavailable, leavingReason, leavingRetryAfter)
	case errors.Is(err, intake.ErrTooSlow):
		a.reject(w, r, http.StatusRequestTimeout, err.Error(), 0)
	default:
		a.reject(w, r, http.StatusBadRequest, err.Error(), 0)
	}
	return false
}

// expectedRun returns how long a request takes at most once its body was received.
func (a *Access) expectedRun(route *sardinerock.Route) time.Duration {
	if a.Shutdown == nil {
		return 0
	}
	if route.Kind == sardinerock.RouteBatch {
		return acceptTime
	}
	run, _ := a.Shutdown.Runs.Expected(route)
	return run
}

// jobBytes estimates the memory that a job takes beside its body.
func jobBytes(body []byte) int64 {
	return int64(jobBytesPerByte*len(body) + jobBytesPerColon*bytes.Count(body, []byte{':'}))
}

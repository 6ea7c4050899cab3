// Package quota enforces at each entry the limits that callers and teams have for
// the whole fleet. It has no network, clock or goroutine: the time is an argument.
// Limiter is not safe for concurrent use; Teams is.
package quota

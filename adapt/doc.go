// Package adapt estimates, from the measurements of a gate, what its backend server can
// do: how many slots to use, how many to reserve for bursts, how long prompts and answers
// take, and whether a queue means a burst or overload. It uses no network, clock or
// goroutine: the caller passes the time and holds the lock.
package adapt

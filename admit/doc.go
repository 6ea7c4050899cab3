// Package admit decides what is let in: Gate at a backend server's side, Fifo
// as the baseline without a gate, and Limiter at an entry for the limits of
// each caller. It has no network, clock or goroutine: the time is an argument,
// and the caller holds the lock.
package admit

// Package gate decides at a backend server's side what is let in: Gate, and
// Fifo as the baseline without one. It has no network, clock or goroutine: the
// time is an argument, and the caller holds the lock.
package gate

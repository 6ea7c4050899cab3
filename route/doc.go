// Package route decides at an entry which backend server a request goes to. It
// has no network, clock or goroutine: the time is an argument, random numbers
// come from a source handed in, and the caller holds the lock.
package route

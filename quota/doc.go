// Package quota holds at an entry what each caller may ask of the whole fleet.
// It has no network, clock or goroutine: the time is an argument, and the
// caller holds the lock.
package quota

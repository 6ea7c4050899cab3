// Package route chooses the backend server for a request in an entry. It uses no
// network, clock or goroutines: the time is an argument, random numbers come from a
// source that the caller sets, and the caller holds the lock.
package route

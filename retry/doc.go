// Package retry decides whether an attempt that failed is tried again, resumed
// or given up, how many retries an entry may spend, and which requests are
// suspected of crashing backend servers. It has no network, clock or
// goroutine: the time is an argument, and the caller holds the lock.
package retry

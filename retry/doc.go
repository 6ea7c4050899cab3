// Package retry decides whether a failed attempt is rerun, resumed or given up,
// limits an entry's retries by a budget, and tracks which requests are suspected
// of crashing backend servers. It uses no network, clock or goroutine: callers
// pass the time and hold the lock.
package retry

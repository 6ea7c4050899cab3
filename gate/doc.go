// Package gate implements admission control in front of one backend server:
// Gate, and Fifo as the baseline without priorities. It uses no network, clock
// or goroutine: callers pass the time and hold the lock.
package gate

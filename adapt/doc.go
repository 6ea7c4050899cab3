// Package adapt holds what a gate learns of its backend server: how many slots
// are good, how many to keep for bursts, how long prompts and answers take, and
// whether waiting is a burst or overload. It has no network, clock or goroutine:
// the time is an argument, and the caller holds the lock.
package adapt

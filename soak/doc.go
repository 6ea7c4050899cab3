// Package soak holds a randomized fault test of the real program. Entries run as separate
// processes on loopback, proxies and signals inject faults from outside, and callers check
// the guarantees that the system gives. The seed determines the faults of a run.
package soak

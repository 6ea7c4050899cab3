// Package trace defines the format of recorded traces, generates the traces in
// folder traces, and makes the bundles with which they are replayed.
package trace

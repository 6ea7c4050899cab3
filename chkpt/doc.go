// Package chkpt writes checkpoints of the state that results from folding a stream of the log, and loads the newest
// complete one.
package chkpt

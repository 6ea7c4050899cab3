// Package chkpt saves the state that a stream of the log folds to, and finds the
// newest whole one again.
package chkpt

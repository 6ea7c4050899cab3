// Package engine holds a fake model engine for tests and trials. It is an
// http.Handler whose speed and faults are set by Knobs.
package engine

// Package engine holds a stand-in of a model engine, as an http.Handler, with
// knobs for its speed and its faults.
package engine

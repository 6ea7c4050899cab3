// Package fakes holds small stand-ins for what the platform gives: the log
// service, the instance list, model engines, plain services and the weight
// store. Each is an http.Handler with knobs for the faults that tests provoke.
// Knobs are set in the field Knobs before use, or at run time by POST /knobs
// with the fields to change.
package fakes

// Package demo runs a whole fleet in one process and kills a backend server
// while a batch job and online requests run.
package demo

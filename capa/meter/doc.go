// Package meter measures processor time and memory, and prints measurements with the line
// through them.
package meter

// Package invoke runs one item of a batch job at one backend server, and records how the time
// of an item was spent.
package invoke

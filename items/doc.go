// Package items decides which items of batch jobs can still be completed in time, in which order
// they run, how many start at once, and which are preempted. It uses neither the network nor a clock of its own.
package items

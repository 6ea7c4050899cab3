// Package record reads single records of the shards' streams from the log: the inputs and results of items, which an entry
// doesn't keep in memory.
package record

// Package record reads single records of the shards' streams back from the log:
// the inputs and results of items, which an entry doesn't hold in memory.
package record

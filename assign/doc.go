// Package assign determines the shard of a job and the entry that should own a shard. All functions are deterministic, so
// every entry gets the same result from the same arguments.
package assign

// Package batch measures what items, jobs and shards cost, and the adapter of the log.
package batch

// Package jobs accepts batch jobs, stores them in the log, and serves their status and results.
// Package shards processes the shards that an entry owns.
package jobs

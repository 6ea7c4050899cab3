// Package jobs takes batch jobs into the log, runs the items of the shards
// that this entry owns, and answers for all of them.
package jobs

// Package runq is a queue.Queue that is safe for concurrent use and keeps a
// value with each job.
package runq

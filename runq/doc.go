// Package runq holds the jobs that have items to start, with what belongs to
// each, and says whose turn is next.
package runq

// Package stream turns the platform's log into streams of records that count
// once: group commit, appends with lost answers, and checkpoints.
package stream

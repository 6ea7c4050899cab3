// Package stream turns the platform's log into streams of records that count
// once: group commit, and appends with lost answers.
package stream

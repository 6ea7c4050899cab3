// Package client calls entries as a caller does, for the demo and the replay, and
// checks that each answer and each result of a job's items is correct.
package client

// Package tally notifies other entries of failed runs of batch items before the store has them, and queries
// them after an owner was lost.
package tally

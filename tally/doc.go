// Package tally tells other entries how runs of batch items have failed before the store has it, and asks
// them after an owner was lost.
package tally

// Package limits returns the limits and weights for batch jobs from the current
// configuration bundle, with defaults for values that it does not set.
package limits

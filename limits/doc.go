// Package limits reads from the bundle in force what it sets for batch jobs,
// with defaults for what it leaves open.
package limits

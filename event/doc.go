// Package event holds the numbered log events of the system; docs/EVENTS.md is
// their catalogue, and a test keeps the two in step.
package event

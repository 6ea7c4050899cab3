// Package event defines the numbered log events of the system and the logger that
// writes them. docs/EVENTS.md lists the events; a test compares it with the code.
package event

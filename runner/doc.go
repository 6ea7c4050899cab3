// Package runner runs the items of batch jobs in the slots that online work
// leaves free. An item gives its slot up at once when online work needs it and
// goes on later, on any backend server, after the last event that came.
package runner

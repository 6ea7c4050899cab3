// Package runner runs the items of batch jobs in the slots that online requests leave free.
// An item is preempted as soon as online work needs its slot. It resumes later, on any
// backend server, after the last event that was received.
package runner

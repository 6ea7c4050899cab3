// Package admit decides which online requests are sent now, which wait at their
// entry for a slot, and which of those gets a slot that comes free. It has no
// network; time is passed in.
package admit

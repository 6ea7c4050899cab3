// Package admit decides which online requests are sent now, which wait at their
// entry for a slot, and which waiting request gets a slot that becomes free. It
// does no network I/O, and callers pass the current time.
package admit

// Package pool decides which backend server a request is sent to. It keeps one
// view of all backend servers: the requests of this entry on each, the loads that
// the other entries report, and which backend servers failed recently. It does no
// network I/O, and callers pass the current time.
package pool

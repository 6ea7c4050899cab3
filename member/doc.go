// Package member tracks which entries and sides exist, from the platform's
// instance list, which lags, and from heartbeats over the process's own connections.
//
// It does not need agreement between processes: the view only selects who tries to
// claim something, and the order of the log decides. A wrong suspicion costs a
// rejected claim, never a result.
package member

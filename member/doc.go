// Package member knows which entries and sides are there, from the platform's
// lagging instance list and from heartbeats over the own connections.
//
// It decides nothing that must be agreed: its answer says who tries, and the
// order of the log says what holds. A wrong suspicion costs a claim, never a result.
package member

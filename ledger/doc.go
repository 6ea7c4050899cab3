// Package ledger holds the state of all batch jobs as a pure function of the
// records of one topic of the store, and plans the records of changes. A plan
// is appended only where the topic still ends at the state that it was made
// from, so that every entry reads the same jobs, the same results at the same
// positions, and never one twice.
package ledger

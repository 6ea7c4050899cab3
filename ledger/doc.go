// Package ledger holds the state of all batch jobs as a pure function of the
// records of two topics of the store, and plans the records of changes.
//
// What is decided about jobs (accepted within the quota, ended) is appended only
// where its topic still ends at the state that the plan was made from. What
// becomes of items (steps, failures, results) is appended wherever its topic
// ends, and the order decides: the first result of an item counts, at the
// position that the order gives it. So every entry reads the same jobs and the
// same results at the same positions, and never one twice.
package ledger

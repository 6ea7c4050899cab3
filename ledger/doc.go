// Package ledger holds the state of all batch jobs, which is a pure function of the records of
// two topics of the store, and plans the records of changes.
//
// Records about jobs (accepted within the quota, ended) are appended conditionally: only where
// their topic still ends at the state that the plan was made from. Records about items (failures,
// results, starts, claims) are appended unconditionally, and their order in the topic resolves conflicts:
// the first result of an item counts, at the position that the order gives it. So every entry
// reads the same jobs and the same results at the same positions, and never a result twice.
package ledger

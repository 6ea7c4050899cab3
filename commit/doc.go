// Package commit appends changes of batch jobs to the topics of the store.
//
// A change of a job is planned on the state up to an offset and appended only if the topic still
// ends there; if another entry appended first, the change is planned again on the new state. The
// same condition resolves lost answers: an append of which the answer was lost either took effect
// at its offset, or another record is at that offset and the append can no longer take effect.
//
// A change of an item (result, failure, claim) is appended wherever the topic ends.
package commit

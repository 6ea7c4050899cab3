// Package commit brings changes of the batch jobs into the store's order. A
// change is planned on the state up to an offset and appended only if the
// topic still ends there: whoever comes second plans anew on what came first.
// The same condition settles lost answers: an append whose answer was lost
// either stands at its offset, or something else does and it never will.
package commit

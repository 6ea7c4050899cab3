// Package shard folds the records of one shard's stream into the state of its jobs. The state is a pure function
// of the records in log order, so it is the same in every process.
package shard

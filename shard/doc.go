// Package shard folds the records of one shard's stream into its jobs: a pure
// function of the records in their order, the same in every process.
package shard

// Package order folds the records of the log's configuration stream into the configuration in force.
//
// The order of the records in the log is the only agreement between processes. A record proposes a
// bundle and names the version that it is based on. Fold is a pure function and the same in every
// process: it accepts the proposal only if that version is in force at the record's offset.
package order

// Package order says what the records of the log's configuration stream have
// decided.
//
// The log's order is the only agreement. A bundle is proposed by a record that
// names the version it is based on; Fold, the same pure function in every
// process, accepts it only if that version is in force at the record's place.
package order

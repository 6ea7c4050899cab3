// Package bundle reads, checks, signs and publishes configuration bundles, and
// keeps the one in force in every process.
//
// The log's order is the only agreement. A bundle is proposed by a record in
// the stream "config" that names the version it is based on; Fold, the same
// pure function in every process, accepts it only if that version is in force
// at the record's place in the order.
package bundle

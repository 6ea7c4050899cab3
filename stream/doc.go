// Package stream adds exactly-once records to the platform's log: group commit,
// deduplication by writer and sequence number, and withdrawal of records whose
// append was not acknowledged.
package stream

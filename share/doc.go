// Package share lets a few entries of an availability zone read topics of the platform's
// store for all entries of the zone. Each reply carries the time since it was proven to be
// the newest, so that decisions by age are as valid as with a read of the store itself.
package share

// Package share lets a few entries of an availability zone read a topic of the platform's
// store for all of them. Each answer says how long ago it was proven to be the newest, so
// that what follows from its age holds as if it had been read from the store itself.
package share

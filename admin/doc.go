// Package admin makes operators' calls to an entry: publishing a bundle, cancelling a
// job and showing the status.
package admin

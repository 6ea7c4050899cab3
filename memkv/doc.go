// Package memkv is an in-memory stand-in for the platform's store, for tests. Its
// calls can be rejected, lost or delayed.
package memkv

// Package memkv is a stand-in of the platform's store in memory, whose calls can
// be refused, lost or done late.
package memkv

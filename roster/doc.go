// Package roster keeps this entry in the member list in the store, and removes members that
// have failed permanently.
package roster

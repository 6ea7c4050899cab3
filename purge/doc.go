// Package purge removes from the store what is no longer needed: expired jobs, records of
// their items, and values that no record refers to.
package purge

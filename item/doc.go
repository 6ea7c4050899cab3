// Package item makes the requests of a job's items, and the bodies of their results.
package item

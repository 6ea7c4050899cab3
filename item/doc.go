// Package item builds the requests of a job's items and the bodies of their results.
package item

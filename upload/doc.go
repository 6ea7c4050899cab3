// Package upload appends the items of a new job to the log.
package upload

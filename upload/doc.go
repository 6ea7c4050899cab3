// Package upload puts the items of a new job into the log.
package upload

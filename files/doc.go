// Package files stores uploaded files in the log until a job is created from them.
package files

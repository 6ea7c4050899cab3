// Package files keeps uploaded files in the log until a job takes them over.
package files

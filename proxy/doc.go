// Package proxy forwards calls on batch jobs to another entry while this one cannot reach the
// store or has not finished reading it.
package proxy

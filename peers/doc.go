// Package peers connects the entries with each other. They exchange heartbeats and the
// usage of callers, and provide a new entry with the configuration while the log is
// unavailable.
package peers

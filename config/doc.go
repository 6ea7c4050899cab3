// Package config keeps the configuration in force in an entry: it follows the
// log, publishes, writes checkpoints, and learns from peers while the log is out.
package config

// Package config manages the configuration in force in an entry. It reads versions from the log, publishes
// new ones, writes checkpoints, and takes the configuration from peers while the log is unavailable.
package config

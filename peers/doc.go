// Package peers lets entries show each other that they live, share what callers
// ask of them, and give a new one the configuration while the log is out.
package peers

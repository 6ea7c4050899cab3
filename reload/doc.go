// Package reload applies changes of the settings file to a running process.
package reload

// Package reload follows the settings file of a process that runs.
package reload

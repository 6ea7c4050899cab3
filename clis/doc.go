// Package clis implements the command line of the program: its subcommands, their
// settings from flags and environment variables, and the log of the process.
package clis

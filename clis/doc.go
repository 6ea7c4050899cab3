// Package clis holds the subcommands of the program: each parses its settings,
// builds what it runs, and runs it.
package clis

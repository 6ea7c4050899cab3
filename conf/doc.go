// Package conf holds the settings of each subcommand: flags that are also
// environment variables, with their checks.
package conf

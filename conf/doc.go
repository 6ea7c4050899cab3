// Package conf defines and checks the settings of each subcommand. Every setting
// is a flag and an environment variable.
package conf

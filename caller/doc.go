// Package caller identifies the team that a request comes from and decides whether this
// entry may admit it, from the configuration in force and its age alone.
package caller

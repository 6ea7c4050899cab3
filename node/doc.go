// Package node puts the parts of an entry on the users' platform together and
// runs them from start to stop. All that must last lives in the platform's
// store; a process that starts knows nothing but its settings.
package node

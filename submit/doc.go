// Package submit answers callers' requests on batch jobs: submitting a job, reading its
// results and bodies, and ending it. It keeps no state of its own: the ledger holds the
// state, and a change is confirmed to the caller only after the store has it.
package submit

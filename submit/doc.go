// Package submit answers callers' requests on batch jobs: handing one in,
// reading its results and bodies, ending it. It keeps no state: what holds is
// in the ledger, and a change is answered once the store has it.
package submit

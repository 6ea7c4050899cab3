// Package fakes holds fakes of the platform's services (log service, instance
// list, weight store) and of plain services; the fake model engine is in package
// engine. Each is an http.Handler whose faults are set by its knobs: in the field
// Knobs before use, or at run time by POST /knobs with the fields to change. Forwarder forwards connections between two processes.
package fakes

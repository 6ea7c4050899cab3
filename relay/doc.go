// Package relay forwards callers' requests to backend servers without reading
// their bodies, and the responses unchanged to the callers. A request is retried only
// if it provably has not run, or if its route allows repeated runs. A broken stream
// is resumed after its last event.
package relay

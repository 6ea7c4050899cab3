// Package relay passes callers' requests on to backend servers, their bodies
// opaque, and the answers back unchanged. It tries again only after what
// proves that nothing ran, or where the route says that a second run does no
// harm, and goes on with a broken stream after its last event.
package relay

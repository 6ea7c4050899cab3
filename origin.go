package sardinerock

// Origin is the software that writes a stream. The events of two origins don't fit together, since versions
// have no order and differ in what they write.
type Origin struct {
	// Service is empty if the origin isn't known.
	Service string
	// Version is that of the backend servers' software; empty if they don't state it.
	Version string
}

// Known reports whether o is the origin of a stream.
func (o Origin) Known() bool { return o.Service != "" }

// Position is a place in a stream. The number of an event alone doesn't say where a stream may go on.
type Position struct {
	// LastEvent is the ID of the last event before it; empty at the start of a stream, and after events without
	// an ID.
	LastEvent string
	// Origin wrote the events before it; unknown if there are none.
	Origin Origin
}

// Allows reports whether a stream may go on at a backend server.
func (p Position) Allows(b *BackendServer) bool {
	return p == Position{} || p.Origin == b.Origin()
}

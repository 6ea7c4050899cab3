package conns

// Framing is how the end of a response's body is marked. Its values appear in logs.
type Framing string

// The framings of HTTP/1.1.
const (
	// FramingLength means that the head states the length, or that there is no body.
	FramingLength Framing = "length"
	// FramingChunked means that the body is sent in chunks and ends with an empty one.
	FramingChunked Framing = "chunked"
	// FramingNone means that the body ends when the connection is closed.
	FramingNone Framing = "none"
)

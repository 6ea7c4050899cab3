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

// End is how a response ended. Its values appear in logs and metrics.
type End string

// The ends of responses. All but EndProven and EndConfirmed mean that the response is incomplete, as far as is known.
const (
	// EndProven means that the framing proves that the response is complete.
	EndProven End = "proven"
	// EndConfirmed means that a response without framing ended with its connection, and the instance that sent it
	// has answered a further request since.
	EndConfirmed End = "confirmed"
	// EndAsked means that a stream without framing ended with its connection, and the backend server was asked to
	// continue it.
	EndAsked End = "asked"
	// EndUnproven means that a response without framing ended with its connection, and its backend server hasn't
	// answered a further request, or has left.
	EndUnproven End = "unproven"
	// EndServerGone means the same, and the backend server has ended.
	EndServerGone End = "serverGone"
	// EndNoEvent means that a stream without framing ended before its first event.
	EndNoEvent End = "noEvent"
	// EndInsideEvent means that a stream ended inside an event.
	EndInsideEvent End = "insideEvent"
	// EndUnbuffered means that the response wasn't read to its end, since it is too large to be held for its caller.
	EndUnbuffered End = "unbuffered"
	// EndTooLarge means that the backend server sent more bytes than a response may have.
	EndTooLarge End = "tooLarge"
	// EndBroken means that the response is incomplete for another reason.
	EndBroken End = "broken"
)

// Proof is what shows whether a response is complete. Its values appear in logs and metrics.
type Proof string

// The proofs of the ends of responses.
const (
	// ProofLength means that the stated length was received.
	ProofLength Proof = "length"
	// ProofChunks means that the last chunk was received.
	ProofChunks Proof = "chunks"
	// ProofInstance means that the instance that sent the response, or another one in its place, answered a further
	// request.
	ProofInstance Proof = "instance"
	// ProofRefused means that the address of the backend server refused a connection.
	ProofRefused Proof = "refused"
	// ProofClosed means that the connection of a further request to the backend server was closed without an answer.
	ProofClosed Proof = "closed"
	// ProofNone means that nothing shows it.
	ProofNone Proof = "none"
)

// Proof returns what the framing proves at the end of the body.
func (f Framing) Proof() Proof {
	switch f {
	case FramingLength:
		return ProofLength
	case FramingChunked:
		return ProofChunks
	}
	return ProofNone
}

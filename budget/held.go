package budget

import "sync/atomic"

// Kind is the part of a response that memory is held for.
type Kind int

// The kinds of memory that responses in progress hold.
const (
	// Heads are the heads of backend servers' responses, as received.
	Heads Kind = iota
	// Events are the buffers of streams of events.
	Events
	// Bodies are the buffers of complete responses.
	Bodies
	// Answers are the answers of the store that are being read.
	Answers
	kinds
)

// Held counts the bytes that the responses in progress hold, by kind. The zero value is ready for use, and a nil pointer counts
// nothing.
type Held struct {
	bytes [kinds]atomic.Int64
}

// Add adds bytes, which may be negative.
func (h *Held) Add(k Kind, bytes int64) {
	if h != nil && bytes != 0 {
		h.bytes[k].Add(bytes)
	}
}

// Bytes returns the bytes that are held for a kind.
func (h *Held) Bytes(k Kind) int64 {
	if h == nil {
		return 0
	}
	return h.bytes[k].Load()
}
